// Package operator serves the operators' API, which reads and changes profiles, organisations and versions, and reads
// bills and the status.
package operator
