// Package timeline writes the events of an instance to a file and merges the files of several instances in causal order.
package timeline
