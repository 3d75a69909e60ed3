// Package composed holds a property-based test that runs the pure core packages of several instances together.
//
// Small fakes stand at the interfaces, time is virtual and one goroutine runs everything. Each step of an instance
// calls the cores in the order in which internal/instance, internal/answer, internal/order and internal/ledger do.
package composed
