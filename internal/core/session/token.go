package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"time"
)

const (
	maxTokenLength = 2048            // characters; a longer token is refused before it is decoded
	minSecretBytes = 32              // length of a SHA-256 hash
	maxClockSkew   = 5 * time.Minute // by which the clock of the signer may be ahead of that of the verifier
)

// encoding refuses padding bits that are not zero, so that each token has a single encoded form.
var encoding = base64.RawURLEncoding.Strict()

// SigningKey is a signing key. Its ID must not contain a dot.
type SigningKey struct {
	ID     string
	Secret []byte
}

// Token holds the version that a session keeps.
type Token struct {
	Organisation string    `json:"organisation"`
	Profile      string    `json:"profile"`
	Version      string    `json:"version"`
	Revision     uint64    `json:"revision"` // catalog revision at which the session started
	Issued       time.Time `json:"issued"`
}

// Signer signs tokens with its first key and verifies tokens signed with any of its keys.
type Signer struct {
	signingKeyID string
	lifetime     time.Duration
	secrets      map[string][]byte
}

// NewSigner returns a Signer whose tokens are valid for the given lifetime after their issue.
func NewSigner(keys []SigningKey, lifetime time.Duration) (*Signer, error) {
	if len(keys) == 0 || lifetime <= 0 {
		return nil, newError("new signer", ErrInvalidKeys, "got %d keys and lifetime %v, want a key and a positive lifetime", len(keys), lifetime)
	}
	s := &Signer{signingKeyID: keys[0].ID, lifetime: lifetime, secrets: make(map[string][]byte, len(keys))}
	for _, k := range keys {
		_, duplicate := s.secrets[k.ID]
		switch {
		case k.ID == "" || strings.Contains(k.ID, "."):
			return nil, newError("new signer", ErrInvalidKeys, "key id %q is empty or contains a dot", k.ID)
		case duplicate:
			return nil, newError("new signer", ErrInvalidKeys, "key id %q occurs twice", k.ID)
		case len(k.Secret) < minSecretBytes:
			return nil, newError("new signer", ErrInvalidKeys, "key %q has %d bytes, want %d or more", k.ID, len(k.Secret), minSecretBytes)
		}
		s.secrets[k.ID] = append([]byte(nil), k.Secret...)
	}
	return s, nil
}

// Sign returns the text form of a token: key id, payload and signature, separated by dots.
func (s *Signer) Sign(t Token) string {
	t.Issued = t.Issued.UTC()
	b, err := json.Marshal(t)
	if err != nil {
		return "" // encoding fails only for years outside 0 to 9999; Verify refuses an empty token as malformed
	}
	signed := s.signingKeyID + "." + encoding.EncodeToString(b)
	return signed + "." + encoding.EncodeToString(computeMAC(s.secrets[s.signingKeyID], signed))
}

// Verify decodes a token and returns it if its signature is valid, it belongs to the organisation and it has not expired.
func (s *Signer) Verify(text, organisation string, now time.Time) (Token, error) {
	if len(text) > maxTokenLength {
		return Token{}, newError("verify", ErrMalformed, "%d characters, limit is %d", len(text), maxTokenLength)
	}
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Token{}, newError("verify", ErrMalformed, "no signature")
	}
	id, payload, ok := strings.Cut(text[:dot], ".")
	if !ok {
		return Token{}, newError("verify", ErrMalformed, "no payload")
	}
	secret, ok := s.secrets[id]
	if !ok {
		return Token{}, newError("verify", ErrUnknownKey, "key %.40q", id)
	}
	mac, err := encoding.DecodeString(text[dot+1:])
	if err != nil {
		return Token{}, newError("verify", ErrMalformed, "signature: %w", err)
	}
	if !hmac.Equal(mac, computeMAC(secret, text[:dot])) {
		return Token{}, newError("verify", ErrBadSignature, "key %q", id)
	}
	return s.decodePayload(payload, organisation, now)
}

// decodePayload decodes a payload whose signature is valid and checks its organisation and age.
func (s *Signer) decodePayload(payload, organisation string, now time.Time) (Token, error) {
	var t Token
	b, err := encoding.DecodeString(payload)
	if err == nil {
		err = json.Unmarshal(b, &t)
	}
	switch {
	case err != nil:
		return Token{}, newError("verify", ErrMalformed, "payload: %w", err)
	case t.Organisation != organisation:
		return Token{}, newError("verify", ErrWrongOrganisation, "token of another organisation than %q", organisation)
	case now.Sub(t.Issued) >= s.lifetime || t.Issued.Sub(now) > maxClockSkew:
		return Token{}, newError("verify", ErrExpired, "issued at %v", t.Issued)
	}
	return t, nil
}

// computeMAC returns the HMAC-SHA-256 of a text.
func computeMAC(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write([]byte(text))
	return h.Sum(nil)
}
