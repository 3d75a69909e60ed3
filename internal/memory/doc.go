// Package memory limits how many bytes an instance buffers of the data that clients and endpoints send.
package memory
