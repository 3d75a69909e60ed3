// Package lease folds the leases stream: who holds which duty, until when and with which fencing token.
package lease
