// Package session signs and verifies session tokens and decides whether a session keeps its version.
package session
