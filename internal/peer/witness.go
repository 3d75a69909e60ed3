package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	holdDelay = 3 * time.Millisecond // a bill waits this long for others
	holdBatch = 1000                 // bills in one message
	// holdLimit is how long a copy waits for the budget at most: the last byte of an answer waits for it. At the target
	// size's 34 bills a second, eight bills then share a call, which costs a third of eight calls.
	holdLimit     = 250 * time.Millisecond
	releaseDelay  = time.Second
	holderLimit   = 2           // holders with copies at one witness, so that no hash makes one a hot spot
	holderMemory  = time.Minute // since the last copy, until a holder counts no more
	witnessTries  = 3           // peers tried in turn
	witnessMemory = 3           // former witnesses that are still told what they may drop
)

// Witness copies bills to a peer in another availability zone.
type Witness struct{ s *Service }

// Witness returns the client of the witness; it works while the service runs.
func (s *Service) Witness() *Witness { return &Witness{s} }

// Hold returns when a peer in another availability zone holds a copy of the bill.
// An error says that it is unknown whether any does; the bill must then be appended before the last byte is released.
func (w *Witness) Hold(ctx context.Context, b record.Bill) error {
	g := w.s.outbox.add(w.s, b)
	select {
	case <-g.done:
		return g.err
	case <-ctx.Done():
		return &Error{Op: "hold bill", Kind: ErrUnreachable, Err: ctx.Err()}
	}
}

// Release tells the witnesses that the log holds the bills; it goes out with the next copies or within a second.
func (w *Witness) Release(ids []BillID) { w.s.outbox.release(w.s, ids) }

// outbox gathers bills for the witness.
type outbox struct {
	lock    sync.Mutex
	open    *group
	witness membership.Member
	former  []membership.Member
	drop    map[string][]BillID // by witness
	pending bool                // a goroutine is about to send what is in drop
}

type group struct {
	bills []record.Bill
	done  chan struct{}
	err   error
}

func (o *outbox) add(s *Service, b record.Bill) *group {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.open == nil || len(o.open.bills) >= holdBatch {
		g := &group{done: make(chan struct{})}
		o.open = g
		s.work.Go(func() { s.sendBills(g) })
	}
	o.open.bills = append(o.open.bills, b)
	return o.open
}

// release queues the identities for the witness and for former ones, up to the bound of a message each.
func (o *outbox) release(s *Service, ids []BillID) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.drop == nil {
		o.drop = map[string][]BillID{}
	}
	if !o.pending {
		o.pending = true
		s.work.Go(s.sendReleases)
	}
	for _, m := range append(slices.Clone(o.former), o.witness) {
		if m.ID == "" {
			continue
		}
		l := slices.Concat(o.drop[m.ID], ids)
		// A witness that misses a release finds the bill in the log before it appends it.
		o.drop[m.ID] = l[max(0, len(l)-holdBatch):]
	}
}

// take closes a group and returns its bills.
func (o *outbox) take(g *group) []record.Bill {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.open == g {
		o.open = nil
	}
	return g.bills
}

func (o *outbox) drops(to string) []BillID {
	o.lock.Lock()
	defer o.lock.Unlock()
	l := o.drop[to]
	delete(o.drop, to)
	return l
}

// chosen remembers the witness that took a group.
func (o *outbox) chosen(m membership.Member) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.witness.ID == m.ID {
		return
	}
	o.former = slices.DeleteFunc(o.former, func(f membership.Member) bool { return f.ID == m.ID })
	if o.witness.ID != "" {
		o.former = append(o.former, o.witness)
	}
	for len(o.former) > witnessMemory {
		delete(o.drop, o.former[0].ID)
		o.former = o.former[1:]
	}
	o.witness = m
}

func (s *Service) sendBills(g *group) {
	defer close(g.done)
	t := time.NewTimer(holdDelay)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
	// The group stays open while it waits for the budget: the scarcer the budget, the more bills share a call.
	err := s.await(s.ctx, holdLimit)
	bills := s.outbox.take(g)
	if err != nil {
		g.err = err
		return
	}
	g.err = &Error{Op: "hold bill", Kind: ErrNoPeer}
	l := s.outbox.prefer(s.View().Witnesses(witnessTries))
	for i := range 2 * len(l) {
		m := l[i%len(l)]
		if g.err = s.hold(m, bills, i >= len(l)); g.err == nil {
			s.outbox.chosen(m)
			return
		}
		s.log.Debug("peer: Witness took no copy.", zap.String("peer", m.ID), zap.Error(g.err))
	}
	s.log.Warn("peer: No witness took the copies.", zap.Int("bills", len(bills)), zap.Error(g.err))
}

// prefer puts the witness in use first, if it is still a candidate.
func (o *outbox) prefer(l []membership.Member) []membership.Member {
	o.lock.Lock()
	defer o.lock.Unlock()
	i := slices.IndexFunc(l, func(m membership.Member) bool { return m.ID == o.witness.ID })
	if i > 0 {
		l[0], l[i] = l[i], l[0]
	}
	return l
}

// holders bounds how many instances keep their copies here.
type holders struct {
	lock sync.Mutex
	seen map[string]time.Time
}

func (h *holders) admit(now time.Time, holder string, lastResort bool) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.seen == nil {
		h.seen = map[string]time.Time{}
	}
	for id, at := range h.seen {
		if now.Sub(at) > holderMemory {
			delete(h.seen, id)
		}
	}
	if _, known := h.seen[holder]; !known && !lastResort && len(h.seen) >= holderLimit {
		return false
	}
	h.seen[holder] = now
	return true
}

// sendReleases sends the releases that went out with no copies.
func (s *Service) sendReleases() {
	t := time.NewTimer(releaseDelay)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
	s.outbox.lock.Lock()
	s.outbox.pending = false
	to := append(slices.Clone(s.outbox.former), s.outbox.witness)
	to = slices.DeleteFunc(to, func(m membership.Member) bool { return len(s.outbox.drop[m.ID]) == 0 })
	s.outbox.lock.Unlock()
	for _, m := range to {
		if s.await(s.ctx, releaseDelay) != nil {
			return
		}
		if err := s.hold(m, nil, false); err != nil {
			s.log.Warn("peer: Witness was not told what it may drop.", zap.String("peer", m.ID), zap.Error(err))
		}
	}
}

func (s *Service) hold(to membership.Member, bills []record.Bill, lastResort bool) error {
	drop := s.outbox.drops(to.ID)
	req := encodeBills(s.s.ID, bills, drop)
	req.LastResort = lastResort
	return s.pool.call(s.ctx, "hold bill", to.Address, s.s.Timeout, func(ctx context.Context, c peerpb.PeerClient) error {
		_, err := c.HoldBills(ctx, req)
		return err
	})
}
