// Package patience decides whether the silence of an endpoint ends a request there, or whether it is waited for.
package patience
