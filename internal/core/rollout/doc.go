// Package rollout compares a new version with the current one and advances or halts its roll-out through the catalog.
package rollout
