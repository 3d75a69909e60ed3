// Package entitlement splits an organisation's limits into grants: a fold of the grants stream and the wallet of a holder.
package entitlement
