// Package cascade learns how good, dear and slow versions are and plans which of them answer a request.
package cascade
