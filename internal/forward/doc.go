// Package forward sends requests to endpoints over connections of its own and reads whole answers and streams of events.
//
// It never sends a request twice by itself: net/http's Transport repeats some requests on a fresh connection, which
// would run a request twice that must run at most once.
package forward
