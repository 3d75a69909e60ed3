package timeline

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

const (
	// maxIdentifierBytes is the maximum length of each identifier of an event; longer ones are truncated.
	maxIdentifierBytes = 256
	// maxLineBytes is the maximum length of an encoded event. Eight identifiers of maximum length take 12 KiB when
	// every byte is escaped.
	maxLineBytes = 16 << 10
)

// truncationMark ends a truncated identifier.
const truncationMark = "..."

// Event records something that happened at an instance. Writer sets Clock and Instance.
// An event must not contain secrets: no API keys, no session tokens (see SessionID) and no text of requests or answers.
type Event struct {
	Timestamp    Timestamp         `json:"clock"`
	Instance     string            `json:"instance"`
	Component    string            `json:"part"`
	Name         string            `json:"name"`
	Request      string            `json:"request,omitempty"`
	Session      string            `json:"session,omitempty"`
	Organisation string            `json:"organisation,omitempty"`
	Version      string            `json:"version,omitempty"`
	Endpoint     string            `json:"endpoint,omitempty"`
	Fields       map[string]string `json:"fields,omitempty"`
}

// SessionID returns a short identifier for the session of a token. The token can't be derived from it.
func SessionID(token string) string {
	const length = 8 // bytes
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:length])
}

// encode encodes the event as a line and reports whether parts of it were truncated to fit into maxLineBytes.
func (e Event) encode() ([]byte, bool, error) {
	truncated := false
	for _, s := range []*string{&e.Instance, &e.Component, &e.Name, &e.Request, &e.Session, &e.Organisation, &e.Version, &e.Endpoint} {
		if len(*s) > maxIdentifierBytes {
			*s, truncated = strings.ToValidUTF8((*s)[:maxIdentifierBytes-len(truncationMark)], "")+truncationMark, true
		}
	}
	b, err := json.Marshal(e)
	if err == nil && len(b) >= maxLineBytes {
		truncated = true
		e.Fields = map[string]string{"cut": fmt.Sprintf("%d bytes", len(b))}
		b, err = json.Marshal(e)
	}
	return append(b, '\n'), truncated, err
}

// Filter selects events by their identifiers. An empty field matches every event.
type Filter struct {
	Request      string
	Session      string
	Organisation string
	Version      string
	Endpoint     string
	Instance     string
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e Event) bool {
	for _, p := range [][2]string{
		{f.Request, e.Request},
		{f.Session, e.Session},
		{f.Organisation, e.Organisation},
		{f.Version, e.Version},
		{f.Endpoint, e.Endpoint},
		{f.Instance, e.Instance},
	} {
		if p[0] != "" && p[0] != p[1] {
			return false
		}
	}
	return true
}
