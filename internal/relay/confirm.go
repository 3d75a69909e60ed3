package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const (
	confirmTimeout   = time.Second            // of a call to the seed, and time between calls if it sends no records
	confirmInterval  = 100 * time.Millisecond // mean time between calls while the seed sends records often
	confirmBurst     = 4                      // calls without that pause, so that a start takes few round trips
	confirmBatchTime = 5 * time.Millisecond   // for which messages of several topics are awaited before a call
)

// Confirm tells another instance how recent the records of each topic are.
func (h *Hub) Confirm(context.Context, *relaypb.ConfirmRequest) (*relaypb.ConfirmReply, error) {
	reply := &relaypb.ConfirmReply{}
	for i, t := range h.topics {
		t.mu.Lock()
		if t.loaded && t.readAsOf != unknown {
			reply.Topics = append(reply.Topics, &relaypb.TopicAge{
				Topic: uint32(i), Next: t.next, AgeMicroseconds: h.now().sub(t.readAsOf).Microseconds(),
			})
		}
		t.mu.Unlock()
	}
	return reply, nil
}

// applyConfirmation records how recent the topics are. The reply was written after calledAt, whenever it arrived.
func (h *Hub) applyConfirmation(calledAt instant, m *relaypb.ConfirmReply) {
	for _, a := range m.GetTopics() {
		if int(a.GetTopic()) < len(h.topics) && a.GetAgeMicroseconds() >= 0 {
			h.topics[a.GetTopic()].confirm(a.GetNext(), calledAt.add(-time.Duration(a.GetAgeMicroseconds())*time.Microsecond))
		}
	}
}

// confirmRecords asks a seed how recent its records are, each time it has sent some, until the context ends.
func (h *Hub) confirmRecords(ctx context.Context, r relaypb.RelayClient, received <-chan struct{}) {
	limiter := rate.NewLimiter(rate.Every(confirmInterval), confirmBurst)
	t := time.NewTicker(confirmTimeout)
	defer t.Stop()
	for limiter.Wait(ctx) == nil {
		calledAt := h.now()
		callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		m, err := r.Confirm(callCtx, &relaypb.ConfirmRequest{Instance: h.options.Instance})
		cancel()
		h.metrics.confirmTime.RecordDuration(h.now().sub(calledAt))
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			h.applyConfirmation(calledAt, m)
		case status.Code(err) == codes.Unimplemented:
			h.options.Logger.Warn("relay: The seed is of an older release and can't confirm its records.", zap.Error(err))
		default:
			h.options.Logger.Debug("relay: A confirmation failed.", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-received:
			_ = sleep(ctx, confirmBatchTime, nil) // the loop checks the context
		}
	}
}
