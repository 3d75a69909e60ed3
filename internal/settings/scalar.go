package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// minSecretBytes is the minimum length of a session key's secret, equal to the output size of HMAC-SHA-256.
const minSecretBytes = 32

// Size is a number of bytes, written in settings as text such as "64KiB".
type Size int64

// Units of sizes.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

// Path is the path of a file. In a settings file, a relative path is resolved against the directory of that file.
type Path string

// URL is the base URL of a service; its host must be an IP address.
type URL string

// Hash is the SHA-256 of an API key in lower-case hexadecimal. It is redacted in logs and encoded output.
type Hash string

const redacted = "redacted"

// String returns a placeholder instead of the hash.
func (h Hash) String() string { return redacted }

// GoString returns a placeholder instead of the hash.
func (h Hash) GoString() string { return redacted }

// MarshalText returns a placeholder instead of the hash.
func (h Hash) MarshalText() ([]byte, error) { return []byte(redacted), nil }

var sizeUnits = []struct {
	name string
	size Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// String formats the size in the largest unit that divides it evenly.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s >= u.size && s%u.size == 0 {
			return fmt.Sprintf("%d%s", s/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// ParseSize parses a size such as "64KiB". The units are B, KiB, MiB and GiB.
func ParseSize(text string) (Size, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > int64((1<<62)/u.size) {
			return 0, fmt.Errorf("size %q is not a whole number of %s", text, u.name)
		}
		return Size(n) * u.size, nil
	}
	return 0, fmt.Errorf("size %q has no unit", text)
}

// Secret reads the secret from the session key's file and trims surrounding white space.
func (k SessionKey) Secret() ([]byte, error) {
	b, err := os.ReadFile(string(k.SecretFile))
	if err != nil {
		return nil, &Error{Op: "read secret", Kind: ErrRead, File: string(k.SecretFile), Err: err}
	}
	b = bytes.TrimSpace(b)
	if len(b) < minSecretBytes {
		err = fmt.Errorf("secret of session key %s has %d bytes, want %d or more", k.ID, len(b), minSecretBytes)
		return nil, &Error{Op: "read secret", Kind: ErrInvalid, File: string(k.SecretFile), Err: err}
	}
	return b, nil
}

// scalar describes how a type is parsed from a JSON string.
type scalar struct {
	want  string // expected value, as problems state it
	parse func(dir, text string) (any, error)
}

// scalars holds the types that are written as JSON strings.
var scalars = map[reflect.Type]scalar{
	reflect.TypeFor[time.Duration](): {`duration text such as "5s"`, func(_, s string) (any, error) {
		return time.ParseDuration(s)
	}},
	reflect.TypeFor[record.Duration](): {`duration text such as "5s"`, func(_, s string) (any, error) {
		d, err := time.ParseDuration(s)
		return record.Duration(d), err
	}},
	reflect.TypeFor[Size](): {`size text such as "64KiB"`, func(_, s string) (any, error) {
		return ParseSize(s)
	}},
	reflect.TypeFor[netip.AddrPort](): {`an IP address and port such as "10.0.0.1:8443"`, func(_, s string) (any, error) {
		return netip.ParseAddrPort(s)
	}},
	reflect.TypeFor[URL](): {`a URL with an IP address such as "http://10.0.0.1:9000"`, func(_, s string) (any, error) {
		return parseURL(s)
	}},
	reflect.TypeFor[Path](): {"a file name", func(dir, s string) (any, error) {
		if s == "" || filepath.IsAbs(s) {
			return Path(s), nil
		}
		return Path(filepath.Join(dir, s)), nil
	}},
	reflect.TypeFor[Hash](): {"text", func(_, s string) (any, error) { return Hash(s), nil }},
}

func parseURL(s string) (URL, error) {
	u, err := url.Parse(s)
	if err != nil {
		return "", err
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return "", fmt.Errorf("scheme is %q, want http or https", u.Scheme)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return "", fmt.Errorf("host is %q, want an IP address", u.Hostname())
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "", fmt.Errorf("URL has a user, query or fragment")
	}
	return URL(strings.TrimSuffix(s, "/")), nil
}
