package instance

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/catalog"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/operator"
	"github.com/cassiaspoke/cassiaspoke/internal/order"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// Options are everything that an instance is made from.
type Options struct {
	ID, Zone, Region string
	Build            string

	Callers, Operators net.Listener // with TLS already applied
	Peers              netip.AddrPort
	PeersTLS           *tls.Config

	Log     platform.Log
	Rater   platform.Rater
	Weights platform.WeightStore
	List    platform.InstanceList

	SessionKeys     []session.Key
	SessionLifetime time.Duration
	OperatorKeys    operator.Keys

	Gateway   gateway.Settings
	Answer    answer.Settings
	Order     order.Settings
	Engine    engine.Settings
	Catalog   catalog.Settings
	Endpoints endpoint.Settings
	Retries   endpoint.RetrySettings
	Admission endpoint.AdmissionSettings
	Cascade   cascade.Settings
	RollOut   rollout.Settings
	Suspects  suspect.Settings
	Ledger    Ledger
	Loading   Loading

	ListEvery    time.Duration // between reads of the instance list
	Freshness    time.Duration // age of the configuration at which the instance takes no work
	HeaderBytes  int
	HeaderTime   time.Duration
	IdleTime     time.Duration
	BalancerWait time.Duration // from not ready until the listener closes
	Drain        time.Duration // for the requests under way at a planned stop

	Logger  *zap.Logger
	Events  *timeline.Writer
	Clock   *timeline.Clock
	Scope   tally.Scope
	Metrics http.Handler
}

// Default returns options with the settings that hold where the settings file says nothing.
func Default(id, zone, region string) Options {
	return Options{
		ID: id, Zone: zone, Region: region,
		SessionLifetime: 24 * time.Hour,
		Gateway: gateway.Settings{
			Instance: id, BodyBytes: 8 << 20, StreamBytes: 64 << 20, RequestTimeout: 10 * time.Minute,
			Services: map[string]gateway.Service{},
		},
		Answer:    answer.DefaultSettings(zone),
		Order:     order.DefaultSettings(zone),
		Engine:    engine.Settings{Dial: time.Second, FirstToken: 10 * time.Second, Progress: 5 * time.Second, MaxBody: 8 << 20},
		Catalog:   catalog.DefaultSettings(),
		Endpoints: endpoint.DefaultSettings(9),
		Retries:   endpoint.DefaultRetries(9),
		Admission: endpoint.DefaultAdmission(9),
		Cascade:   cascade.Defaults(),
		RollOut:   rollout.Defaults(),
		Loading:   DefaultLoading(),
		Ledger:    Ledger{Stop: 10 * time.Second},
		Suspects:  suspect.DefaultSettings(id),
		ListEvery: time.Second, Freshness: 5 * time.Second, HeaderBytes: 64 << 10, HeaderTime: 5 * time.Second, IdleTime: 2 * time.Minute,
		BalancerWait: 5 * time.Second, Drain: 15 * time.Minute,
		Logger: zap.NewNop(), Scope: tally.NoopScope, Metrics: http.NotFoundHandler(),
	}
}
