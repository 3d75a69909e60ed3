// Package trial runs a small fleet with all stand-ins in one process, sends sample work and checks the invariants.
package trial
