// Package testfleet runs a small fleet of instances with all stand-ins in one process, sends sample requests and checks the
// invariants.
package testfleet
