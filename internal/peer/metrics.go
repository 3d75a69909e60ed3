package peer

import (
	"context"
	"path"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc/stats"
)

// rpcKey is the context key of callMetrics.
type rpcKey struct{}

// meter is a gRPC stats handler that records the traffic by RPC method; the budget counts the bytes of connections.
type meter struct {
	scope tally.Scope
	calls map[string]callMetrics
}

// callMetrics are the metrics of one RPC method.
type callMetrics struct {
	in, out  tally.Counter // bytes of headers and messages, as far as gRPC reports them
	messages tally.Counter
	seconds  tally.Timer
}

func newMeter(scope tally.Scope) *meter {
	m := &meter{scope: scope, calls: map[string]callMetrics{}}
	for _, c := range []string{"Probe", "IndirectProbe", "HoldBills", "AppendBatch", "Snapshot", "other"} {
		s := scope.Tagged(map[string]string{"call": c})
		m.calls[c] = callMetrics{
			in:       s.Tagged(map[string]string{"direction": "in"}).Counter("control-bytes"),
			out:      s.Tagged(map[string]string{"direction": "out"}).Counter("control-bytes"),
			messages: s.Counter("control-messages"),
			seconds:  s.Timer("control-seconds"),
		}
	}
	return m
}

// TagRPC adds the metrics of the RPC method to the context of the call.
func (m *meter) TagRPC(ctx context.Context, i *stats.RPCTagInfo) context.Context {
	c, ok := m.calls[path.Base(i.FullMethodName)]
	if !ok {
		c = m.calls["other"]
	}
	return context.WithValue(ctx, rpcKey{}, c)
}

// HandleRPC records the bytes, messages and duration of a call.
func (m *meter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(rpcKey{}).(callMetrics)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.InHeader:
		c.in.Inc(int64(s.WireLength))
	case *stats.InPayload:
		c.in.Inc(int64(s.WireLength))
		c.messages.Inc(1)
	case *stats.OutPayload:
		c.out.Inc(int64(s.WireLength))
		c.messages.Inc(1)
	case *stats.End:
		c.seconds.Record(s.EndTime.Sub(s.BeginTime))
	}
}

// TagConn returns the context unchanged.
func (m *meter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing, because the budget counts the bytes of connections.
func (m *meter) HandleConn(context.Context, stats.ConnStats) {}
