// Package relay shares the reads of the platform's store, and the load of the endpoints, among instances.
//
// Some instances read the store and hand its records on; the others take them from there while they are fresh, and read
// by themselves when they are not. Offsets of the store order all records, so a record from an instance that lags
// changes nothing. The same instances sum up what each has under way at the endpoints; nothing but placement uses that.
package relay
