// Package engine is the client of model engines and plain services, and holds the engines' wire format.
package engine
