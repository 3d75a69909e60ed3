// Package connlimit bounds the memory and the descriptors that the connections of all listeners of a process take together.
package connlimit
