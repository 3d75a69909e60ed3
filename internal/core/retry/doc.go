// Package retry limits the retries of requests in proportion to the number of requests from clients.
package retry
