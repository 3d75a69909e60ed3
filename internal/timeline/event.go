package timeline

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
)

// Bounds of an event, in bytes.
const (
	maxName = 256      // of each name and identifier
	maxLine = 16 << 10 // of an event in a file; all identifiers at their bound take 12 KiB when every byte is escaped
)

// cutMark ends an identifier that was shortened.
const cutMark = "..."

// Event is something that happened at an instance; Writer sets Clock and Instance.
// An event carries no secrets: no API keys, no session tokens (see SessionID) and no text of requests or answers.
type Event struct {
	Clock        Stamp             `json:"clock"`
	Instance     string            `json:"instance"`
	Part         string            `json:"part"`
	Name         string            `json:"name"`
	Request      string            `json:"request,omitempty"`
	Session      string            `json:"session,omitempty"`
	Organisation string            `json:"organisation,omitempty"`
	Version      string            `json:"version,omitempty"`
	Endpoint     string            `json:"endpoint,omitempty"`
	Fields       map[string]string `json:"fields,omitempty"`
}

// SessionID returns a short name for the session of a token, from which the token can't be derived.
func SessionID(token string) string {
	const length = 8 // bytes
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:length])
}

// encode returns the event as a line and whether something was cut to keep it within maxLine.
func (e Event) encode() ([]byte, bool, error) {
	cut := false
	for _, s := range []*string{&e.Instance, &e.Part, &e.Name, &e.Request, &e.Session, &e.Organisation, &e.Version, &e.Endpoint} {
		if len(*s) > maxName {
			*s, cut = strings.ToValidUTF8((*s)[:maxName-len(cutMark)], "")+cutMark, true
		}
	}
	b, err := json.Marshal(e)
	if err == nil && len(b) >= maxLine {
		cut = true
		e.Fields = map[string]string{"cut": fmt.Sprintf("%d bytes", len(b))}
		b, err = json.Marshal(e)
	}
	return append(b, '\n'), cut, err
}

// Filter selects events; an empty field selects all.
type Filter struct {
	Request      string
	Session      string
	Organisation string
	Version      string
	Endpoint     string
	Instance     string
}

// Match reports whether the filter selects an event.
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
