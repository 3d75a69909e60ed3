package peer

import (
	"context"
	"crypto/tls"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// snapshotChunkBytes is the size of the chunks of a snapshot; each chunk waits for the budget.
const snapshotChunkBytes = 8 << 10

// WitnessStore keeps witness copies of the bills of other instances until the bills are confirmed in the log.
// HoldBills returns an error if a copy can't be kept. ReleaseBills drops copies of bills that their holder, the instance
// that sent the copies, has read from the log.
type WitnessStore interface {
	HoldBills(ctx context.Context, holder string, bills []record.Bill) error
	ReleaseBills(holder string, bills []BillID)
}

// BillID identifies a bill.
type BillID struct {
	Organisation string
	Key          string
}

// Appender appends records to the log, also on behalf of peers. It returns one offset for each record.
type Appender interface {
	AppendBatch(ctx context.Context, stream string, records [][]byte) ([]uint64, error)
}

// SnapshotSource returns the encoded catalog, to be sent to an instance that can't read the log.
type SnapshotSource interface {
	Snapshot(ctx context.Context) ([]byte, error)
}

// handler implements the gRPC service that peers call.
type handler struct {
	peerpb.UnimplementedPeerServer
	service *Service
}

func (s *Service) newServer() *grpc.Server {
	options := []grpc.ServerOption{
		grpc.StatsHandler(s.meter),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveTime, Timeout: keepaliveTimeout}),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxHeaderListSize(maxHeaderListBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
	}
	if s.hooks.ServerInterceptor != nil {
		options = append(options, grpc.UnaryInterceptor(s.hooks.ServerInterceptor))
	}
	if s.settings.TLS != nil {
		t := s.settings.TLS.Clone()
		t.ClientAuth = tls.RequireAndVerifyClientCert
		options = append(options, grpc.Creds(credentials.NewTLS(t)))
	}
	g := grpc.NewServer(options...)
	peerpb.RegisterPeerServer(g, handler{service: s})
	return g
}

// Probe passes the peer's membership message to the table and replies with this instance's own message.
func (h handler) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	m := decodeState(r.GetState())
	if m.From.ID == "" {
		return nil, status.Error(codes.InvalidArgument, "the sender has no name")
	}
	reply := &peerpb.ProbeReply{Version: messageVersion}
	err := h.service.runInControlLoop(ctx, func(now time.Time) {
		h.service.handleEvent(now, membership.ProbeReceived{Message: m})
		reply.State = h.service.encodeOwnState(now, m.From.ID, maxDigestBytes)
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	h.service.mergeDigests(r.GetState())
	return reply, nil
}

// IndirectProbe probes the target on behalf of the caller.
func (h handler) IndirectProbe(ctx context.Context, r *peerpb.IndirectProbeRequest) (*peerpb.IndirectProbeReply, error) {
	target := decodeMember(r.GetTarget())
	if !target.Address.IsValid() {
		return nil, status.Error(codes.InvalidArgument, "the target has no address")
	}
	defer h.service.probesForPeers.Add(-1)
	if h.service.probesForPeers.Add(1) > maxIndirectProbes || !h.service.budget.allowsProbe() {
		return nil, status.Error(codes.ResourceExhausted, "enough is under way, or the budget is spent")
	}
	var req *peerpb.ProbeRequest
	if err := h.service.runInControlLoop(ctx, func(now time.Time) { req = h.service.newProbeRequest(now, target.ID) }); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &peerpb.IndirectProbeReply{Version: messageVersion}
	e := h.service.probe(ctx, target, req)
	switch e := e.(type) {
	case membership.ProbeAnswered:
		reply.Answered = e.Message.From.ID == target.ID
		h.service.postToControlLoop(func(now time.Time) { h.service.handleEvent(now, e) })
	case membership.ProbeFailed:
		reply.Refused = e.Refused
	}
	return reply, nil
}

// HoldBills drops the copies that the request releases and stores copies of the peer's new bills.
func (h handler) HoldBills(ctx context.Context, r *peerpb.HoldBillsRequest) (*peerpb.HoldBillsReply, error) {
	if h.service.hooks.WitnessStore == nil {
		return nil, status.Error(codes.Unimplemented, "no bills are held here")
	}
	bills, err := decodeBills(r.GetHolder(), r.GetNames(), r.GetHold())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	drop, err := decodeBills(r.GetHolder(), r.GetNames(), r.GetDrop())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if len(drop) > 0 {
		h.service.hooks.WitnessStore.ReleaseBills(r.GetHolder(), billIDs(drop))
	}
	if len(bills) > 0 {
		if !h.service.holders.admit(time.Now(), r.GetHolder(), r.GetLastResort()) {
			return nil, status.Error(codes.ResourceExhausted, "enough holders have their copies here")
		}
		if err := h.service.hooks.WitnessStore.HoldBills(ctx, r.GetHolder(), bills); err != nil {
			return nil, status.Error(codes.ResourceExhausted, err.Error())
		}
	}
	return &peerpb.HoldBillsReply{Version: messageVersion}, nil
}

// AppendBatch appends records to the log on behalf of a peer.
func (h handler) AppendBatch(ctx context.Context, r *peerpb.AppendBatchRequest) (*peerpb.AppendBatchReply, error) {
	if h.service.hooks.Appender == nil {
		return nil, status.Error(codes.Unimplemented, "nothing is appended here")
	}
	o, err := h.service.hooks.Appender.AppendBatch(ctx, r.GetStream(), r.GetRecords())
	if err != nil {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	return &peerpb.AppendBatchReply{Version: messageVersion, Offsets: o}, nil
}

// Snapshot streams the encoded catalog in chunks; each chunk waits for the budget.
func (h handler) Snapshot(_ *peerpb.SnapshotRequest, stream grpc.ServerStreamingServer[peerpb.SnapshotChunk]) error {
	if h.service.hooks.Snapshots == nil {
		return status.Error(codes.Unimplemented, "no snapshot is kept here")
	}
	b, err := h.service.hooks.Snapshots.Snapshot(stream.Context())
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	for len(b) > 0 {
		if err := h.service.waitForBudget(stream.Context(), snapshotTimeout); err != nil {
			return status.Error(codes.DeadlineExceeded, err.Error())
		}
		n := min(snapshotChunkBytes, len(b))
		if err := stream.Send(&peerpb.SnapshotChunk{Version: messageVersion, Data: b[:n]}); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
