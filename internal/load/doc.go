// Package load sends chat requests at a rate or a concurrency and measures the streamed answers.
package load
