// Package settings reads the one settings file of an instance: JSON with comments and kebab-case names.
package settings
