// Package settings reads and validates the settings file of an instance, which is JSON with comments and kebab-case
// field names.
package settings
