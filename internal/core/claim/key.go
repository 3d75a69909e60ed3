package claim

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// ClaimWindow is the time after its issue in which a key may be claimed.
	ClaimWindow = 15 * time.Minute
	// MaxClockSkew is the maximum time by which a caller's clock may be ahead of the log's clock.
	MaxClockSkew = time.Minute
	// MaxBodyBytes is the maximum size of a response body that is stored with its outcome, in bytes.
	MaxBodyBytes = 4 << 10
	// maxStoredBodyBytes is the maximum total size of the response bodies that a projection stores.
	maxStoredBodyBytes = 32 << 20
)

// KeyIssueTime returns the time of issue that a UUIDv7 key contains.
func KeyIssueTime(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, &Error{Op: "read key", Kind: ErrInvalidKey, Err: err}
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, &Error{Op: "read key", Kind: ErrInvalidKey, Err: fmt.Errorf("want a UUIDv7")}
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// keyHash identifies an organisation's key in a projection. Callers choose keys, so the hash must resist collisions.
type keyHash [16]byte

func hashKey(organisation, key string) keyHash {
	h := sha256.Sum256([]byte(organisation + "\x00" + key))
	return keyHash(h[:16])
}
