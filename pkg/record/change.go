package record

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind names what a change does to its object.
type Kind string

// Kinds of change in the config stream.
const (
	OrganisationPublish Kind = "organisation-publish"
	ProfilePublish      Kind = "profile-publish"
	VersionAdd          Kind = "version-add"
	VersionRollOut      Kind = "version-roll-out"
	VersionAdvance      Kind = "version-advance"
	VersionPause        Kind = "version-pause"
	VersionResume       Kind = "version-resume"
	VersionHalt         Kind = "version-halt"
	VersionWithdraw     Kind = "version-withdraw"
	SnapshotWritten     Kind = "snapshot"
)

// Change is one record of the config stream.
type Change struct {
	ID       string `json:"id"`
	Kind     Kind   `json:"kind"`
	Name     string `json:"name"`
	Base     uint64 `json:"base"`
	Operator string `json:"operator,omitempty"`
	Reason   string `json:"reason,omitempty"`

	Organisation *Organisation `json:"organisation,omitempty"`
	Profile      *Profile      `json:"profile,omitempty"`
	Version      *Version      `json:"version,omitempty"`
	RollOut      *RollOut      `json:"roll-out,omitempty"`
	Stage        int           `json:"stage,omitempty"`

	// Covers and State belong to a snapshot: State is the catalog after folding all offsets below Covers.
	Covers uint64          `json:"covers,omitempty"`
	State  json.RawMessage `json:"state,omitempty"`
}

// Micros is an amount of money in millionths of the operator's currency unit.
type Micros int64

// Duration is a time.Duration written as text such as "90s".
type Duration time.Duration

// MarshalText writes d in the format of time.Duration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("read duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Unit is what a limit counts.
type Unit string

// Units of limits.
const (
	UnitCost     Unit = "cost"     // micros
	UnitTokens   Unit = "tokens"   // input and output tokens
	UnitRequests Unit = "requests" // billed requests and service calls
)

// Limit bounds what an organisation may use in each period.
type Limit struct {
	Unit   Unit     `json:"unit"`
	Amount int64    `json:"amount"`
	Period Duration `json:"period"`
}

// Organisation is a caller that is billed.
type Organisation struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"key-hashes"` // SHA-256 of each API key, in hexadecimal
	Profiles  []string `json:"profiles"`
	Services  []string `json:"services,omitempty"`
	Limits    []Limit  `json:"limits"`
	Share     int      `json:"share,omitempty"`    // weight in admission under overload; 0 counts as 1
	Priority  int      `json:"priority,omitempty"` // higher is served first
}

// Quality is what a profile owes: at least Share of the answers score MinScore or more.
type Quality struct {
	MinScore float64 `json:"min-score"`
	Share    float64 `json:"share"`
}

// Weights say how a profile values latency and exposure to unproven versions against cost.
type Weights struct {
	Cost     float64 `json:"cost"`
	Latency  float64 `json:"latency"`  // micros per second of expected latency
	Exposure float64 `json:"exposure"` // micros per unit of uncertainty about the pass share
}

// Profile says which versions an organisation may use, the quality it is owed and what it may cost.
type Profile struct {
	Name      string   `json:"name"`
	Allow     []string `json:"allow"` // "model@version" or "model@*"
	Safe      string   `json:"safe"`  // version or "model@*" that meets the quality without rating
	Quality   Quality  `json:"quality"`
	MaxCost   Micros   `json:"max-cost"` // per request, worst case over all steps
	Weights   Weights  `json:"weights"`
	Deadline  Duration `json:"deadline"`
	MaxTokens int      `json:"max-tokens,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// Price is what a version costs per thousand tokens.
type Price struct {
	Input  Micros `json:"input"`
	Output Micros `json:"output"`
}

// Version is one version of a model.
type Version struct {
	Name  string  `json:"name"` // "model@version"
	Price Price   `json:"price"`
	Prior float64 `json:"prior,omitempty"` // expected share of answers at quality before any rating; 0 means unknown
}

// Stage is a step of a roll-out.
type Stage struct {
	Share      float64 `json:"share"`       // of new sessions of the model
	MinSamples int     `json:"min-samples"` // healthy samples before the next stage
}

// RollOut is the plan by which a version takes over its model's traffic.
type RollOut struct {
	Stages []Stage `json:"stages"`
}
