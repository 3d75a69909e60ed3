// Package claim decides which attempt may run an idempotency key: a fold of a claims partition and the attempt's state machine.
package claim
