// Package coldstart limits what one instance sends to an endpoint, such as one that has just started, so that the sum over all instances
// stays under a bound without any exchange between them.
package coldstart
