// Package stall decides whether to wait longer for a silent endpoint or to give up on it.
package stall
