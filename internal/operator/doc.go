// Package operator serves the operators' API: profiles, organisations, versions, bills and status.
package operator
