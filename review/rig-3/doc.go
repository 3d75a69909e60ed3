//go:build review

// Command rig-3 plays the cases of the third review against the instances of the deploy file: separate processes on loopback addresses, with
// stand-ins for the platform's store, the engines and the clients.
package main
