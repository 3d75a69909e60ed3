package timeline

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// metadataKey is the key of a timestamp in gRPC metadata, whose keys are in lower case.
var metadataKey = strings.ToLower(TimestampHeader)

// ClockInterceptor provides gRPC interceptors that exchange timestamps between instances with each call.
type ClockInterceptor struct {
	clock   *Clock
	onError func(error)
}

// NewClockInterceptor returns an interceptor that carries the timestamps of the clock. It calls onError for each
// received timestamp that is malformed or rejected by the clock.
func NewClockInterceptor(c *Clock, onError func(error)) *ClockInterceptor {
	return &ClockInterceptor{clock: c, onError: onError}
}

// UnaryClient is a client interceptor that sends a timestamp with each call and updates the clock from the reply.
func (c *ClockInterceptor) UnaryClient(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	ctx = metadata.AppendToOutgoingContext(ctx, metadataKey, c.clock.Now().String())
	var trailer metadata.MD
	err := invoke(ctx, method, req, reply, cc, append(opts, grpc.Trailer(&trailer))...)
	c.updateClock(trailer)
	return err
}

// UnaryServer is a server interceptor that updates the clock from each call and sends a timestamp with the reply.
func (c *ClockInterceptor) UnaryServer(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	m, _ := metadata.FromIncomingContext(ctx)
	c.updateClock(m)
	reply, err := handle(ctx, req)
	// The timestamp is taken after the handler, so that it is after the events that the call caused. SetTrailer fails
	// only if the call has no transport; then there is no reply either.
	_ = grpc.SetTrailer(ctx, metadata.Pairs(metadataKey, c.clock.Now().String()))
	return reply, err
}

// updateClock updates the clock from the timestamps in the metadata.
func (c *ClockInterceptor) updateClock(m metadata.MD) {
	for _, text := range m.Get(metadataKey) {
		s, err := ParseTimestamp(text)
		if err == nil {
			_, err = c.clock.Update(s)
		}
		if err != nil {
			c.onError(err)
		}
	}
}
