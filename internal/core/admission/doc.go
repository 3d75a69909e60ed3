// Package admission decides which requests are served and which are refused when a service is short of room.
package admission
