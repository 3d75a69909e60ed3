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
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/operator"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/servicecall"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// Options configures an instance and provides the components that it depends on.
type Options struct {
	ID, AvailabilityZone, Region string
	Build                        string

	CallerListener, OperatorListener net.Listener   // listeners for callers and operators, with TLS already applied
	PeerAddress                      netip.AddrPort // address to listen on for peers
	PeerTLS                          *tls.Config

	// Clients limits the connections of all listeners, and BodyMemory and AnswerMemory what bodies and answers may take; nil for
	// no limits.
	Clients                  *connlimit.Limiter
	BodyMemory, AnswerMemory *memory.Budget

	Log          platform.Log
	Rater        platform.Rater
	WeightStore  platform.WeightStore
	InstanceList platform.InstanceList

	SessionKeys     []session.SigningKey
	SessionLifetime time.Duration
	OperatorKeys    operator.Authenticator

	Gateway   gateway.Settings
	Answer    answer.Settings
	Order     servicecall.Settings
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

	ListInterval         time.Duration // interval between reads of the instance list
	FreshnessBound       time.Duration // time since the last confirmation of the configuration after which new work is refused
	MaxDirectAppendFleet int           // maximum number of instances at which each instance appends directly to the log
	MaxHeaderBytes       int           // maximum size of a request header in bytes
	HeaderTimeout        time.Duration // timeout for reading a request header
	IdleTimeout          time.Duration // timeout of an idle keep-alive connection
	BalancerWait         time.Duration // time from the end of readiness until the listener closes
	DrainTimeout         time.Duration // time limit for running requests at a planned stop

	Logger         *zap.Logger
	EventWriter    *timeline.Writer
	Clock          *timeline.Clock
	Scope          tally.Scope
	MetricsHandler http.Handler
}

// DefaultOptions returns options with default settings, which apply unless the settings file overrides them.
func DefaultOptions(id, availabilityZone, region string) Options {
	return Options{
		ID: id, AvailabilityZone: availabilityZone, Region: region,
		SessionLifetime: 24 * time.Hour,
		Gateway: gateway.Settings{
			Instance: id, MaxBodyBytes: 8 << 20, MaxAnswerBytes: 64 << 20, RequestTimeout: 10 * time.Minute,
			Services: map[string]gateway.ServiceSettings{},
		},
		Answer:       answer.DefaultSettings(availabilityZone),
		Order:        servicecall.DefaultSettings(availabilityZone),
		Engine:       engine.Settings{DialTimeout: time.Second, FirstTokenTimeout: 10 * time.Second, ProgressTimeout: 5 * time.Second, MaxReplyBytes: 8 << 20},
		Catalog:      catalog.DefaultSettings(),
		Endpoints:    endpoint.DefaultSettings(9),
		Retries:      endpoint.DefaultRetrySettings(9),
		Admission:    endpoint.DefaultAdmissionSettings(9),
		Cascade:      cascade.Defaults(),
		RollOut:      rollout.Defaults(),
		Loading:      DefaultLoadingSettings(),
		Ledger:       LedgerSettings{FlushTimeout: 10 * time.Second},
		Suspects:     suspect.DefaultSettings(id),
		ListInterval: time.Second, FreshnessBound: 5 * time.Second, MaxDirectAppendFleet: 9, MaxHeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute,
		BalancerWait: 5 * time.Second, DrainTimeout: 15 * time.Minute,
		Logger: zap.NewNop(), Scope: tally.NoopScope, MetricsHandler: http.NotFoundHandler(),
	}
}
