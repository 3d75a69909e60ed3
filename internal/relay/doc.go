// Package relay shares the reads of the platform's store among instances.
//
// Some instances read the store and hand its records on; the others take them from there while they are fresh, and read
// by themselves when they are not. Offsets of the store order all records, so a record from an instance that lags
// changes nothing.
package relay
