// Package history simulates instances that share a log, in virtual time and with faults drawn from a seed. One run is a
// history: the sequence of calls, replies and faults that a test checks afterwards.
package history
