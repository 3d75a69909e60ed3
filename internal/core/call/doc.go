// Package call holds the attributes of a request and of its answer, apart from any wire format.
package call
