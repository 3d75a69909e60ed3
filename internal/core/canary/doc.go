// Package canary runs the roll-out of one service: it splits requests between the current and the new version, compares
// the answers of both, and decides whether to complete the roll-out or roll it back.
package canary
