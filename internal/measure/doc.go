// Package measure simulates routing policies in virtual time from a fixed seed and measures the capacity of fleets of
// instances.
package measure
