package certificate_test

import (
	"testing"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

func TestOperator(t *testing.T) {
	k := certificate.NewOperatorKeys([]settings.OperatorKey{
		{Name: "ida", Hash: settings.Hash(certificate.HashKey("key-1"))},
		{Name: "noor", Hash: settings.Hash(certificate.HashKey("key-2"))},
		{Name: "empty", Hash: settings.Hash(certificate.HashKey(""))},
	})
	tests := map[string]struct{ header, name string }{
		"first":      {"Bearer key-1", "ida"},
		"second":     {"bearer key-2", "noor"},
		"unknown":    {"Bearer key-3", ""},
		"no key":     {"Bearer ", ""},
		"no scheme":  {"key-1", ""},
		"other":      {"Basic key-1", ""},
		"the hash":   {"Bearer " + certificate.HashKey("key-1"), ""},
		"no header":  {"", ""},
		"two spaces": {"Bearer  key-1", "ida"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := k.Operator(certificate.BearerKey(test.header))
			if got != test.name || ok != (test.name != "") {
				t.Errorf("got %q, %v, want %q", got, ok, test.name)
			}
		})
	}
}
