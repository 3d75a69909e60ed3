// Package forward sends requests to endpoints over a connection pool and reads whole responses and event streams.
//
// It does not use net/http's Transport, which repeats some requests on a new connection and so could run a request
// twice that must run at most once. This package never sends a request twice.
package forward
