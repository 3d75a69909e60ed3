package record

import (
	"encoding/json"
	"fmt"
	"time"
)

// Kind is the type of a change.
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
	ZoneEvacuate        Kind = "zone-evacuate"
	ZoneRestore         Kind = "zone-restore"
	SnapshotWritten     Kind = "snapshot"
)

// Change is one record of the config stream: a change to an object, or a snapshot of all objects.
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

	// Covers and State are set in a snapshot only: State is the catalog after all changes at offsets below Covers.
	Covers uint64          `json:"covers,omitempty"`
	State  json.RawMessage `json:"state,omitempty"`
}

// Micros is an amount of money in millionths of the operator's currency.
type Micros int64

// Duration is a time.Duration that is encoded as text such as "90s".
type Duration time.Duration

// MarshalText encodes d in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes the format of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("read duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Unit is the quantity that a limit counts.
type Unit string

// Units of limits.
const (
	UnitCost     Unit = "cost"     // micros
	UnitTokens   Unit = "tokens"   // input and output tokens
	UnitRequests Unit = "requests" // billed requests and service calls
)

// Limit is the maximum amount that an organisation may use in each period.
type Limit struct {
	Unit   Unit     `json:"unit"`
	Amount int64    `json:"amount"`
	Period Duration `json:"period"`
}

// Organisation is a caller with API keys, limits and bills of its own.
type Organisation struct {
	Name      string   `json:"name"`
	KeyHashes []string `json:"key-hashes"` // SHA-256 of each API key, in hexadecimal
	Profiles  []string `json:"profiles"`
	Services  []string `json:"services,omitempty"`
	Limits    []Limit  `json:"limits"`
	Share     int      `json:"share,omitempty"`    // weight when requests are admitted under overload; 0 means 1
	Priority  int      `json:"priority,omitempty"` // requests with a higher priority are served first
}

// Quality is the quality target of a profile: at least the fraction Share of the answers must score MinScore or more.
type Quality struct {
	MinScore float64 `json:"min-score"`
	Share    float64 `json:"share"`
}

// Weights convert latency and exposure to unproven versions into cost, so that versions can be compared.
type Weights struct {
	Cost     float64 `json:"cost"`
	Latency  float64 `json:"latency"`  // Micros per second of expected latency
	Exposure float64 `json:"exposure"` // Micros per unit of uncertainty about a version's share of answers that pass
}

// Profile defines the versions that may answer a request, its quality target and its maximum cost.
type Profile struct {
	Name      string   `json:"name"`
	Allow     []string `json:"allow"` // "model@version" or "model@*"
	Safe      string   `json:"safe"`  // "model@version" or "model@*" that is assumed to meet the quality target without ratings
	Quality   Quality  `json:"quality"`
	MaxCost   Micros   `json:"max-cost"` // for one request, in the worst case of all its model calls
	Weights   Weights  `json:"weights"`
	Deadline  Duration `json:"deadline"`
	MaxTokens int      `json:"max-tokens,omitempty"`
	Priority  int      `json:"priority,omitempty"`
}

// Price is the price of a version per thousand tokens.
type Price struct {
	Input  Micros `json:"input"`
	Output Micros `json:"output"`
}

// Cost returns the cost of a number of tokens.
func (p Price) Cost(input, output int64) Micros {
	// Prices are per 1000 tokens. Rounding up prevents a bill of 0 for a short answer.
	return Micros((int64(p.Input)*input + int64(p.Output)*output + 999) / 1000)
}

// Version is one version of a model.
type Version struct {
	Name  string  `json:"name"` // "model@version"
	Price Price   `json:"price"`
	Prior float64 `json:"prior,omitempty"` // expected share of answers that meet the quality target, before any rating; 0 means unknown
}

// Stage is one stage of a roll-out.
type Stage struct {
	Share      float64 `json:"share"`       // fraction of the model's new sessions that use the version
	MinSamples int     `json:"min-samples"` // number of healthy samples required for the next stage
}

// RollOut lists the stages in which a version takes over the traffic of its model.
type RollOut struct {
	Stages []Stage `json:"stages"`
}
