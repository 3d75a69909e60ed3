// Package membership keeps a gossip-based table of peers, selects the peers to probe and decides whether the
// configuration is fresh enough to serve.
package membership
