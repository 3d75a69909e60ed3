// Package certificate builds TLS configurations that reload their certificates without a restart, and authenticates
// operators by API key.
package certificate
