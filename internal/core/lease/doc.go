// Package lease derives from the leases stream who holds each duty, until when and with which fencing token.
package lease
