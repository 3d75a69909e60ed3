// Package bill decides which copy of a request's bill counts. It holds the projection of the bills stream, which is the
// state that follows from its records, and the buffers of bills that are not in the log yet: an instance's own bills and
// its copies of other instances' bills.
package bill
