// Package evacuation holds the availability zones that the operators have ordered to evacuate, also while the store of the orders
// comes back from an older copy.
package evacuation
