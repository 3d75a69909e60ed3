// Package routing defines the configuration, endpoint registrations and roll-outs that an instance reads.
package routing
