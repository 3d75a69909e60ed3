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
	maxToken  = 2048            // characters; longer text is refused before it is decoded
	minSecret = 32              // bytes; the size of the HMAC's hash
	maxSkew   = 5 * time.Minute // by which the signer's clock may be ahead of the verifier's
)

// encoding refuses non-zero padding bits, so that a token has one spelling only.
var encoding = base64.RawURLEncoding.Strict()

// Key is a signing key; ID must not contain a dot.
type Key struct {
	ID     string
	Secret []byte
}

// Token names the version that a session keeps.
type Token struct {
	Organisation string    `json:"organisation"`
	Profile      string    `json:"profile"`
	Version      string    `json:"version"`
	Revision     uint64    `json:"revision"` // catalog revision at which the session started
	Issued       time.Time `json:"issued"`
}

// Signer signs tokens with its first key and verifies tokens of all its keys.
type Signer struct {
	first    string
	lifetime time.Duration
	secrets  map[string][]byte
}

// NewSigner returns a signer; tokens are valid for lifetime after they were issued.
func NewSigner(keys []Key, lifetime time.Duration) (*Signer, error) {
	if len(keys) == 0 || lifetime <= 0 {
		return nil, refuse("new signer", ErrInvalidKeys, "%d keys and lifetime %v", len(keys), lifetime)
	}
	s := &Signer{first: keys[0].ID, lifetime: lifetime, secrets: make(map[string][]byte, len(keys))}
	for _, k := range keys {
		_, twice := s.secrets[k.ID]
		switch {
		case k.ID == "" || strings.Contains(k.ID, "."):
			return nil, refuse("new signer", ErrInvalidKeys, "key id %q is empty or contains a dot", k.ID)
		case twice:
			return nil, refuse("new signer", ErrInvalidKeys, "key id %q occurs twice", k.ID)
		case len(k.Secret) < minSecret:
			return nil, refuse("new signer", ErrInvalidKeys, "key %q has %d bytes, want %d or more", k.ID, len(k.Secret), minSecret)
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
		return "" // only years outside 0 to 9999 fail, and an empty token verifies as malformed
	}
	signed := s.first + "." + encoding.EncodeToString(b)
	return signed + "." + encoding.EncodeToString(sum(s.secrets[s.first], signed))
}

// Verify returns the token in text if it was signed for the organisation and is still valid at now.
func (s *Signer) Verify(text, organisation string, now time.Time) (Token, error) {
	if len(text) > maxToken {
		return Token{}, refuse("verify", ErrMalformed, "%d characters, limit is %d", len(text), maxToken)
	}
	at := strings.LastIndexByte(text, '.')
	if at < 0 {
		return Token{}, refuse("verify", ErrMalformed, "no signature")
	}
	id, payload, ok := strings.Cut(text[:at], ".")
	if !ok {
		return Token{}, refuse("verify", ErrMalformed, "no payload")
	}
	secret, ok := s.secrets[id]
	if !ok {
		return Token{}, refuse("verify", ErrUnknownKey, "key %.40q", id)
	}
	mac, err := encoding.DecodeString(text[at+1:])
	if err != nil {
		return Token{}, refuse("verify", ErrMalformed, "signature: %w", err)
	}
	if !hmac.Equal(mac, sum(secret, text[:at])) {
		return Token{}, refuse("verify", ErrBadSignature, "key %q", id)
	}
	return s.read(payload, organisation, now)
}

// read decodes a payload whose signature is good and checks owner and age.
func (s *Signer) read(payload, organisation string, now time.Time) (Token, error) {
	var t Token
	b, err := encoding.DecodeString(payload)
	if err == nil {
		err = json.Unmarshal(b, &t)
	}
	switch {
	case err != nil:
		return Token{}, refuse("verify", ErrMalformed, "payload: %w", err)
	case t.Organisation != organisation:
		return Token{}, refuse("verify", ErrWrongOrganisation, "token of another organisation than %q", organisation)
	case now.Sub(t.Issued) >= s.lifetime || t.Issued.Sub(now) > maxSkew:
		return Token{}, refuse("verify", ErrExpired, "issued at %v", t.Issued)
	}
	return t, nil
}

func sum(secret []byte, text string) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write([]byte(text))
	return h.Sum(nil)
}
