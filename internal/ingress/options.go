package ingress

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
	"github.com/cassiaspoke/cassiaspoke/internal/core/escalation"
	"github.com/cassiaspoke/cassiaspoke/internal/core/patience"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/retry"
	"github.com/cassiaspoke/cassiaspoke/internal/feed"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/relay"
)

// Protocol translates the headers of requests and responses.
type Protocol interface {
	// Request parses the attributes of a client's request.
	Request(h http.Header) (call.Request, error)
	// Outbound returns the header of the request to an endpoint.
	Outbound(client http.Header, s call.Send) http.Header
	// Answer parses the attributes of an endpoint's response.
	Answer(status int, h http.Header) call.Answer
	// Inbound returns the header of the response to the client, from that of the endpoint's response.
	Inbound(h http.Header) http.Header
	// Refusal returns the header of an error response of the ingress itself; wait is the time until a retry.
	Refusal(id string, wait time.Duration) http.Header
}

// Records decodes and encodes the records of the store.
type Records interface {
	// Operator decodes a configuration or a roll-out order.
	Operator(key string, value []byte) (directory.OperatorChange, error)
	// Registration decodes an entry of the endpoint registry.
	Registration(key string, value []byte) (directory.EndpointChange, error)
	// Status decodes the published state of a roll-out.
	Status(key string, value []byte) (directory.RolloutStatus, error)
	// StatusRecord encodes the state of a roll-out.
	StatusRecord(s directory.RolloutStatus) (feed.Record, error)
}

// Topic is a topic of the store that instances read and write.
type Topic interface {
	feed.Source
	// Append atomically appends records if the topic still ends at the offset; feed.AnyEnd appends them at any offset.
	Append(ctx context.Context, at int64, l ...feed.Record) error
}

// Options holds the dependencies and settings of an instance.
type Options struct {
	Instance  string // identifier of this instance
	Protocol  Protocol
	Records   Records
	Operators feed.Source // configurations and roll-out orders
	Registry  feed.Source // entries of endpoints
	Status    Topic       // states of roll-outs
	Board     Topic       // records that instances share with each other
	Dialer    forward.Dialer

	Hub   *relay.Hub   // shares reads of the store and load reports with other instances
	Peers net.Listener // accepts connections of other instances; nil if there are none

	Requests  net.Listener // accepts connections of clients
	Readiness net.Listener // accepts checks of the load balancer
	Metrics   net.Listener // accepts reads of the metrics
	Scope     tally.Scope  // scope of all metrics
	Reporter  http.Handler // serves the metrics
	Logger    *zap.Logger
	Dropped   func() int64 // returns the number of dropped log lines

	Feeds      Feeds
	Placement  placement.Settings
	Escalation escalation.Settings
	Patience   patience.Settings
	Retries    retry.Settings
	Exposure   float64 // largest share of a roll-out's requests that may reach a bad version
	// ExposureSlack is how many requests of this instance may reach a bad version beyond that share.
	ExposureSlack float64
	Grace         time.Duration // from the stop signal until the platform kills the process
	IdleConns     int           // maximum idle connections to each endpoint

	Bodies    *memory.Budget // memory for the bodies of all clients' requests
	Answers   *memory.Budget // memory for all buffered responses
	MaxBody   int64          // maximum bytes of a request's body if the configuration has no limit
	MaxAnswer int64          // maximum bytes of a response that is not a stream
}

// Feeds holds the settings of the followers of the store's topics.
type Feeds struct {
	Operators feed.Options
	Registry  feed.Options
	Slow      feed.Options // for the status and board topics, which are read again from the start after a failure
}
