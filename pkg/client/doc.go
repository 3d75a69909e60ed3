// Package client calls the callers' and the operators' API, and defines the types that both APIs exchange.
package client
