// Package spread turns values into well-mixed ones, by which all instances rank endpoints alike.
package spread
