// Package bill keeps the first bill of each request: a fold of the bills stream, and the buffers of a holder and a witness.
package bill
