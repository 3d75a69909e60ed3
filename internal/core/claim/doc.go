// Package claim decides which attempt may run an idempotency key. It holds the projection of a claims partition, which is
// the state that follows from its records, and the state machine of an attempt.
package claim
