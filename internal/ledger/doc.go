// Package ledger drives claims, bills and grants over the platform's log.
package ledger
