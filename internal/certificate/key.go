package certificate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// HashKey returns the form in which settings hold an API key. A plain SHA-256 is enough for keys of
// 128 random bits or more, because they can't be guessed.
func HashKey(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// Bearer returns the key of an Authorization header, empty if there is none.
func Bearer(header string) string {
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// Keys tells operators by their API keys.
type Keys struct {
	list []settings.OperatorKey
}

// NewKeys returns the operators of the settings.
func NewKeys(l []settings.OperatorKey) *Keys { return &Keys{list: l} }

// Operator returns the name of the operator with a key; the time it takes does not depend on the key.
func (k *Keys) Operator(key string) (string, bool) {
	h := []byte(HashKey(key))
	found := -1
	for i, o := range k.list {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(h, []byte(o.Hash)), i, found)
	}
	if found < 0 || key == "" {
		return "", false
	}
	return k.list[found].Name, true
}
