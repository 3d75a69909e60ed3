// Package catalog maintains the configuration in force from the config stream of the platform's log and publishes
// changes to it.
package catalog
