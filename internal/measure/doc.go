// Package measure compares policies and measures capacity with fixed seeds.
package measure
