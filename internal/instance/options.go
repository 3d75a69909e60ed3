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

// Options configures an instance and provides the components that it depends on.
type Options struct {
	ID, Zone, Region string
	Build            string

	Callers, Operators net.Listener   // listeners for callers and operators, with TLS already applied
	Peers              netip.AddrPort // address to listen on for peers
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
	Ledger    LedgerSettings
	Loading   LoadingSettings

	ListEvery    time.Duration // interval between reads of the instance list
	Freshness    time.Duration // time since the last confirmation of the configuration after which new work is refused
	Batch        int           // maximum number of instances at which each instance appends directly to the log
	HeaderBytes  int           // maximum size of a request header in bytes
	HeaderTime   time.Duration // timeout for reading a request header
	IdleTime     time.Duration // timeout of an idle keep-alive connection
	BalancerWait time.Duration // time from the end of readiness until the listener closes
	Drain        time.Duration // time limit for running requests at a planned stop

	Logger  *zap.Logger
	Events  *timeline.Writer
	Clock   *timeline.Clock
	Scope   tally.Scope
	Metrics http.Handler
}

// Default returns options with default settings, which apply unless the settings file overrides them.
func Default(id, availabilityZone, region string) Options {
	return Options{
		ID: id, Zone: availabilityZone, Region: region,
		SessionLifetime: 24 * time.Hour,
		Gateway: gateway.Settings{
			Instance: id, BodyBytes: 8 << 20, StreamBytes: 64 << 20, RequestTimeout: 10 * time.Minute,
			Services: map[string]gateway.Service{},
		},
		Answer:    answer.DefaultSettings(availabilityZone),
		Order:     order.DefaultSettings(availabilityZone),
		Engine:    engine.Settings{Dial: time.Second, FirstToken: 10 * time.Second, Progress: 5 * time.Second, MaxBody: 8 << 20},
		Catalog:   catalog.DefaultSettings(),
		Endpoints: endpoint.DefaultSettings(9),
		Retries:   endpoint.DefaultRetries(9),
		Admission: endpoint.DefaultAdmission(9),
		Cascade:   cascade.Defaults(),
		RollOut:   rollout.Defaults(),
		Loading:   DefaultLoadingSettings(),
		Ledger:    LedgerSettings{Stop: 10 * time.Second},
		Suspects:  suspect.DefaultSettings(id),
		ListEvery: time.Second, Freshness: 5 * time.Second, Batch: 9, HeaderBytes: 64 << 10, HeaderTime: 5 * time.Second, IdleTime: 2 * time.Minute,
		BalancerWait: 5 * time.Second, Drain: 15 * time.Minute,
		Logger: zap.NewNop(), Scope: tally.NoopScope, Metrics: http.NotFoundHandler(),
	}
}
