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

// chunkSize is the size of a part of a snapshot, in bytes; each waits for the budget.
const chunkSize = 8 << 10

// BillHolder keeps witness copies of bills for peers until they are confirmed in the log.
// HoldBills returns an error if a copy can't be kept; ReleaseBills tells that the holder saw the bills in the log.
type BillHolder interface {
	HoldBills(ctx context.Context, holder string, bills []record.Bill) error
	ReleaseBills(holder string, bills []BillID)
}

// BillID identifies a bill.
type BillID struct {
	Organisation string
	Key          string
}

// Appender appends records for peers; it returns one offset for each record.
type Appender interface {
	AppendBatch(ctx context.Context, stream string, records [][]byte) ([]uint64, error)
}

// SnapshotSource returns the encoded catalog for an instance that can't read the log.
type SnapshotSource interface {
	Snapshot(ctx context.Context) ([]byte, error)
}

// handler serves the calls of peers.
type handler struct {
	peerpb.UnimplementedPeerServer
	s *Service
}

func (s *Service) newServer() *grpc.Server {
	o := []grpc.ServerOption{
		grpc.StatsHandler(s.meter),
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxSendMsgSize(maxMessage),
		grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.InitialWindowSize(windowSize), grpc.InitialConnWindowSize(windowSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime * 4, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2}),
	}
	if s.h.Server != nil {
		o = append(o, grpc.UnaryInterceptor(s.h.Server))
	}
	if s.s.TLS != nil {
		t := s.s.TLS.Clone()
		t.ClientAuth = tls.RequireAndVerifyClientCert
		o = append(o, grpc.Creds(credentials.NewTLS(t)))
	}
	g := grpc.NewServer(o...)
	peerpb.RegisterPeerServer(g, handler{s: s})
	return g
}

// Probe folds the peer's message and answers with the own one.
func (h handler) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	m := decodeState(r.GetState())
	if m.From.ID == "" {
		return nil, status.Error(codes.InvalidArgument, "the sender has no name")
	}
	reply := &peerpb.ProbeReply{Version: version}
	err := h.s.ask(ctx, func(now time.Time) {
		h.s.step(now, membership.Received{Message: m})
		reply.State = h.s.state(now, m.From.ID, maxDigest)
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	h.s.mergeDigests(r.GetState())
	return reply, nil
}

// IndirectProbe probes the target for the caller.
func (h handler) IndirectProbe(ctx context.Context, r *peerpb.IndirectProbeRequest) (*peerpb.IndirectProbeReply, error) {
	target := decodeMember(r.GetTarget())
	if !target.Address.IsValid() {
		return nil, status.Error(codes.InvalidArgument, "the target has no address")
	}
	defer h.s.helping.Add(-1)
	if h.s.helping.Add(1) > indirectLimit || !h.s.budget.probe() {
		return nil, status.Error(codes.ResourceExhausted, "enough is under way, or the budget is spent")
	}
	var req *peerpb.ProbeRequest
	if err := h.s.ask(ctx, func(now time.Time) { req = h.s.request(now, target.ID) }); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	reply := &peerpb.IndirectProbeReply{Version: version}
	e := h.s.probe(ctx, target, req)
	switch e := e.(type) {
	case membership.Answered:
		reply.Answered = e.Message.From.ID == target.ID
		h.s.post(func(now time.Time) { h.s.step(now, e) })
	case membership.Failed:
		reply.Refused = e.Refused
	}
	return reply, nil
}

// HoldBills keeps copies of a peer's bills.
func (h handler) HoldBills(ctx context.Context, r *peerpb.HoldBillsRequest) (*peerpb.HoldBillsReply, error) {
	if h.s.h.Bills == nil {
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
		h.s.h.Bills.ReleaseBills(r.GetHolder(), identify(drop))
	}
	if len(bills) > 0 {
		if !h.s.holders.admit(time.Now(), r.GetHolder(), r.GetLastResort()) {
			return nil, status.Error(codes.ResourceExhausted, "enough holders have their copies here")
		}
		if err := h.s.h.Bills.HoldBills(ctx, r.GetHolder(), bills); err != nil {
			return nil, status.Error(codes.ResourceExhausted, err.Error())
		}
	}
	return &peerpb.HoldBillsReply{Version: version}, nil
}

// AppendBatch appends a peer's records.
func (h handler) AppendBatch(ctx context.Context, r *peerpb.AppendBatchRequest) (*peerpb.AppendBatchReply, error) {
	if h.s.h.Appender == nil {
		return nil, status.Error(codes.Unimplemented, "nothing is appended here")
	}
	o, err := h.s.h.Appender.AppendBatch(ctx, r.GetStream(), r.GetRecords())
	if err != nil {
		return nil, status.Error(codes.Aborted, err.Error())
	}
	return &peerpb.AppendBatchReply{Version: version, Offsets: o}, nil
}

// Snapshot sends the catalog in parts, each within the budget.
func (h handler) Snapshot(_ *peerpb.SnapshotRequest, out grpc.ServerStreamingServer[peerpb.SnapshotChunk]) error {
	if h.s.h.Snapshots == nil {
		return status.Error(codes.Unimplemented, "no snapshot is kept here")
	}
	b, err := h.s.h.Snapshots.Snapshot(out.Context())
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	for len(b) > 0 {
		if err := h.s.await(out.Context(), snapshotTimeout); err != nil {
			return status.Error(codes.DeadlineExceeded, err.Error())
		}
		n := min(chunkSize, len(b))
		if err := out.Send(&peerpb.SnapshotChunk{Version: version, Data: b[:n]}); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
