// Package record defines the records that Cassiaspoke stores in the streams of the platform's log.
package record
