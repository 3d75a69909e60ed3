// Package retry bounds how many requests go to a further endpoint, in proportion to the requests that came in.
package retry
