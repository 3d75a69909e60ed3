package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ContentHash is a hash of a request's content. It does not depend on the caller or its key.
type ContentHash uint64

// HashContent returns the hash of a request's content: its model or service, and the parts of its body that the endpoint
// receives. The parts must not include the organisation, the idempotency key or the session, because a repeated request
// may have different ones.
func HashContent(target string, parts ...[]byte) ContentHash {
	d := xxhash.New()
	writePart(d, []byte(target))
	for _, p := range parts {
		writePart(d, p)
	}
	return ContentHash(d.Sum64())
}

// writePart adds a part with its length to the hash, so that the hash depends on the boundaries between parts.
func writePart(d *xxhash.Digest, p []byte) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
	_, _ = d.Write(n[:])
	_, _ = d.Write(p)
}

// hashEndpoint returns the hash that identifies an endpoint in marks and leases.
func hashEndpoint(id string) uint64 { return xxhash.Sum64String(id) }
