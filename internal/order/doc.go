// Package order makes calls to plain services: lookups that may be repeated and orders that run at most once.
package order
