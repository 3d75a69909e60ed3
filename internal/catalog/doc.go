// Package catalog follows the config stream of the platform's log and publishes changes to it.
package catalog
