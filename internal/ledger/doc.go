// Package ledger records claims of idempotency keys, bills and grants of organisations' limits in the platform's log.
// It runs the state machines of the packages claim, bill and entitlement: it reads the log, appends to it and keeps time.
package ledger
