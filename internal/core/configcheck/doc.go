// Package configcheck finds entries of a configuration that have no effect, limits that contradict each other, and differences between two
// configurations. It does no input or output and doesn't decide what is valid; package config and the codecs do.
package configcheck
