// Package relay shares the records of the platform's store and the load of the endpoints among instances.
//
// A few instances, the seeds, read the store and pass its records on. The other instances follow a seed while its records
// are fresh, and read the store directly otherwise. The offsets of the store order all records, so older records from an
// instance that lags behind are ignored. The seeds also add up the active requests of all instances at each endpoint;
// only placement uses these sums.
package relay
