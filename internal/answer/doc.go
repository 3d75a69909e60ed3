// Package answer plans chat requests and runs them on engines until their answers are complete.
package answer
