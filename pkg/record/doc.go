// Package record defines the records that Cassiaspoke keeps in the streams of the platform's log.
package record
