// Package instance puts the parts of one router together: it starts them, shares their state and stops them in order.
package instance
