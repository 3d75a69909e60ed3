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

// Protocol translates the headers of requests and answers.
type Protocol interface {
	Request(h http.Header) (call.Request, error)
	Outbound(client http.Header, s call.Send) http.Header
	Answer(status int, h http.Header) call.Answer
	Inbound(h http.Header) http.Header
	Refusal(id string, wait time.Duration) http.Header
}

// Records translates the records of the store.
type Records interface {
	Operator(key string, value []byte) (directory.OperatorChange, error)
	Registration(key string, value []byte) (directory.EndpointChange, error)
	Status(key string, value []byte) (directory.RolloutStatus, error)
	StatusRecord(s directory.RolloutStatus) (feed.Record, error)
}

// Topic is a topic that instances read and write.
type Topic interface {
	feed.Source
	// Append adds records, all or none, if the topic still ends at the offset; feed.AnyEnd adds them in any case.
	Append(ctx context.Context, at int64, l ...feed.Record) error
}

// Options are what an instance of the ingress is made of.
type Options struct {
	Instance  string
	Protocol  Protocol
	Records   Records
	Operators feed.Source
	Registry  feed.Source
	Status    Topic
	Board     Topic // what instances tell each other
	Dialer    forward.Dialer

	Hub   *relay.Hub   // shares the reads of the store
	Peers net.Listener // of other instances; nil if there are none

	Requests  net.Listener // of clients
	Readiness net.Listener
	Metrics   net.Listener
	Scope     tally.Scope
	Reporter  http.Handler // of the metrics
	Logger    *zap.Logger
	Dropped   func() int64 // log lines that were dropped

	Feeds      Feeds
	Placement  placement.Settings
	Escalation escalation.Settings
	Patience   patience.Settings
	Retries    retry.Settings
	Exposure   float64 // largest share of a roll-out's requests that a bad version may get
	// ExposureSlack is how many requests of this instance it may get beyond that share.
	ExposureSlack float64
	Grace         time.Duration // from a request to stop until the process is killed
	IdleConns     int           // idle connections kept to one endpoint

	Bodies    *memory.Budget // for all bodies of clients
	Answers   *memory.Budget // for all answers that are held
	MaxBody   int64          // bytes of a client's body if the configuration has no limit
	MaxAnswer int64          // bytes of an answer that is not a stream
}

// Feeds pace the followers of the store.
type Feeds struct {
	Operators feed.Options
	Registry  feed.Options
	Slow      feed.Options // of the states of roll-outs and of the board, which are read anew after a failure
}
