package suspect

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Content is the digest of what a request asks for, whoever asks and under whatever key.
type Content uint64

// Sum returns the digest of a request's content: the model or service it goes to and the parts of its body that
// an endpoint sees. Leave out the organisation, the idempotency key and the session, which a repetition changes.
func Sum(target string, parts ...[]byte) Content {
	d := xxhash.New()
	write(d, []byte(target))
	for _, p := range parts {
		write(d, p)
	}
	return Content(d.Sum64())
}

// write adds a part with its length, so that moving a border between parts changes the digest.
func write(d *xxhash.Digest, p []byte) {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
	_, _ = d.Write(n[:])
	_, _ = d.Write(p)
}

// hashEndpoint returns the form in which marks name an endpoint.
func hashEndpoint(id string) uint64 { return xxhash.Sum64String(id) }
