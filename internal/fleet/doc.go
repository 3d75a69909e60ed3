// Package fleet holds the duties that one instance does for all: it keeps leases and loads versions on engines.
package fleet
