// Package crowd opens crowds of connections of clients that misbehave. Tests and the soak use it against processes on loopback.
package crowd
