// Package platform defines the interfaces of the platform's services and implements them with an HTTP client.
package platform
