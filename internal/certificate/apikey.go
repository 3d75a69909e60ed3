package certificate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// HashKey returns the hash of an API key, which settings and organisations store in place of the key. Plain SHA-256 is
// enough for keys with at least 128 random bits, because they can't be guessed.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// BearerKey returns the key in an Authorization header with the Bearer scheme, or an empty string if there is none.
func BearerKey(header string) string {
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// OperatorKeys finds operators by their API keys.
type OperatorKeys struct {
	keys []settings.OperatorKey
}

// NewOperatorKeys returns the keys of the operators in the settings.
func NewOperatorKeys(keys []settings.OperatorKey) *OperatorKeys { return &OperatorKeys{keys: keys} }

// Operator returns the name of the operator with an API key, and false if there is none. It takes the same time for
// every key, so that a caller can't guess a key by timing.
func (k *OperatorKeys) Operator(key string) (string, bool) {
	hash := []byte(HashKey(key))
	found := -1
	for i, o := range k.keys {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(hash, []byte(o.Hash)), i, found)
	}
	if found < 0 || key == "" {
		return "", false
	}
	return k.keys[found].Name, true
}
