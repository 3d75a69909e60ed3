// Package feed follows keyed topics of the platform's store and hands their records on in order.
package feed
