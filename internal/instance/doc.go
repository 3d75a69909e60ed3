// Package instance assembles the components of one router instance. It starts them, connects them and stops them in
// order.
package instance
