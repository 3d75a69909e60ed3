// Package soak runs the program as separate processes on loopback, injects faults from outside and checks what callers
// and endpoints see. A seed sets the faults and the requests; the machine's timing is not repeated.
package soak
