// Package rollout tests a new version against the current one and drives its roll-out through the catalog.
package rollout
