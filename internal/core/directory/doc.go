// Package directory holds what operators and endpoints publish about routes, organisations, endpoints and roll-outs.
package directory
