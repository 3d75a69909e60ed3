// Package patience decides whether to wait longer for a silent endpoint or to give up on it.
package patience
