// Package roster keeps the endpoints that may get new work, from the registry's records and the store's outages.
package roster
