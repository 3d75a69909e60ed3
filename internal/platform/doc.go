// Package platform defines the interfaces of the platform's services and implements them with an Client client.
package platform
