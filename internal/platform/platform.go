package platform

import (
	"context"
	"net/netip"
	"time"
)

// Offset is a position in a stream; the first record has offset 0.
type Offset uint64

// Entry is one record of a stream; Time is set by the log and never decreases within a stream.
type Entry struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the result of a read: First is the oldest offset kept, Next is the end of the stream.
type Page struct {
	Entries []Entry   `json:"entries"`
	First   Offset    `json:"first"`
	Next    Offset    `json:"next"`
	Now     time.Time `json:"now"` // the log's clock
}

// Log is the platform's append-only log; an error from Append may hide an effect that took place.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}

// Answer is what the rating service judges.
type Answer struct {
	Profile string `json:"profile"`
	Class   string `json:"class"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Text    string `json:"text"`
}

// Rater scores an answer from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, a Answer) (float64, error)
}

// WeightStore paces loading of weights; Reserve returns how long to wait before the load may start.
type WeightStore interface {
	Reserve(ctx context.Context, version string) (time.Duration, error)
}

// Role is what an instance on the platform's list does.
type Role string

// Roles of listed instances.
const (
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleRouter  Role = "router"
)

// Instance is one entry of the platform's list; the list lags behind.
type Instance struct {
	ID       string         `json:"id"`
	Role     Role           `json:"role"`
	Service  string         `json:"service,omitempty"` // name of the plain service, for RoleService
	Zone     string         `json:"zone"`              // availability zone
	Address  netip.AddrPort `json:"address"`
	Leaving  bool           `json:"leaving,omitempty"`
	Versions []string       `json:"versions,omitempty"` // versions that an engine says it serves
}

// InstanceList returns the platform's list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}
