package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// grantStream is the log stream that holds the grants of all organisations.
const grantStream = "grants"

// WalletSettings holds the delays and limits of a Wallet; zero values select the defaults.
type WalletSettings struct {
	TickInterval   time.Duration // time between two checks for grants to take or to return
	RetryDelay     time.Duration // time after which a grant record that was not read back is appended again
	RefillTimeout  time.Duration // time after which Reserve stops waiting for a grant and refuses
	MaxSnapshotAge time.Duration // age of the latest snapshot at which a new one is due; must be well below the log's retention
	MaxSnapshotLag uint64        // number of records since the latest snapshot at which a new one is due
}

func (s WalletSettings) withDefaults() WalletSettings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.TickInterval, 200*time.Millisecond)
	setDefault(&s.RetryDelay, time.Second)
	setDefault(&s.RefillTimeout, 2*time.Second)
	setDefault(&s.MaxSnapshotAge, 10*time.Minute)
	if s.MaxSnapshotLag == 0 {
		s.MaxSnapshotLag = 400
	}
	return s
}

// Wallet reserves and settles the use of organisations' limits. It takes parts of a limit as grants that are recorded in
// the log, so that no other instance spends them too.
type Wallet struct {
	ctx      context.Context
	options  Options
	settings WalletSettings
	tickNow  chan struct{} // triggers a tick before the next one is due
	wg       sync.WaitGroup

	mu               sync.Mutex
	holder           string // name under which grants are taken; unique per start and per reset of the state
	state            *entitlement.Projection
	returning        bool      // ReturnGrants was called, so no grants are taken any more
	logEra           uint64    // era of the records in state
	returnedAt       time.Time // log time of the latest return from an older copy that was noticed
	keepHeld         bool      // the next initialisation follows a return, after which holders keep their parts
	caughtUp         bool      // the state has reached the end of the stream
	lastLogTime      time.Time // the log's time when it was last read
	lastReadTime     time.Time // local time of that read; zero before the first one
	byOrganisation   map[string]*entitlement.Balance
	changed          chan struct{} // closed and replaced when grants may have changed
	lastSnapshotTime time.Time     // local time of the latest snapshot that this wallet made
}

// NewWallet returns a Wallet whose goroutines end when ctx is cancelled.
func NewWallet(ctx context.Context, o Options, s WalletSettings) *Wallet {
	w := &Wallet{
		ctx: ctx, options: o.withDefaults(), settings: s.withDefaults(), tickNow: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	w.resetState(0, 0)
	w.wg.Go(func() { followStream(ctx, w.options, grantStream, w) })
	w.wg.Go(w.tickLoop)
	return w
}

// Wait returns when all goroutines of the wallet have ended.
func (w *Wallet) Wait() { w.wg.Wait() }

// Reservation is the worst case of one request, reserved in the periods in which the reservation was made.
type Reservation struct {
	wallet      *Wallet
	balance     *entitlement.Balance
	reservation entitlement.Reservation
	once        sync.Once
}

// Reserve reserves the worst case of a request in all limits of the organisation. It fails with ErrEntitlementExhausted
// if a limit leaves too little or no grant arrived in time, and with ErrLogUnavailable after the wallet's context was
// cancelled.
func (w *Wallet) Reserve(ctx context.Context, o record.Organisation, revision uint64, worst entitlement.Amounts) (*Reservation, error) {
	if len(o.Limits) == 0 {
		return &Reservation{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.settings.RefillTimeout)
	defer cancel()
	for {
		r, status, changed := w.tryReserve(o, revision, worst)
		switch status {
		case entitlement.ReservationDone:
			return r, nil
		case entitlement.LimitExhausted:
			w.options.Scope.Counter("exhausted").Inc(1)
			return nil, &Error{Op: "reserve", Kind: ErrEntitlementExhausted, Err: fmt.Errorf("limits of %s leave less than the worst case", o.Name)}
		}
		select {
		case w.tickNow <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.options.Scope.Counter("refill-timeouts").Inc(1)
			return nil, &Error{Op: "reserve", Kind: ErrEntitlementExhausted, Err: errors.New("the log gave no grant in time")}
		case <-w.ctx.Done():
			return nil, &Error{Op: "reserve", Kind: ErrLogUnavailable, Err: w.ctx.Err()}
		}
	}
}

// Settle releases the part of the reservation that the request did not use.
func (r *Reservation) Settle(used entitlement.Amounts) {
	if r.wallet == nil {
		return
	}
	r.once.Do(func() {
		r.wallet.mu.Lock()
		defer r.wallet.mu.Unlock()
		r.balance.SettleReservation(r.wallet.logTime(), r.reservation, used)
	})
}

// ReturnGrants returns all unreserved grants and waits until the log has recorded it; it is called on a planned stop.
func (w *Wallet) ReturnGrants(ctx context.Context) error {
	w.mu.Lock()
	w.returning = true
	w.mu.Unlock()
	for {
		b, pending := w.collectReturns()
		if len(b.Grants) == 0 && !pending {
			return nil
		}
		w.appendBatch(b)
		sleep(ctx, w.settings.TickInterval)
		if err := ctx.Err(); err != nil {
			return &Error{Op: "return grants", Kind: ErrLogUnavailable, Err: err}
		}
	}
}

// collectReturns builds the records that return all unreserved grants. It also reports whether an earlier record still
// awaits its decision.
func (w *Wallet) collectReturns() (b record.GrantBatch, pending bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, balance := range w.byOrganisation {
		b.Grants = append(b.Grants, balance.ReturnGrants(w.logTime())...)
		pending = pending || balance.HasPendingGrant()
	}
	return b, pending
}

// LendGrant takes up to amount out of an organisation's grant and returns it as a transfer to a peer. A repeated call
// with the same id returns the same transfer.
func (w *Wallet) LendGrant(id, organisation string, unit record.Unit, period record.Duration, amount int64) (entitlement.Transfer, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lender, ok := w.byOrganisation[organisation]
	if !ok {
		return entitlement.Transfer{}, false
	}
	return lender.SendTransfer(w.logTime(), id, unit, period, amount)
}

// AcceptLoan adds a peer's transfer to the wallet, once per id.
func (w *Wallet) AcceptLoan(l entitlement.Transfer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	borrower, ok := w.byOrganisation[l.Organisation]
	if !ok || !borrower.AcceptTransfer(w.logTime(), l) {
		return false
	}
	w.notifyWaiters()
	return true
}

// tryReserve makes a reservation from the grants at hand. The channel is closed when grants may have changed.
func (w *Wallet) tryReserve(o record.Organisation, revision uint64, worst entitlement.Amounts) (*Reservation, entitlement.ReservationStatus, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.state.Ready() || w.lastReadTime.IsZero() {
		return nil, entitlement.RefillNeeded, w.changed
	}
	balance, ok := w.byOrganisation[o.Name]
	if !ok {
		balance = entitlement.NewBalance(o.Name, w.holder, w.settings.RetryDelay)
		w.byOrganisation[o.Name] = balance
	}
	now := w.logTime()
	balance.SetLimits(now, revision, o.Limits)
	r, status := balance.Reserve(now, worst)
	return &Reservation{wallet: w, balance: balance, reservation: r}, status, w.changed
}

// logTime estimates the log's time as the time last read plus the local time since then.
func (w *Wallet) logTime() time.Time { return w.lastLogTime.Add(w.options.Now().Sub(w.lastReadTime)) }

// notifyWaiters wakes the callers of Reserve that wait for a grant.
func (w *Wallet) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// resetState drops all grants; the log counts what they held as spent.
func (w *Wallet) resetState(from, first platform.Offset) {
	w.state = entitlement.NewProjection(uint64(from), uint64(first))
	w.holder = w.options.Instance + "-" + uuid.NewString()
	w.byOrganisation = map[string]*entitlement.Balance{}
	w.caughtUp = false
}

// initialise reads backwards to the latest usable snapshot and resets the state to start there.
func (w *Wallet) initialise(ctx context.Context) error {
	bounds, err := streamBounds(ctx, w.options.Log, grantStream)
	if err != nil {
		return err
	}
	from := bounds.End
	for from > bounds.Oldest {
		from -= min(from-bounds.Oldest, maxReadRecords)
		page, err := readLog(ctx, w.options.Log, grantStream, from, maxReadRecords, 0)
		if err != nil {
			return err
		}
		if hasUsableSnapshot(page.Entries, bounds.Oldest) {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.byOrganisation
	w.resetState(from, bounds.Oldest)
	if w.keepHeld {
		w.byOrganisation, w.keepHeld = held, false
		for _, balance := range held {
			balance.KeepHeld(w.holder)
		}
	}
	w.noteReturn(bounds.EraStart)
	w.state.ClosePeriodsBefore(w.returnedAt)
	w.lastLogTime, w.lastReadTime = bounds.Now, w.options.Now()
	w.logEra = bounds.Era
	w.notifyWaiters()
	return nil
}

func (w *Wallet) era() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.logEra
}

func (w *Wallet) logReturned(at time.Time) {
	w.mu.Lock()
	w.noteReturn(at)
	w.keepHeld = true
	w.mu.Unlock()
	if w.options.OnReturn != nil {
		w.options.OnReturn()
	}
}

func (w *Wallet) noteReturn(at time.Time) {
	if at.After(w.returnedAt) {
		w.returnedAt = at
	}
}

// hasUsableSnapshot reports whether the entries hold a snapshot that covers an offset which the stream still keeps.
// After any other snapshot, records that the reader needs next have been removed.
func hasUsableSnapshot(entries []platform.Entry, first platform.Offset) bool {
	for _, e := range entries {
		if s := decodeGrantEntry(e).Snapshot; s != nil && s.Covers >= uint64(first) {
			return true
		}
	}
	return false
}

func (w *Wallet) nextOffset() platform.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	return platform.Offset(w.state.NextOffset())
}

func (w *Wallet) applyPage(page platform.Page) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.notifyWaiters()
	w.lastLogTime, w.lastReadTime = page.Now, w.options.Now()
	for _, e := range page.Entries {
		decisions, err := w.state.Apply(uint64(e.Offset), e.Time, decodeGrantEntry(e))
		var entitlementErr *entitlement.Error
		if errors.As(err, &entitlementErr) && entitlementErr.Kind == entitlement.ErrGap {
			return nil // the state was restored from a snapshot and moved back; the next read continues from there
		}
		if err != nil {
			w.options.Logger.Warn("ledger: A record of grants could not be applied.", zap.Error(err))
		}
		if !w.state.Ready() {
			continue
		}
		for _, decision := range decisions {
			w.applyDecision(decision)
		}
	}
	w.caughtUp = w.state.NextOffset() >= uint64(page.End)
	return nil
}

// applyDecision passes a decision to the organisation's wallet and records it if it is about this instance's grant.
func (w *Wallet) applyDecision(decision entitlement.Decision) {
	if balance, ok := w.byOrganisation[decision.Limit.Organisation]; ok {
		balance.ApplyDecision(w.logTime(), decision)
	}
	if decision.Grant.Holder == w.holder {
		w.options.Recorder.Event("grant-ruled", "organisation", decision.Limit.Organisation, "unit", string(decision.Limit.Unit),
			"kind", string(decision.Grant.Kind), "asked", strconv.FormatInt(decision.Grant.Amount, 10), "given", strconv.FormatInt(decision.Granted, 10))
	}
}

// decodeGrantEntry decodes an entry, without a snapshot whose writer had not noticed yet that the log had returned from an older copy.
func decodeGrantEntry(e platform.Entry) record.GrantBatch {
	b := decodeGrantBatch(e.Data)
	if b.Snapshot != nil && b.Snapshot.Era != e.Era {
		b.Snapshot = nil
	}
	return b
}

// decodeGrantBatch returns an empty batch for a record that can't be decoded. All readers skip the same records, so their
// states stay equal.
func decodeGrantBatch(data []byte) record.GrantBatch {
	var b record.GrantBatch
	if json.Unmarshal(data, &b) != nil {
		return record.GrantBatch{}
	}
	return b
}

// tickLoop appends the grant records that are due at each tick, and when a reservation waits for a grant.
func (w *Wallet) tickLoop() {
	t := time.NewTicker(w.settings.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-t.C:
		case <-w.tickNow:
		}
		if b := w.dueBatch(); b != nil {
			w.appendBatch(*b)
		}
	}
}

// dueBatch returns the grant records to append now, else a snapshot if one is due, else nil.
func (w *Wallet) dueBatch() *record.GrantBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastReadTime.IsZero() {
		return nil
	}
	now := w.logTime()
	var batch record.GrantBatch
	if !w.returning { // otherwise the wallet would take again the grants that ReturnGrants returns
		for _, balance := range w.byOrganisation {
			batch.Grants = append(batch.Grants, balance.DueGrants(now)...)
		}
	}
	if len(batch.Grants) > 0 {
		return &batch
	}
	if !w.snapshotDue(now) {
		return nil
	}
	snapshot, err := w.state.Snapshot(now)
	if err != nil {
		w.options.Logger.Warn("ledger: A snapshot of grants could not be made.", zap.Error(err))
		return nil
	}
	snapshot.Era = w.logEra
	w.lastSnapshotTime = w.options.Now()
	return &record.GrantBatch{Snapshot: &snapshot}
}

// snapshotDue reports whether this instance should write a snapshot. Its limits differ between instances so that mostly
// one of them writes it.
func (w *Wallet) snapshotDue(now time.Time) bool {
	if !w.caughtUp || w.options.Now().Sub(w.lastSnapshotTime) < 5*time.Second {
		return false
	}
	if !w.state.Ready() {
		return true // no instance knows the earlier records; see entitlement.Projection.Snapshot
	}
	stagger := xxhash.Sum64String(w.options.Instance) % 16
	return w.state.SnapshotDue(now, w.settings.MaxSnapshotLag+25*stagger, w.settings.MaxSnapshotAge+time.Duration(stagger)*15*time.Second)
}

func (w *Wallet) appendBatch(batch record.GrantBatch) {
	if len(batch.Grants) == 0 && batch.Snapshot == nil {
		return
	}
	data, err := json.Marshal(batch)
	if err == nil {
		ctx, cancel := context.WithTimeout(w.ctx, appendTimeout)
		defer cancel()
		w.options.Scope.Counter("grant-appends").Inc(1)
		_, err = w.options.Log.Append(ctx, grantStream, data)
	}
	if err != nil {
		w.options.Scope.Counter("append-errors").Inc(1)
		w.options.Logger.Debug("ledger: Grants could not be appended to the log.", zap.Error(err))
	}
}
