package claim

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// Window is how long after its time of issue a key may be claimed.
	Window = 15 * time.Minute
	// Skew is how far ahead of the log's clock a caller's clock may be.
	Skew = time.Minute
	// MaxBody bounds a response body that is kept with its outcome, in bytes.
	MaxBody = 4 << 10
	// keptBodies bounds the bodies that a fold keeps over all keys, in bytes.
	keptBodies = 32 << 20
)

// Issued returns the time of issue that a UUIDv7 key carries.
func Issued(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil {
		return time.Time{}, &Error{Op: "read key", Kind: ErrKey, Err: err}
	}
	if u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, &Error{Op: "read key", Kind: ErrKey, Err: fmt.Errorf("want a UUIDv7")}
	}
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// id identifies an organisation's key in a fold. Callers choose keys, so the hash must resist collisions.
type id [16]byte

func newID(organisation, key string) id {
	h := sha256.Sum256([]byte(organisation + "\x00" + key))
	return id(h[:16])
}
