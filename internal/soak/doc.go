// Package soak runs instances as separate processes on loopback, injects faults from outside and checks what clients and
// endpoints observe. A seed determines the faults and the requests; their timing depends on the machine.
package soak
