// Package servicecall makes calls to plain services, which are HTTP services other than model engines. A call is either a
// lookup, which may be repeated, or an order, which runs at most once.
package servicecall
