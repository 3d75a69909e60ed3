// Package relay shares the records of the platform's store and the load of the endpoints among instances.
//
// A few instances, the seeds, read the store and pass its records on. The other instances follow a seed while it confirms
// that its records are recent, and read the store directly otherwise. A confirmation is the answer to a call, and counts from
// the start of the call, so that delays make records look older and never newer. The offsets of the store order all records,
// so older records from an instance that lags behind are ignored. The seeds also add up the active requests of all instances at each endpoint;
// only placement uses these sums.
package relay
