// Package composed tests the core packages of several instances together in random histories of traffic and failures.
//
// The log, the list, the endpoints and the network are fakes, time is virtual and everything runs in one goroutine. Each step
// of an instance calls the core packages in the same order as internal/instance, internal/answer, internal/servicecall and
// internal/ledger.
package composed
