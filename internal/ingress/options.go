package ingress

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/retry"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/stall"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/relay"
)

// Protocol translates the headers of requests and responses.
type Protocol interface {
	// DecodeRequest parses the attributes of a client's request.
	DecodeRequest(h http.Header) (attributes.ClientRequest, error)
	// EndpointRequestHeader returns the header of the request to an endpoint.
	EndpointRequestHeader(client http.Header, s attributes.EndpointRequest) http.Header
	// DecodeResponse parses the attributes of an endpoint's response.
	DecodeResponse(status int, h http.Header) attributes.Response
	// ClientResponseHeader returns the header of the response to the client, from that of the endpoint's response.
	ClientResponseHeader(h http.Header) http.Header
	// RefusalHeader returns the header of an error response of the ingress itself; wait is the time until a retry.
	RefusalHeader(id string, wait time.Duration) http.Header
}

// RecordCodec decodes and encodes the records of the store.
type RecordCodec interface {
	// DecodeOperatorRecord decodes a configuration or a roll-out order.
	DecodeOperatorRecord(key string, value []byte) (routing.OperatorChange, error)
	// DecodeRegistration decodes an entry of the endpoint registry.
	DecodeRegistration(key string, value []byte) (routing.EndpointChange, error)
	// DecodeRolloutStatus decodes the published state of a roll-out.
	DecodeRolloutStatus(key string, value []byte) (routing.RolloutStatus, error)
	// EncodeRolloutStatus encodes the state of a roll-out.
	EncodeRolloutStatus(s routing.RolloutStatus) (changefeed.Record, error)
}

// Topic is a topic of the store that instances read and write.
type Topic interface {
	changefeed.Source
	// Append atomically appends records if the topic still ends at the position; changefeed.AnyPosition appends them at any
	// position.
	Append(ctx context.Context, at changefeed.Position, l ...changefeed.Record) error
}

// Options holds the dependencies and settings of an instance.
type Options struct {
	Instance       string // identifier of this instance
	Protocol       Protocol
	Codec          RecordCodec
	OperatorSource changefeed.Source // configurations and roll-out orders
	RegistrySource changefeed.Source // entries of endpoints
	StatusTopic    Topic             // states of roll-outs
	InstancesTopic Topic             // records that instances share with each other
	Dialer         forward.Dialer

	Hub          *relay.Hub   // shares reads of the store and load reports with other instances
	PeerListener net.Listener // accepts connections of other instances; nil if there are none

	RequestListener   net.Listener // accepts connections of clients
	ReadinessListener net.Listener // accepts checks of the load balancer
	MetricsListener   net.Listener // accepts reads of the metrics
	MetricsScope      tally.Scope  // scope of all metrics
	MetricsHandler    http.Handler // serves the metrics
	Logger            *zap.Logger
	DroppedLogLines   func() int64 // returns the number of dropped log lines

	Feeds           Feeds
	Placement       placement.Settings
	Escalation      escalation.Settings
	Admission       admission.Settings
	Stall           stall.Settings
	Retries         retry.Settings
	BadVersionShare float64 // largest share of a roll-out's requests that may reach a bad version
	// BadVersionSlack is how many requests of all instances together may reach a bad version beyond that share.
	BadVersionSlack         float64
	GracePeriod             time.Duration // from the stop signal until the platform kills the process
	MaxIdleConnsPerEndpoint int           // maximum idle connections to each endpoint

	Clients          *connlimit.Limiter // limits on the connections of all listeners; one with default limits if nil
	RequestMemory    *memory.Budget     // memory for the bodies of all clients' requests
	ResponseMemory   *memory.Budget     // memory for all buffered responses
	MaxRequestBytes  int64              // maximum bytes of a request's body if the configuration has no limit
	MaxResponseBytes int64              // maximum bytes of a response that is not a stream
}

// Feeds holds the settings of the followers of the store's topics.
type Feeds struct {
	Operators changefeed.Options
	Registry  changefeed.Options
	Shared    changefeed.Options // for StatusTopic and InstancesTopic, which are read again from the start after a failure
}
