// Package memory bounds the bytes that an instance holds of what others send.
package memory
