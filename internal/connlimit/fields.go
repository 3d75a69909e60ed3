//go:build !go1.27

package connlimit

import "net/http"

// AllowFields lets a server accept as many header fields as its Listener does. Before Go 1.27 a server has no limit of its own.
func AllowFields(*http.Server) {}
