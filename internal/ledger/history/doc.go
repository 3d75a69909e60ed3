// Package history runs instances over a log stand-in in virtual time, with faults that follow from a seed.
package history
