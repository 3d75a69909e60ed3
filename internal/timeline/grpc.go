package timeline

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// metadataKey carries a stamp in gRPC metadata, whose keys are in lower case.
var metadataKey = strings.ToLower(Header)

// Carrier passes stamps between instances along with their calls.
type Carrier struct {
	clock  *Clock
	report func(error)
}

// NewCarrier returns a carrier of a clock's stamps; report gets the errors about stamps that are not accepted.
func NewCarrier(c *Clock, report func(error)) *Carrier { return &Carrier{clock: c, report: report} }

// UnaryClient sends a stamp with each call and accepts the one of the reply.
func (c *Carrier) UnaryClient(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, call grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	ctx = metadata.AppendToOutgoingContext(ctx, metadataKey, c.clock.Now().String())
	var trailer metadata.MD
	err := call(ctx, method, req, reply, cc, append(opts, grpc.Trailer(&trailer))...)
	c.accept(trailer)
	return err
}

// UnaryServer accepts the stamp of each call and sends one with the reply.
func (c *Carrier) UnaryServer(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	m, _ := metadata.FromIncomingContext(ctx)
	c.accept(m)
	reply, err := handle(ctx, req)
	// The stamp is taken after the handler, so that it follows the events that the call caused. It fails only
	// without a transport, and then there is no reply to carry it.
	_ = grpc.SetTrailer(ctx, metadata.Pairs(metadataKey, c.clock.Now().String()))
	return reply, err
}

func (c *Carrier) accept(m metadata.MD) {
	for _, text := range m.Get(metadataKey) {
		s, err := ParseStamp(text)
		if err == nil {
			_, err = c.clock.Update(s)
		}
		if err != nil {
			c.report(err)
		}
	}
}
