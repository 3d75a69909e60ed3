// Package canary shares a service's requests between its version and the one that a roll-out brings in, judges the
// new version by its answers and says which state of the roll-out to publish.
package canary
