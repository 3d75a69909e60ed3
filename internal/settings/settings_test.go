package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

const validSettings = `// One instance.
{
  "instance": {"id": "a1", "availability-zone": "north", "region": "dk"},
  "callers": {"listen": "0.0.0.0:8080", "limits": {"body-bytes": "2MiB"}},
  "operators": {"listen": "127.0.0.1:8081", "keys": [{"name": "ida", "hash": "HASH"}]},
  "peers": {"listen": "127.0.0.1:8082"},
  "platform": {"log": "http://10.0.0.1:9000/", "rating": "http://10.0.0.1:9001", "weights": "http://10.0.0.1:9002", "instances": "http://[::1]:9003"},
  "sessions": {"keys": [{"id": "k1", "secret-file": "k1.secret"}]},
  "services": [{"name": "booking", "honours-keys": true, "price": 1500}],
  "claims": {"wait": "3s"},
}
`

var hash = strings.Repeat("0f", 32)

// replaced returns the content of a valid settings file with the first occurrence of old replaced.
func replaced(old, replacement string) []byte {
	return []byte(strings.ReplaceAll(strings.Replace(validSettings, old, replacement, 1), "HASH", hash))
}

// TestParse guards against settings that lose values of the file or defaults, or leave URLs and paths unnormalised.
func TestParse(t *testing.T) {
	s, err := settings.Parse("conf/a1.json", replaced("", ""))
	if err != nil {
		t.Fatal(err)
	}
	if s.Callers.Limits.BodyBytes != 2*settings.MiB || s.Claims.LogTimeout != 3*time.Second || s.Services[0].Price != 1500 {
		t.Errorf("values of the file are not in %+v", s)
	}
	if s.Claims.FlushInterval != 100*time.Millisecond {
		t.Errorf("flush is %v, want the default", s.Claims.FlushInterval)
	}
	if s.Platform.Log != "http://10.0.0.1:9000" || s.Sessions.Keys[0].SecretFile != "conf/k1.secret" {
		t.Errorf("log is %s, secret file is %s", s.Platform.Log, s.Sessions.Keys[0].SecretFile)
	}
}

// TestPrintHidesHashes guards against settings that expose the hash of an API key when they are logged.
func TestPrintHidesHashes(t *testing.T) {
	s, err := settings.Parse("a1.json", replaced("", ""))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range []string{"%v", "%+v", "%#v", "%s"} {
		if out := fmt.Sprintf(f, s) + fmt.Sprintf(f, s.Operators); strings.Contains(out, hash) {
			t.Errorf("%s prints the hash: %s", f, out)
		}
	}
}

// TestProblems guards against problems with a wrong position and against a problem that hides others.
func TestProblems(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     []string
	}{
		"syntax": {`"callers": {`, `"callers" {`, []string{
			"4:13: file: found a syntax error: invalid character '{' after object name, want JSON, with or without comments",
		}},
		"unknown field": {`"claims": {"wait": "3s"}`, `"claims": {"wiat": "3s"}`, []string{
			`10:14: claims.wiat: found an unknown field, want one of wait, flush`,
		}},
		"wrong type": {`"honours-keys": true`, `"honours-keys": "yes"`, []string{
			`9:52: services[0].honours-keys: found "yes", want true or false`,
		}},
		"section of wrong type": {`"services": [{"name": "booking", "honours-keys": true, "price": 1500}]`, `"services": {}`, []string{
			`9:15: services: found an object, want an array`,
		}},
		"number for duration": {`"wait": "3s"`, `"wait": 3`, []string{
			`10:22: claims.wait: found 3, want duration text such as "5s"`,
		}},
		"wrong unit of duration": {`"wait": "3s"`, `"wait": "3 parsecs"`, []string{
			`10:22: claims.wait: found "3 parsecs", want duration text such as "5s"`,
		}},
		"wrong unit of size": {`"2MiB"`, `"2MB"`, []string{
			`4:66: callers.limits.body-bytes: found "2MB", want size text such as "64KiB"`,
		}},
		"bad address": {`"0.0.0.0:8080"`, `"localhost:8080"`, []string{
			`4:25: callers.listen: found "localhost:8080", want an IP address and port such as "10.0.0.1:8443"`,
		}},
		"URL with a name": {`"http://10.0.0.1:9000/"`, `"http://log.internal:9000"`, []string{
			`7:23: platform.log: found "http://log.internal:9000", want a URL with an IP address such as "http://10.0.0.1:9000"`,
		}},
		"missing field": {`"id": "a1", `, ``, []string{
			`3:15: instance.id: found nothing, want a value`,
		}},
		"missing section": {`  "peers": {"listen": "127.0.0.1:8082"},`, ``, []string{
			`2:1: peers.listen: found nothing, want an IP address and port such as "10.0.0.1:8443"`,
		}},
		"duplicate field": {`"claims": {"wait": "3s"}`, `"claims": {"wait": "3s", "wait": "4s"}`, []string{
			`10:28: claims.wait: found the field a second time, want each field once`,
		}},
		"duplicate name": {`"HASH"}]`, `"HASH"}, {"name": "ida", "hash": "HASH"}]`, []string{
			`5:53: operators.keys: found an array, want elements that differ in name`,
		}},
		"empty list": {`{"id": "k1", "secret-file": "k1.secret"}`, ``, []string{
			`8:24: sessions.keys: found an array, want 1 or more elements`,
		}},
		"long name": {`"k1"`, `"december-of-2026"`, nil},
		"too long name": {`"k1"`, `"december-of-2026x"`, []string{
			`8:32: sessions.keys[0].id: found "december-of-2026x", want 16 or fewer characters`,
		}},
		"not an object": {validSettings, "[]", []string{
			`1:1: file: found an array, want an object`,
		}},
		"out of range": {`"2MiB"`, `"2GiB"`, []string{
			`4:66: callers.limits.body-bytes: found "2GiB", want "64MiB" or less`,
		}},
		"wait too long": {`"wait": "3s"`, `"wait": "20m"`, []string{
			`10:22: claims.wait: found "20m", want 1m or less`,
		}},
		"key in place of its hash": {`"HASH"`, `"my-api-key"`, []string{
			`5:78: operators.keys[0].hash: found 12 bytes of JSON, want a SHA-256 of 64 hexadecimal digits in lower case`,
		}},
		"operators open to the network": {`"127.0.0.1:8081"`, `"0.0.0.0:8081"`, []string{
			`5:16: operators.tls: found nothing, want tls, or a loopback address in listen`,
		}},
		"peers without an authority": {`"127.0.0.1:8082"`, `"0.0.0.0:8082", "tls": {"certificate": "c", "key": "k"}`, []string{
			`6:46: peers.tls.client-ca: found nothing, want the authority of the peers' certificates`,
		}},
		"shared address": {`"127.0.0.1:8082"`, `"127.0.0.1:8081"`, []string{
			`6:23: peers.listen: found "127.0.0.1:8081", want an address other than that of operators.listen`,
		}},
		"stop shorter than a request": {`"body-bytes": "2MiB"`, `"request-timeout": "30m"`, []string{
			`2:1: stop.drain-timeout: found 15m0s by default, want callers.limits.request-timeout (30m0s) or more`,
		}},
		"several": {"\"wait\": \"3s\"},\n", "\"wait\": 3, \"flush\": \"99s\"},\n  \"log\": {\"level\": \"loud\"},\n", []string{
			`10:22: claims.wait: found 3, want duration text such as "5s"`,
			`10:34: claims.flush: found "99s", want 1s or less`,
			`11:20: log.level: found "loud", want one of debug, info, warn, error`,
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("a1.json", replaced(test.old, test.new))
			var e *settings.Error
			if errors.As(err, &e) != (test.want != nil) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
			if e == nil {
				return
			}
			var got []string
			for _, p := range e.Problems {
				got = append(got, strings.TrimPrefix(p.String(), "a1.json:"))
			}
			if d := cmp.Diff(test.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestSecret guards against secrets that are too short and against white space that becomes part of a secret.
func TestSecret(t *testing.T) {
	tests := map[string]struct {
		content string
		kind    settings.ErrorKind
	}{
		"good":  {strings.Repeat("s", 32) + "\n", ""},
		"short": {"s\n", settings.ErrInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "k1.secret")
			if err := os.WriteFile(file, []byte(test.content), 0o600); err != nil {
				t.Fatal(err)
			}
			b, err := settings.SessionKey{ID: "k1", SecretFile: settings.Path(file)}.Secret()
			var e *settings.Error
			if errors.As(err, &e) != (test.kind != "") || (e != nil && e.Kind != test.kind) {
				t.Errorf("got %v, want kind %q", err, test.kind)
			}
			if err == nil && len(b) != 32 {
				t.Errorf("got %d bytes, want 32", len(b))
			}
		})
	}
}
