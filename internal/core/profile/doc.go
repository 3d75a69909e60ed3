// Package profile folds the config stream into an immutable catalog of organisations, profiles and versions.
package profile
