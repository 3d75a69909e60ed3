// Package entitlement splits an organisation's limits into grants. It holds the projection of the grants stream, which
// decides on grants, and the balance of a holder, which spends them.
package entitlement
