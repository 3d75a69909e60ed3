// Package attributes defines the attributes of requests and responses, independent of any wire format.
package attributes
