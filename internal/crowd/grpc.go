package crowd

import (
	"bytes"
	"net"
	"strconv"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	maxGRPCStreams    = 400      // streams that one client opens
	grpcFieldBytes    = 16 << 10 // of header fields in one frame
	grpcMessagePrefix = 5        // bytes before a gRPC message
)

// sendGRPC sends what a client of a gRPC kind sends. It doesn't wait for the server's settings.
func (k Kind) sendGRPC(c net.Conn, o Options) error {
	if err := write(c, http2.ClientPreface); err != nil {
		return err
	}
	f := http2.NewFramer(c, nil)
	if err := f.WriteSettings(); err != nil || k == GRPCIdle {
		return err
	}
	var b bytes.Buffer
	e := hpack.NewEncoder(&b)
	for _, h := range []hpack.HeaderField{
		{Name: ":method", Value: "POST"},
		{Name: ":scheme", Value: "http"},
		{Name: ":path", Value: o.Path},
		{Name: ":authority", Value: "crowd"},
		{Name: "content-type", Value: "application/grpc"},
		{Name: "te", Value: "trailers"},
	} {
		if err := e.WriteField(h); err != nil {
			return err
		}
	}
	if k == GRPCHeaders {
		return sendEndlessFields(f, b.Bytes())
	}
	head := bytes.Clone(b.Bytes())
	message := make([]byte, grpcMessagePrefix+o.Bytes)
	message[3] = 0xff // announces a message that is longer than what follows
	for i := range uint32(maxGRPCStreams) {
		if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 2*i + 1, BlockFragment: head, EndHeaders: true}); err != nil {
			return err
		}
		if err := f.WriteData(2*i+1, false, message); err != nil {
			return err
		}
	}
	return nil
}

// sendEndlessFields opens a stream whose header fields don't end.
func sendEndlessFields(f *http2.Framer, first []byte) error {
	if err := f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: first}); err != nil {
		return err
	}
	for sent := 0; sent < maxEndlessBytes; sent += grpcFieldBytes {
		var b bytes.Buffer
		e := hpack.NewEncoder(&b)
		for i := 0; b.Len() < grpcFieldBytes; i++ {
			if err := e.WriteField(hpack.HeaderField{Name: "x" + strconv.Itoa(sent+i), Value: "y", Sensitive: true}); err != nil {
				return err
			}
		}
		if err := f.WriteContinuation(1, false, b.Bytes()[:grpcFieldBytes]); err != nil {
			return err
		}
	}
	return nil
}
