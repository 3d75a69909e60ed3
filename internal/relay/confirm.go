package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const (
	confirmTimeout   = time.Second            // of a call to the seed, and time between calls if it sends no records
	confirmInterval  = 100 * time.Millisecond // mean time between calls while the seed sends records often
	confirmBurst     = 4                      // calls without that pause, so that a start takes few round trips
	maxLateChecks    = 3                      // consecutive checks, confirmTimeout apart, without recent records until the next seed is tried
	maxConfirmedAge  = time.Hour              // of records in a confirmation; older ones are not confirmed
	confirmBatchTime = 5 * time.Millisecond   // for which messages of several topics are awaited before a call
)

// Confirm tells another instance how recent the records of each topic are.
func (h *Hub) Confirm(context.Context, *relaypb.ConfirmRequest) (*relaypb.ConfirmReply, error) {
	reply := &relaypb.ConfirmReply{}
	for i, t := range h.topics {
		t.mu.Lock()
		if t.loaded && t.readAsOf != unknown {
			reply.Topics = append(reply.Topics, &relaypb.TopicAge{
				Topic: uint32(i), Next: t.next.Offset, Era: t.next.Era, AgeMicroseconds: h.now().sub(t.readAsOf).Microseconds(),
			})
		}
		t.mu.Unlock()
	}
	return reply, nil
}

// applyConfirmation records how recent the topics are. The reply was written after calledAt, whenever it arrived.
func (h *Hub) applyConfirmation(calledAt instant, m *relaypb.ConfirmReply) {
	for _, a := range m.GetTopics() {
		if int(a.GetTopic()) < len(h.topics) && a.GetAgeMicroseconds() >= 0 && a.GetAgeMicroseconds() < maxConfirmedAge.Microseconds() {
			h.topics[a.GetTopic()].confirm(changefeed.Position{Era: a.GetEra(), Offset: a.GetNext()}, calledAt.add(-time.Duration(a.GetAgeMicroseconds())*time.Microsecond))
		}
	}
}

// recordsRecent reports whether the records of all required topics are recent enough to be used.
func (h *Hub) recordsRecent() bool {
	for _, t := range h.topics {
		t.mu.Lock()
		asOf := t.confirmedAsOf
		t.mu.Unlock()
		if t.policy.Required && (asOf == unknown || h.now().sub(asOf) >= t.policy.MaxAge) {
			return false
		}
	}
	return true
}

// confirmRecords asks a seed how recent its records are, each time it has sent some, until the context ends. It returns an
// error if the records are late for a while. Checks are counted instead of measuring the time, so that a pause of this
// process is not blamed on the seed.
func (h *Hub) confirmRecords(ctx context.Context, r relaypb.RelayClient, received <-chan struct{}) error {
	limiter := rate.NewLimiter(rate.Every(confirmInterval), confirmBurst)
	t := time.NewTicker(confirmTimeout)
	defer t.Stop()
	for lateChecks := 0; ; {
		if err := limiter.Wait(ctx); err != nil {
			return nil //nolint:nilerr // the stream has ended
		}
		h.confirmOnce(ctx, r)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			lateChecks++
			if h.recordsRecent() {
				lateChecks = 0
			}
			if lateChecks == maxLateChecks {
				return &Error{Op: "confirm", Kind: ErrStale}
			}
		case <-received:
			_ = sleep(ctx, confirmBatchTime, nil) // the loop checks the context
		}
	}
}

// confirmOnce asks a seed once how recent its records are.
func (h *Hub) confirmOnce(ctx context.Context, r relaypb.RelayClient) {
	callCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	calledAt := h.now()
	m, err := r.Confirm(callCtx, &relaypb.ConfirmRequest{Instance: h.options.Instance})
	h.metrics.confirmTime.RecordDuration(h.now().sub(calledAt))
	if err != nil {
		h.options.Logger.Debug("relay: A confirmation failed.", zap.Error(err))
		return
	}
	h.applyConfirmation(calledAt, m)
}
