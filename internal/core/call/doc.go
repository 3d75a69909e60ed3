// Package call defines the attributes of requests and responses, independent of any wire format.
package call
