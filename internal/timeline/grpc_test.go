package timeline

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// transport keeps the trailer of a reply; its other methods are not called.
type transport struct {
	grpc.ServerTransportStream
	trailer metadata.MD
}

func (t *transport) SetTrailer(m metadata.MD) error {
	t.trailer = metadata.Join(t.trailer, m)
	return nil
}

// exchange makes a call from one carrier to another without a network; handle runs at the server.
func exchange(client, server *Carrier, handle func()) error {
	call := func(ctx context.Context, _ string, _, _ any, _ *grpc.ClientConn, opts ...grpc.CallOption) error {
		sent, _ := metadata.FromOutgoingContext(ctx)
		t := &transport{}
		ctx = grpc.NewContextWithServerTransportStream(metadata.NewIncomingContext(context.Background(), sent), t)
		_, err := server.UnaryServer(ctx, nil, nil, func(context.Context, any) (any, error) { handle(); return nil, nil })
		for _, o := range opts {
			if o, ok := o.(grpc.TrailerCallOption); ok {
				*o.TrailerAddr = t.trailer
			}
		}
		return err
	}
	return client.UnaryClient(context.Background(), "call", nil, nil, nil, call)
}

// Guards against a call or a reply whose effect gets a stamp before its cause.
func TestCarrierOrdersCalls(t *testing.T) {
	tests := map[string]struct {
		ahead   time.Duration // of the server's wall clock
		reports int
	}{
		"same clock":   {0, 0},
		"server ahead": {30 * time.Second, 0},
		"server late":  {-30 * time.Second, 0},
		"far ahead":    {2 * MaxAhead, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a, b := NewClock(func() time.Time { return now }), NewClock(func() time.Time { return now.Add(test.ahead) })
			reports := 0
			report := func(error) { reports++ }
			var handled Stamp
			before := a.Now()
			if err := exchange(NewCarrier(a, report), NewCarrier(b, report), func() { handled = b.Now() }); err != nil {
				t.Fatal(err)
			}
			after := a.Now()
			if handled.Compare(before) <= 0 {
				t.Errorf("the server's event %v is not after its cause %v", handled, before)
			}
			if test.reports == 0 && after.Compare(handled) <= 0 {
				t.Errorf("the client's event %v is not after its cause %v", after, handled)
			}
			if reports != test.reports {
				t.Errorf("%d stamps are reported, want %d", reports, test.reports)
			}
		})
	}
}
