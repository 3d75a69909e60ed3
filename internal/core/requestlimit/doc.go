// Package requestlimit keeps what an endpoint has said about the requests a second that it takes from all instances together.
package requestlimit
