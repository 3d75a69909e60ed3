// Package changefeed follows topics of keyed records in the platform's store and passes their records on in order.
package changefeed
