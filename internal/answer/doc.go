// Package answer runs chat requests on engines until their answers are whole.
package answer
