// Package session signs and verifies session tokens and determines whether a session keeps its version.
package session
