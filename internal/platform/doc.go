// Package platform holds the interfaces to the platform's services and their HTTP clients.
package platform
