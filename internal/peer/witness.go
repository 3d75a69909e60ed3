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
	billBatchDelay = 3 * time.Millisecond // wait of a bill for others in the same call
	maxBillBatch   = 1000                 // bills or releases in one call
	// maxHoldWait limits how long a copy waits for the budget, because the last byte of an answer waits for the copy.
	// At 34 bills per second, the rate at the target size, eight bills then share a call, at a third of the cost of eight
	// calls.
	maxHoldWait          = 250 * time.Millisecond
	releaseDelay         = time.Second // longest wait of a release for a call with copies
	maxHolders           = 2           // holders that one witness accepts; rendezvous hashing alone could overload a witness
	holderExpiry         = time.Minute // a holder no longer counts towards maxHolders this long after its last copy
	maxWitnessCandidates = 3           // peers tried in order
	maxFormerWitnesses   = 3           // former witnesses that still receive releases
)

// WitnessClient is the client for witness copies: it copies each bill to a peer in another availability zone, the
// witness, until the log holds the bill.
type WitnessClient struct{ service *Service }

// Witness returns the client for witness copies. It works while the service runs.
func (s *Service) Witness() *WitnessClient { return &WitnessClient{s} }

// HoldBill returns when a peer in another availability zone holds a copy of the bill. After an error it is unknown whether
// one does; the caller must then append the bill to the log before it sends the last byte of the answer.
func (w *WitnessClient) HoldBill(ctx context.Context, b record.Bill) error {
	batch := w.service.outbox.addBill(w.service, b)
	select {
	case <-batch.done:
		return batch.err
	case <-ctx.Done():
		return &Error{Op: "hold bill", Kind: ErrUnreachable, Err: ctx.Err()}
	}
}

// ReleaseBills informs the witnesses that the log holds the bills. The releases are sent with the next copies, or on
// their own after a second.
func (w *WitnessClient) ReleaseBills(ids []BillID) { w.service.outbox.queueRelease(w.service, ids) }

// outbox batches the copies and releases of bills for the witnesses.
type outbox struct {
	lock             sync.Mutex
	openBatch        *billBatch
	witness          membership.Member // the one that accepted the last batch
	formerWitnesses  []membership.Member
	releases         map[string][]BillID // by witness
	releaseScheduled bool                // a goroutine is waiting to send releases
	closed           bool                // the service is stopping; no goroutine may be started
}

// close keeps further bills and releases from starting goroutines.
func (o *outbox) close() {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.closed = true
}

// billBatch is a batch of copies for one call; err is set before done is closed.
type billBatch struct {
	bills []record.Bill
	done  chan struct{}
	err   error
}

func (o *outbox) addBill(s *Service, b record.Bill) *billBatch {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.closed {
		batch := &billBatch{done: make(chan struct{}), err: &Error{Op: "hold bill", Kind: ErrStopped}}
		close(batch.done)
		return batch
	}
	if o.openBatch == nil || len(o.openBatch.bills) >= maxBillBatch {
		batch := &billBatch{done: make(chan struct{})}
		o.openBatch = batch
		s.wg.Go(func() { s.sendBillBatch(batch) })
	}
	o.openBatch.bills = append(o.openBatch.bills, b)
	return o.openBatch
}

// queueRelease queues the ids for the current and the former witnesses, at most maxBillBatch for each.
func (o *outbox) queueRelease(s *Service, ids []BillID) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.closed {
		return
	}
	if o.releases == nil {
		o.releases = map[string][]BillID{}
	}
	if !o.releaseScheduled {
		o.releaseScheduled = true
		s.wg.Go(s.sendReleases)
	}
	for _, m := range append(slices.Clone(o.formerWitnesses), o.witness) {
		if m.ID == "" {
			continue
		}
		l := slices.Concat(o.releases[m.ID], ids)
		// The oldest ids may be dropped: a witness that misses a release finds the bill in the log before it appends it.
		o.releases[m.ID] = l[max(0, len(l)-maxBillBatch):]
	}
}

// closeBatch closes a batch to further bills and returns its bills.
func (o *outbox) closeBatch(batch *billBatch) []record.Bill {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.openBatch == batch {
		o.openBatch = nil
	}
	return batch.bills
}

// takeReleases removes and returns the queued releases for a witness.
func (o *outbox) takeReleases(to string) []BillID {
	o.lock.Lock()
	defer o.lock.Unlock()
	l := o.releases[to]
	delete(o.releases, to)
	return l
}

// setWitness records the witness that accepted the last batch.
func (o *outbox) setWitness(m membership.Member) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.witness.ID == m.ID {
		return
	}
	o.formerWitnesses = slices.DeleteFunc(o.formerWitnesses, func(f membership.Member) bool { return f.ID == m.ID })
	if o.witness.ID != "" {
		o.formerWitnesses = append(o.formerWitnesses, o.witness)
	}
	for len(o.formerWitnesses) > maxFormerWitnesses {
		delete(o.releases, o.formerWitnesses[0].ID)
		o.formerWitnesses = o.formerWitnesses[1:]
	}
	o.witness = m
}

// sendBillBatch waits for more bills and the budget, then sends the batch to the first witness that accepts it.
// If all candidates fail, it asks each once more, as a last resort.
func (s *Service) sendBillBatch(batch *billBatch) {
	defer close(batch.done)
	t := time.NewTimer(billBatchDelay)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
	// The batch accepts bills while it waits for the budget: the scarcer the budget, the more bills share a call.
	err := s.waitForBudget(s.ctx, maxHoldWait)
	bills := s.outbox.closeBatch(batch)
	if err != nil {
		batch.err = err
		return
	}
	batch.err = &Error{Op: "hold bill", Kind: ErrNoPeer}
	l := s.outbox.preferCurrentWitness(s.View().Witnesses(maxWitnessCandidates))
	for i := range 2 * len(l) {
		m := l[i%len(l)]
		if batch.err = s.sendToWitness(m, bills, i >= len(l)); batch.err == nil {
			s.outbox.setWitness(m)
			return
		}
		s.log.Debug("peer: Copying bills to a witness failed.", zap.String("peer", m.ID), zap.Error(batch.err))
	}
	s.log.Warn("peer: No witness accepted the copies of the bills.", zap.Int("bills", len(bills)), zap.Error(batch.err))
}

// preferCurrentWitness swaps the current witness with the first candidate, if it is still a candidate itself.
func (o *outbox) preferCurrentWitness(l []membership.Member) []membership.Member {
	o.lock.Lock()
	defer o.lock.Unlock()
	i := slices.IndexFunc(l, func(m membership.Member) bool { return m.ID == o.witness.ID })
	if i > 0 {
		l[0], l[i] = l[i], l[0]
	}
	return l
}

// holderLimiter limits the number of holders whose copies this instance accepts.
type holderLimiter struct {
	lock     sync.Mutex
	lastCopy map[string]time.Time // by holder
}

// admit reports whether copies of a holder are accepted. A holder that found no other witness is always admitted.
func (h *holderLimiter) admit(now time.Time, holder string, lastResort bool) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.lastCopy == nil {
		h.lastCopy = map[string]time.Time{}
	}
	for id, copied := range h.lastCopy {
		if now.Sub(copied) > holderExpiry {
			delete(h.lastCopy, id)
		}
	}
	if _, known := h.lastCopy[holder]; !known && !lastResort && len(h.lastCopy) >= maxHolders {
		return false
	}
	h.lastCopy[holder] = now
	return true
}

// sendReleases sends the releases that were not sent along with copies during releaseDelay.
func (s *Service) sendReleases() {
	t := time.NewTimer(releaseDelay)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
	s.outbox.lock.Lock()
	s.outbox.releaseScheduled = false
	witnesses := append(slices.Clone(s.outbox.formerWitnesses), s.outbox.witness)
	witnesses = slices.DeleteFunc(witnesses, func(m membership.Member) bool { return len(s.outbox.releases[m.ID]) == 0 })
	s.outbox.lock.Unlock()
	for _, m := range witnesses {
		if s.waitForBudget(s.ctx, releaseDelay) != nil {
			return
		}
		if err := s.sendToWitness(m, nil, false); err != nil {
			s.log.Warn("peer: Sending releases of confirmed bills to a witness failed.", zap.String("peer", m.ID), zap.Error(err))
		}
	}
}

// sendToWitness sends copies, and the releases that are queued for the witness, in one call. With lastResort set, the
// witness accepts the copies even if it already holds copies of the maximum number of holders.
func (s *Service) sendToWitness(to membership.Member, bills []record.Bill, lastResort bool) error {
	releases := s.outbox.takeReleases(to.ID)
	req := encodeBills(s.settings.ID, bills, releases)
	req.LastResort = lastResort
	return s.pool.call(s.ctx, "hold bill", to.Address, s.settings.CallTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		_, err := c.HoldBills(ctx, req)
		return err
	})
}
