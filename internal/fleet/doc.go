// Package fleet runs duties that only one instance at a time may perform. It acquires and renews their leases over the
// log, and loads versions onto engines.
package fleet
