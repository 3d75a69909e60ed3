package timeline

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// trailerStream records the trailer of a reply; its other methods are not called.
type trailerStream struct {
	grpc.ServerTransportStream
	trailer metadata.MD
}

func (t *trailerStream) SetTrailer(m metadata.MD) error {
	t.trailer = metadata.Join(t.trailer, m)
	return nil
}

// callDirectly calls the server's interceptor from the client's without a network and runs handle as the server's handler.
func callDirectly(client, server *ClockInterceptor, handle func()) error {
	invoke := func(ctx context.Context, _ string, _, _ any, _ *grpc.ClientConn, opts ...grpc.CallOption) error {
		sent, _ := metadata.FromOutgoingContext(ctx)
		t := &trailerStream{}
		ctx = grpc.NewContextWithServerTransportStream(metadata.NewIncomingContext(context.Background(), sent), t)
		_, err := server.UnaryServer(ctx, nil, nil, func(context.Context, any) (any, error) { handle(); return nil, nil })
		for _, o := range opts {
			if o, ok := o.(grpc.TrailerCallOption); ok {
				*o.TrailerAddr = t.trailer
			}
		}
		return err
	}
	return client.UnaryClient(context.Background(), "call", nil, nil, nil, invoke)
}

// TestCarrierOrdersCalls guards against an effect of a call or reply whose timestamp is before that of its cause.
func TestCarrierOrdersCalls(t *testing.T) {
	tests := map[string]struct {
		ahead      time.Duration // offset of the server's wall clock from the client's
		errorCount int           // errors passed to onError
	}{
		"same clock":   {0, 0},
		"server ahead": {30 * time.Second, 0},
		"server late":  {-30 * time.Second, 0},
		"far ahead":    {2 * MaxClockAhead, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			a, b := NewClock(func() time.Time { return now }), NewClock(func() time.Time { return now.Add(test.ahead) })
			errorCount := 0
			onError := func(error) { errorCount++ }
			var handled Timestamp
			before := a.Now()
			if err := callDirectly(NewClockInterceptor(a, onError), NewClockInterceptor(b, onError), func() { handled = b.Now() }); err != nil {
				t.Fatal(err)
			}
			after := a.Now()
			if handled.Compare(before) <= 0 {
				t.Errorf("the server's event %v is not after its cause %v", handled, before)
			}
			if test.errorCount == 0 && after.Compare(handled) <= 0 {
				t.Errorf("the client's event %v is not after its cause %v", after, handled)
			}
			if errorCount != test.errorCount {
				t.Errorf("%d timestamps are reported as errors, want %d", errorCount, test.errorCount)
			}
		})
	}
}
