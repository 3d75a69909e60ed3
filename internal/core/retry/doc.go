// Package retry limits further sends of requests in proportion to the number of requests from clients.
package retry
