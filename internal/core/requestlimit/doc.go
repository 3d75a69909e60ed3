// Package requestlimit decides when an instance may send a request to an endpoint that has named a limit on the requests of all instances
// together.
package requestlimit
