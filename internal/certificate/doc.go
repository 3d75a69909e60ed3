// Package certificate builds TLS configurations whose certificates reload without a restart, and checks operators' keys.
package certificate
