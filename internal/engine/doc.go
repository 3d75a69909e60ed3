// Package engine is the HTTP client for model engines and plain services, and defines the wire format of engines.
package engine
