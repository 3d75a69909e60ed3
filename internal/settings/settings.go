package settings

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Settings holds the settings of an instance that runs the serve command. Secrets are kept in separate files, which the
// settings name.
type Settings struct {
	Instance  Instance      `json:"instance"`
	Callers   Callers       `json:"callers"`
	Operators Operators     `json:"operators"`
	Peers     Peers         `json:"peers"`
	Platform  Platform      `json:"platform"`
	Sessions  Sessions      `json:"sessions"`
	Services  []Service     `json:"services" validate:"unique=Name,dive"`
	Limits    ProcessLimits `json:"limits"`
	Engines   Engines       `json:"engines"`
	Claims    Claims        `json:"claims"`
	Bills     Bills         `json:"bills"`
	Cascade   Cascade       `json:"cascade"`
	Endpoints Endpoints     `json:"endpoints"`
	Freshness Freshness     `json:"freshness"`
	Stop      Stop          `json:"stop"`
	Log       Log           `json:"log"`
	Events    Events        `json:"events"`
}

// Instance identifies the instance and its location.
type Instance struct {
	ID               string `json:"id" validate:"required,max=64"`
	AvailabilityZone string `json:"availability-zone" validate:"required,max=64"`
	Region           string `json:"region" validate:"required,max=64"`
}

// TLS names the PEM files of a listener, which are reloaded when they change.
type TLS struct {
	Certificate Path `json:"certificate" validate:"required"`
	Key         Path `json:"key" validate:"required"`
	ClientCA    Path `json:"client-ca"` // CAs that client certificates must be signed by; if empty, no client certificate is required
}

// Callers configures the listener for requests of organisations. Without TLS here, the platform's load balancer must
// terminate TLS.
type Callers struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	TLS    *TLS           `json:"tls"`
	Limits Limits         `json:"limits"`
}

// ProcessLimits holds the limits of the process.
type ProcessLimits struct {
	Memory Size `json:"memory" validate:"min=67108864"` // memory of the process, from which the limits on clients' connections and bodies follow
}

// Limits bounds the size and duration of a request.
type Limits struct {
	HeaderBytes    Size          `json:"header-bytes" validate:"min=1024,max=1048576"`
	BodyBytes      Size          `json:"body-bytes" validate:"min=1024,max=67108864"`
	StreamBytes    Size          `json:"stream-bytes" validate:"min=1024,max=268435456"` // maximum size of an answer, streamed or not
	HeaderTimeout  time.Duration `json:"header-timeout" validate:"min=100ms,max=1m"`
	RequestTimeout time.Duration `json:"request-timeout" validate:"min=1s,max=1h"`
	IdleTimeout    time.Duration `json:"idle-timeout" validate:"min=1s,max=1h"`
}

// Operators configures the listener for operators.
type Operators struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	TLS    *TLS           `json:"tls"`
	Keys   []OperatorKey  `json:"keys" validate:"min=1,unique=Name,dive"`
}

// OperatorKey holds the name of an operator and the hash of the operator's API key.
type OperatorKey struct {
	Name string `json:"name" validate:"required,max=64"`
	Hash Hash   `json:"hash" validate:"required,hash"`
}

// Peers configures the listener for other instances. With TLS, both sides present certificates.
type Peers struct {
	Listen netip.AddrPort `json:"listen" validate:"required"`
	TLS    *TLS           `json:"tls"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Log       URL           `json:"log" validate:"required"`
	Rating    URL           `json:"rating" validate:"required"`
	Weights   URL           `json:"weights" validate:"required"`
	Instances URL           `json:"instances" validate:"required"`
	Timeout   time.Duration `json:"timeout" validate:"min=10ms,max=1m"` // timeout of each call
}

// Sessions configures session tokens. The first key signs tokens; all keys verify them.
type Sessions struct {
	Keys     []SessionKey  `json:"keys" validate:"min=1,unique=ID,dive"`
	Lifetime time.Duration `json:"lifetime" validate:"min=1m,max=8760h"`
}

// SessionKey holds the ID of a signing key for session tokens and the file with its secret.
type SessionKey struct {
	ID         string `json:"id" validate:"required,max=16"`
	SecretFile Path   `json:"secret-file" validate:"required"`
}

// Service describes a service other than a model engine, which callers address by name.
type Service struct {
	Name        string        `json:"name" validate:"required,max=64"`
	HonoursKeys bool          `json:"honours-keys"` // the service runs a request with a repeated Idempotency-Key only once
	Price       record.Micros `json:"price" validate:"min=0"`
}

// Engines holds the timeouts of model engines.
type Engines struct {
	FirstTokenTimeout time.Duration `json:"first-token-timeout" validate:"min=100ms,max=10m"`
	ProgressTimeout   time.Duration `json:"progress-timeout" validate:"min=100ms,max=10m"` // longest time between two chunks of a stream
}

// Claims configures the claims in the log that make calls run at most once. Their window and number of partitions are
// constants, because they must be equal on all instances.
type Claims struct {
	LogTimeout    time.Duration `json:"wait" validate:"min=10ms,max=1m"` // longest wait for the log before the caller is told that the call did not run
	FlushInterval time.Duration `json:"flush" validate:"min=1ms,max=1s"`
}

// Bills configures how bills are buffered before they are written to the log.
type Bills struct {
	FlushInterval time.Duration `json:"flush" validate:"min=10ms,max=10s"`
	BufferSize    int           `json:"buffer" validate:"min=100,max=1000000"` // number of bills; while the buffer is full, billable requests are refused
}

// Cascade configures how the quality of versions is learned.
type Cascade struct {
	HalfLife      time.Duration `json:"half-life" validate:"min=1m,max=720h"` // half-life of the weight of an observation
	TrialShare    float64       `json:"trial-share" validate:"min=0,max=0.2"` // share of requests that try a version of uncertain quality
	RatingTimeout time.Duration `json:"rating-timeout" validate:"min=10ms,max=1m"`
}

// Endpoints configures the selection among endpoints.
type Endpoints struct {
	// ListInterval is the time between reads of the instance list. It is at most 2 s, because a read may take a second
	// longer than the interval and an endpoint that announces its stop must get no new requests after 5 s.
	ListInterval time.Duration `json:"list-interval" validate:"min=50ms,max=2s"`
	Ejection     Ejection      `json:"ejection"`
	HedgeShare   float64       `json:"hedge-share" validate:"min=0,max=0.2"` // share of lookups at services that are sent to a second endpoint as well
	RetryShare   float64       `json:"retry-share" validate:"min=0,max=0.1"` // ratio of retries to first attempts
}

// Ejection configures when a failing endpoint is ejected and when it is probed again.
type Ejection struct {
	ConsecutiveFailures int           `json:"failures" validate:"min=1,max=100"` // consecutive failures that eject an endpoint
	BaseDuration        time.Duration `json:"base" validate:"min=10ms,max=10m"`  // duration of the first ejection, doubled by each further one
	MaxDuration         time.Duration `json:"max" validate:"min=10ms,max=1h"`    // longest ejection
}

// Freshness limits the age of the configuration of a ready instance.
type Freshness struct {
	// MaxAge is at least 2 s, because a read of the log waits up to a second and two of them must fit. The maximum of 17 s
	// is the bound for a site of the target size.
	MaxAge time.Duration `json:"bound" validate:"min=2s,max=17s"`
}

// Stop configures a graceful shutdown.
type Stop struct {
	BalancerWait time.Duration `json:"balancer-wait" validate:"min=0s,max=5m"` // time from reporting not ready until the listener closes, for load balancers to notice
	DrainTimeout time.Duration `json:"drain-timeout" validate:"min=1s,max=2h"` // longest wait for requests in progress
}

// Log configures the instance's log.
type Log struct {
	Level string `json:"level" validate:"oneof=debug info warn error"`
}

// Events configures the time line of events. Without a file, no events are recorded.
type Events struct {
	File       Path `json:"file"`
	BufferSize int  `json:"buffer" validate:"min=16,max=1000000"` // number of events that may wait for the file; further ones are dropped and counted
}

// Default returns the values of fields that a settings file omits.
func Default() Settings {
	return Settings{
		Callers: Callers{Limits: Limits{
			HeaderBytes: 64 * KiB, BodyBytes: 8 * MiB, StreamBytes: 64 * MiB,
			HeaderTimeout: 5 * time.Second, RequestTimeout: 10 * time.Minute, IdleTimeout: 2 * time.Minute,
		}},
		Limits:    ProcessLimits{Memory: 1024 * MiB},
		Platform:  Platform{Timeout: 2 * time.Second},
		Sessions:  Sessions{Lifetime: 24 * time.Hour},
		Engines:   Engines{FirstTokenTimeout: 10 * time.Second, ProgressTimeout: 5 * time.Second},
		Claims:    Claims{LogTimeout: 2 * time.Second, FlushInterval: 100 * time.Millisecond},
		Bills:     Bills{FlushInterval: time.Second, BufferSize: 100_000},
		Cascade:   Cascade{HalfLife: time.Hour, TrialShare: 0.02, RatingTimeout: 2 * time.Second},
		Endpoints: defaultEndpoints(),
		Freshness: Freshness{MaxAge: 5 * time.Second},
		Stop:      Stop{BalancerWait: 5 * time.Second, DrainTimeout: 15 * time.Minute},
		Log:       Log{Level: "info"},
		Events:    Events{BufferSize: 8192},
	}
}

func defaultEndpoints() Endpoints {
	return Endpoints{
		ListInterval: time.Second,
		Ejection:     Ejection{ConsecutiveFailures: 3, BaseDuration: time.Second, MaxDuration: time.Minute},
		HedgeShare:   0.02,
		RetryShare:   0.1,
	}
}

// String describes the instance by its identity and addresses.
func (s Settings) String() string {
	return fmt.Sprintf("instance %s in %s (%s), callers %s, operators %s, peers %s",
		s.Instance.ID, s.Instance.AvailabilityZone, s.Instance.Region,
		s.Callers.Listen, s.Operators.Listen, s.Peers.Listen)
}
