// Package timeline writes events of an instance to a file and merges the files of many instances in causal order.
package timeline
