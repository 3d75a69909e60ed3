// Package configuration defines the configuration, endpoint registrations and roll-outs that an instance reads.
package configuration
