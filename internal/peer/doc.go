// Package peer implements the gRPC service between instances: membership probes, witness copies of bills, group commit
// to the log and catalog snapshots.
package peer
