package platform

import (
	"context"
	"net/netip"
	"time"
)

// Offset is the position of a record in a stream; the first record has offset 0.
type Offset uint64

// Entry is one record of a stream.
type Entry struct {
	Offset Offset    `json:"offset"`
	Time   time.Time `json:"time"` // of the append by the log's clock; never decreases within a stream
	Data   []byte    `json:"data"`
	Era    uint64    `json:"era,omitempty"` // the log's era at the append; see Page
}

// Page is the result of a read.
type Page struct {
	Entries []Entry   `json:"entries"`
	Oldest  Offset    `json:"first"` // offset of the oldest record that the log keeps
	End     Offset    `json:"next"`  // end of the stream: the offset that the next appended record gets
	Now     time.Time `json:"now"`   // time of the read by the log's clock
	// Era counts the returns of the log from an older copy of itself, in which records were lost and their offsets became free again. A
	// log that tells none has era 0.
	Era      uint64    `json:"era,omitempty"`
	EraStart time.Time `json:"era-start,omitzero"` // time of the return by the log's clock; no lost record is later
}

// ReturnedSince reports whether the log has returned from an older copy since a reader that has read up to the offset next in an era.
func (p Page) ReturnedSince(era uint64, next Offset) bool { return p.Era > era || p.End < next }

// Log is the platform's append-only log. If Append returns an error, the record may have been appended nevertheless. A record may be
// lost when the log returns from an older copy; Page tells its era.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Page, error)
}

// RatingRequest is an answer to be rated, with its prompt.
type RatingRequest struct {
	Profile string `json:"profile"`
	Class   string `json:"class"`
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Text    string `json:"text"`
}

// Rater scores answers from 0 to 1.
type Rater interface {
	Rate(ctx context.Context, a RatingRequest) (float64, error)
}

// WeightStore schedules the loading of weights. Reserve returns how long to wait before the load may start.
type WeightStore interface {
	Reserve(ctx context.Context, version string) (time.Duration, error)
}

// Role is the function of an instance on the platform's list.
type Role string

// Roles of instances.
const (
	RoleEngine  Role = "engine"
	RoleService Role = "service"
	RoleRouter  Role = "router"
)

// Instance is one entry of the platform's list. The list may be out of date.
type Instance struct {
	ID               string         `json:"id"`
	Role             Role           `json:"role"`
	Service          string         `json:"service,omitempty"` // name of its service, for RoleService
	AvailabilityZone string         `json:"zone"`              // availability zone
	Address          netip.AddrPort `json:"address"`
	Leaving          bool           `json:"leaving,omitempty"`  // the instance is about to stop
	Versions         []string       `json:"versions,omitempty"` // versions that the instance reports to serve, for RoleEngine
}

// InstanceList provides the platform's list of live and leaving instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]Instance, error)
}
