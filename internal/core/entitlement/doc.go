// Package entitlement splits an organisation's limits into grants. It holds the projection of the grants stream, which is
// the state that follows from its records and decides on grants, and the balance of a holder, which spends them.
package entitlement
