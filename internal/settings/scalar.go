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

// minSecret is the shortest secret of a session key, in bytes: the output size of HMAC-SHA-256.
const minSecret = 32

// Size is a number of bytes, written as text such as "64KiB".
type Size int64

// Units of sizes.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
	GiB       = 1024 * MiB
)

// Path is the name of a file; a relative one in a settings file starts at that file's directory.
type Path string

// URL is the base address of a service, whose host is an IP address.
type URL string

// Hash is the SHA-256 of an API key in lower-case hexadecimal; it is never written out.
type Hash string

const redacted = "redacted"

// String hides the hash.
func (h Hash) String() string { return redacted }

// GoString hides the hash.
func (h Hash) GoString() string { return redacted }

// MarshalText hides the hash.
func (h Hash) MarshalText() ([]byte, error) { return []byte(redacted), nil }

var sizeUnits = []struct {
	name string
	size Size
}{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", Byte}}

// String writes the size in its largest whole unit.
func (s Size) String() string {
	for _, u := range sizeUnits {
		if s >= u.size && s%u.size == 0 {
			return fmt.Sprintf("%d%s", s/u.size, u.name)
		}
	}
	return fmt.Sprintf("%dB", int64(s))
}

// ParseSize reads a size such as "64KiB"; units are B, KiB, MiB and GiB.
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

// Secret reads the secret of a session key and drops white space around it.
func (k SessionKey) Secret() ([]byte, error) {
	b, err := os.ReadFile(string(k.SecretFile))
	if err != nil {
		return nil, &Error{Op: "read secret", Kind: ErrRead, File: string(k.SecretFile), Err: err}
	}
	b = bytes.TrimSpace(b)
	if len(b) < minSecret {
		err = fmt.Errorf("session key %s has %d bytes, want %d or more", k.ID, len(b), minSecret)
		return nil, &Error{Op: "read secret", Kind: ErrInvalid, File: string(k.SecretFile), Err: err}
	}
	return b, nil
}

// scalar reads a type that is written as a JSON string.
type scalar struct {
	want  string
	parse func(dir, text string) (any, error)
}

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
		return "", fmt.Errorf("scheme is %q", u.Scheme)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return "", fmt.Errorf("host is %q", u.Hostname())
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return "", fmt.Errorf("user, query or fragment is given")
	}
	return URL(strings.TrimSuffix(s, "/")), nil
}
