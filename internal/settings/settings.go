package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Settings is everything that an instance is told at its start; it holds no secrets, only the files that do.
type Settings struct {
	Instance  Instance  `json:"instance"`
	Callers   Callers   `json:"callers"`
	Operators Operators `json:"operators"`
	Peers     Peers     `json:"peers"`
	Platform  Platform  `json:"platform"`
	Sessions  Sessions  `json:"sessions"`
	Services  []Service `json:"services" validate:"unique=Name,dive"`
	Engines   Engines   `json:"engines"`
	Claims    Claims    `json:"claims"`
	Bills     Bills     `json:"bills"`
	Cascade   Cascade   `json:"cascade"`
	Endpoints Endpoints `json:"endpoints"`
	Freshness Freshness `json:"freshness"`
	Stop      Stop      `json:"stop"`
	Log       Log       `json:"log"`
	Events    Events    `json:"events"`
}

// Instance says which instance this is and where it runs.
type Instance struct {
	ID               string `json:"id" validate:"required,max=64"`
	AvailabilityZone string `json:"availability-zone" validate:"required,max=64"`
	Region           string `json:"region" validate:"required,max=64"`
}

// TLS names the PEM files of a listener; they are read again when they change.
type TLS struct {
	Certificate Path `json:"certificate" validate:"required"`
	Key         Path `json:"key" validate:"required"`
	ClientCA    Path `json:"client-ca"` // authorities whose client certificates are required; empty asks for none
}

// Callers is the listener for organisations; without TLS the platform's load balancer must terminate it.
type Callers struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	TLS    *TLS           `json:"tls"`
	Limits Limits         `json:"limits"`
}

// Limits bounds what one request may hold.
type Limits struct {
	HeaderBytes    Size          `json:"header-bytes" validate:"min=1024,max=1048576"`
	BodyBytes      Size          `json:"body-bytes" validate:"min=1024,max=67108864"`
	StreamBytes    Size          `json:"stream-bytes" validate:"min=1024,max=268435456"` // of an answer, whole or streamed
	HeaderTimeout  time.Duration `json:"header-timeout" validate:"min=100ms,max=1m"`
	RequestTimeout time.Duration `json:"request-timeout" validate:"min=1s,max=1h"`
	IdleTimeout    time.Duration `json:"idle-timeout" validate:"min=1s,max=1h"`
}

// Operators is the listener for operators.
type Operators struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	TLS    *TLS           `json:"tls"`
	Keys   []OperatorKey  `json:"keys" validate:"min=1,unique=Name,dive"`
}

// OperatorKey identifies an operator by the hash of an API key.
type OperatorKey struct {
	Name string `json:"name" validate:"required,max=64"`
	Hash Hash   `json:"hash" validate:"required,hash"`
}

// Peers is the listener for other instances; with TLS both sides show certificates.
type Peers struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	TLS    *TLS           `json:"tls"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log       URL           `json:"log" validate:"required"`
	Rating    URL           `json:"rating" validate:"required"`
	Weights   URL           `json:"weights" validate:"required"`
	Instances URL           `json:"instances" validate:"required"`
	Timeout   time.Duration `json:"timeout" validate:"min=10ms,max=1m"` // of one call
}

// Sessions holds the keys of session tokens; the first key signs, all keys verify.
type Sessions struct {
	Keys     []SessionKey  `json:"keys" validate:"min=1,unique=ID,dive"`
	Lifetime time.Duration `json:"lifetime" validate:"min=1m,max=8760h"`
}

// SessionKey names a key of session tokens and the file that holds its secret.
type SessionKey struct {
	ID         string `json:"id" validate:"required,max=16"`
	SecretFile Path   `json:"secret-file" validate:"required"`
}

// Service is a plain service that callers reach by name.
type Service struct {
	Name        string        `json:"name" validate:"required,max=64"`
	HonoursKeys bool          `json:"honours-keys"` // runs a repeated Idempotency-Key only once
	Price       record.Micros `json:"price" validate:"min=0"`
}

// Engines says how long to wait for model engines.
type Engines struct {
	FirstTokenTimeout time.Duration `json:"first-token-timeout" validate:"min=100ms,max=10m"`
	ProgressTimeout   time.Duration `json:"progress-timeout" validate:"min=100ms,max=10m"` // between two pieces of a stream
}

// Claims paces the at-most-once record of calls; its window and partitions are constants, equal on all instances.
type Claims struct {
	Wait  time.Duration `json:"wait" validate:"min=10ms,max=1m"` // for the log before the answer is "not run"
	Flush time.Duration `json:"flush" validate:"min=1ms,max=1s"`
}

// Bills bounds how bills wait for the log.
type Bills struct {
	Flush  time.Duration `json:"flush" validate:"min=10ms,max=10s"`
	Buffer int           `json:"buffer" validate:"min=100,max=1000000"` // bills; at the bound no billable work is taken
}

// Cascade tunes what is learned about versions.
type Cascade struct {
	HalfLife      time.Duration `json:"half-life" validate:"min=1m,max=720h"` // of an observation's weight
	TrialShare    float64       `json:"trial-share" validate:"min=0,max=0.2"` // of requests that try an uncertain version
	RatingTimeout time.Duration `json:"rating-timeout" validate:"min=10ms,max=1m"`
}

// Endpoints tunes the choice among endpoints.
type Endpoints struct {
	// ListInterval is the time between reads of the instance list. A read may take a second longer than that, and a
	// leaving endpoint must get no new work after 5 s.
	ListInterval time.Duration `json:"list-interval" validate:"min=50ms,max=2s"`
	Ejection     Ejection      `json:"ejection"`
	HedgeShare   float64       `json:"hedge-share" validate:"min=0,max=0.2"` // of lookups at services that are sent twice
	RetryShare   float64       `json:"retry-share" validate:"min=0,max=0.1"` // of retries to first attempts
}

// Ejection says when an endpoint is taken out and when it is probed again.
type Ejection struct {
	Failures int           `json:"failures" validate:"min=1,max=100"` // in a row
	Base     time.Duration `json:"base" validate:"min=10ms,max=10m"`  // first time out; it doubles each time
	Max      time.Duration `json:"max" validate:"min=10ms,max=1h"`
}

// Freshness bounds how old the configuration may be while the instance is ready.
type Freshness struct {
	// Bound is at least two reads of the log, which wait a second each; 17 s is the bound at target size.
	Bound time.Duration `json:"bound" validate:"min=2s,max=17s"`
}

// Stop paces a planned stop.
type Stop struct {
	BalancerWait time.Duration `json:"balancer-wait" validate:"min=0s,max=5m"` // from not ready until the listener closes
	DrainTimeout time.Duration `json:"drain-timeout" validate:"min=1s,max=2h"` // for the requests under way
}

// Log sets the level of the instance's own log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Events says where events for the time line go; without a file none are kept.
type Events struct {
	File   Path `json:"file"`
	Buffer int  `json:"buffer" validate:"min=16,max=1000000"` // events that wait for the file; more are dropped and counted
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		Callers: Callers{Limits: Limits{
			HeaderBytes: 64 * KiB, BodyBytes: 8 * MiB, StreamBytes: 64 * MiB,
			HeaderTimeout: 5 * time.Second, RequestTimeout: 10 * time.Minute, IdleTimeout: 2 * time.Minute,
		}},
		Platform:  Platform{Timeout: 2 * time.Second},
		Sessions:  Sessions{Lifetime: 24 * time.Hour},
		Engines:   Engines{FirstTokenTimeout: 10 * time.Second, ProgressTimeout: 5 * time.Second},
		Claims:    Claims{Wait: 2 * time.Second, Flush: 100 * time.Millisecond},
		Bills:     Bills{Flush: time.Second, Buffer: 100_000},
		Cascade:   Cascade{HalfLife: time.Hour, TrialShare: 0.02, RatingTimeout: 2 * time.Second},
		Endpoints: defaultEndpoints(),
		Freshness: Freshness{Bound: 5 * time.Second},
		Stop:      Stop{BalancerWait: 5 * time.Second, DrainTimeout: 15 * time.Minute},
		Log:       Log{Level: "info"},
		Events:    Events{Buffer: 8192},
	}
}

func defaultEndpoints() Endpoints {
	return Endpoints{
		ListInterval: time.Second,
		Ejection:     Ejection{Failures: 3, Base: time.Second, Max: time.Minute},
		HedgeShare:   0.02,
		RetryShare:   0.1,
	}
}

// String returns the instance's identity and addresses only.
func (s Settings) String() string {
	return fmt.Sprintf("instance %s in %s (%s), callers %s, operators %s, peers %s",
		s.Instance.ID, s.Instance.AvailabilityZone, s.Instance.Region,
		s.Callers.Listen, s.Operators.Listen, s.Peers.Listen)
}
