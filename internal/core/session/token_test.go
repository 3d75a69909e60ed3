package session

import (
	"errors"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func key(id string) Key { return Key{ID: id, Secret: []byte(strings.Repeat(id, 40))} }

func signer(t interface{ Fatal(...any) }, ids ...string) *Signer {
	var l []Key
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

// Guards against tokens that outlive their key or lifetime, or serve another organisation.
func TestVerify(t *testing.T) {
	token := Token{Organisation: "bakery", Profile: "proof", Version: "m@1", Revision: 7, Issued: epoch}
	old, now := signer(t, "a"), signer(t, "b", "a")
	text := old.Sign(token)
	for name, c := range map[string]struct {
		signer *Signer
		text   string
		org    string
		age    time.Duration
		want   ErrorKind
	}{
		"own key":          {old, text, "bakery", time.Minute, ""},
		"rotated key":      {now, text, "bakery", time.Minute, ""},
		"removed key":      {signer(t, "b"), text, "bakery", time.Minute, ErrUnknownKey},
		"other owner":      {old, text, "depot", time.Minute, ErrWrongOrganisation},
		"at its end":       {old, text, "bakery", time.Hour, ErrExpired},
		"from the future":  {old, text, "bakery", -time.Hour, ErrExpired},
		"small skew":       {old, text, "bakery", -time.Minute, ""},
		"empty":            {old, "", "bakery", 0, ErrMalformed},
		"no signature":     {old, "a.b", "bakery", 0, ErrMalformed},
		"too long":         {old, text + strings.Repeat("A", maxToken), "bakery", 0, ErrMalformed},
		"other key's name": {now, "b" + text[1:], "bakery", 0, ErrBadSignature},
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

// Guards against a forged token: no change of a single character may verify.
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

// Guards against weak or ambiguous keys in the settings.
func TestNewSignerRefuses(t *testing.T) {
	for name, l := range map[string][]Key{
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
