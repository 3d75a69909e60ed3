//go:build go1.27

package connlimit

import (
	"math"
	"net/http"
)

// AllowFields lets a server accept as many header fields as its Listener does. From Go 1.27 on a server has a limit of its own.
func AllowFields(s *http.Server) { s.MaxHeaderValueCount = math.MaxInt32 }
