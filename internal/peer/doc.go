// Package peer is the gRPC service between instances: probes, witness copies, group commit and snapshots.
package peer
