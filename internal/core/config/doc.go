// Package config builds an immutable catalog of organisations, profiles and versions from the records of the config
// stream.
package config
