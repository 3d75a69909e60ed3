package session

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func key(id string) SigningKey { return SigningKey{ID: id, Secret: []byte(strings.Repeat(id, 40))} }

func signer(t interface{ Fatal(...any) }, ids ...string) *Signer {
	var l []SigningKey
	for _, id := range ids {
		l = append(l, key(id))
	}
	s, err := NewSigner(l, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func kind(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// A token must be refused after its lifetime, without its key and for another organisation.
func TestVerify(t *testing.T) {
	token := Token{Organisation: "bakery", Profile: "proof", Version: "m@1", Revision: 7, Issued: epoch}
	original, rotated := signer(t, "a"), signer(t, "b", "a")
	text := original.Sign(token)
	for name, c := range map[string]struct {
		signer *Signer
		text   string
		org    string
		age    time.Duration
		want   ErrorKind
	}{
		"own key":            {original, text, "bakery", time.Minute, ""},
		"rotated key":        {rotated, text, "bakery", time.Minute, ""},
		"removed key":        {signer(t, "b"), text, "bakery", time.Minute, ErrUnknownKey},
		"other organisation": {original, text, "depot", time.Minute, ErrWrongOrganisation},
		"end of lifetime":    {original, text, "bakery", time.Hour, ErrExpired},
		"from the future":    {original, text, "bakery", -time.Hour, ErrExpired},
		"small skew":         {original, text, "bakery", -time.Minute, ""},
		"empty":              {original, "", "bakery", 0, ErrMalformed},
		"no signature":       {original, "a.b", "bakery", 0, ErrMalformed},
		"too long":           {original, text + strings.Repeat("A", maxTokenLength), "bakery", 0, ErrMalformed},
		"other key's name":   {rotated, "b" + text[1:], "bakery", 0, ErrBadSignature},
	} {
		got, err := c.signer.Verify(c.text, c.org, epoch.Add(c.age))
		if kind(err) != c.want || (err != nil) != (c.want != "") {
			t.Errorf("%s: got %v, want kind %q", name, err, c.want)
		}
		if err == nil && got != token {
			t.Errorf("%s: got %+v, want %+v", name, got, token)
		}
	}
}

// A token must be refused after the change of any single character.
func TestVerifyRefusesEveryChange(t *testing.T) {
	const letters = "ABCXYZabcxyz0189-_."
	rapid.Check(t, func(t *rapid.T) {
		s := signer(t, "a")
		text := s.Sign(Token{Organisation: "o", Profile: "p", Version: "m@2", Issued: epoch})
		i := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		l := letters[rapid.IntRange(0, len(letters)-1).Draw(t, "letter")]
		if text[i] == l {
			return
		}
		if _, err := s.Verify(text[:i]+string(l)+text[i+1:], "o", epoch); err == nil {
			t.Fatalf("character %d changed to %q verifies", i, l)
		}
	})
}

// Short, ambiguous and missing keys must be refused.
func TestNewSignerRefuses(t *testing.T) {
	for name, l := range map[string][]SigningKey{
		"none":  nil,
		"short": {{ID: "a", Secret: []byte("x")}},
		"twice": {key("a"), key("a")},
		"dot":   {key("a.b")},
		"no id": {{Secret: key("a").Secret}},
	} {
		if _, err := NewSigner(l, time.Hour); kind(err) != ErrInvalidKeys {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
