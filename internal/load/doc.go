// Package load sends chat requests at a fixed rate or with a fixed concurrency, and measures the streamed answers.
package load
