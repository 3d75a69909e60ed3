package ledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// billStream is the log stream that holds the bills of all organisations.
const billStream = "bills"

// plannedStopFlushInterval is the longest time between two appends while FlushBills runs.
const plannedStopFlushInterval = 20 * time.Millisecond

// Witness keeps a copy of a bill at an instance in another availability zone.
type Witness interface {
	HoldBill(ctx context.Context, b record.Bill) error
}

// WitnessReleaser is a Witness that can be told which bills are in the log, so that it drops its copies.
// A witness that is not told appends its copies to the log as well.
type WitnessReleaser interface {
	ReleaseBills(ctx context.Context, l []record.BillID) error
}

// BillSettings holds the delays and size limits of a Biller; zero values select the defaults.
type BillSettings struct {
	MaxHeldBills     int           // maximum number of bills that wait for the log; ReserveBuffer refuses more
	MaxWitnessCopies int           // maximum number of copies kept for other instances
	AppendInterval   time.Duration // time between two appends
	RetryDelay       time.Duration // time after which an unconfirmed append is repeated
	AdoptAfter       time.Duration // time after which a witness appends a copy that was not released
	BatchSize        int           // maximum number of bills in one append
	KeepConfirmed    time.Duration // time for which bills are kept after they were confirmed; see Biller.LogReturned
}

func (s BillSettings) withDefaults() BillSettings {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&s.AppendInterval, 200*time.Millisecond)
	setDefault(&s.RetryDelay, 2*time.Second)
	setDefault(&s.AdoptAfter, 30*time.Second)
	setDefault(&s.KeepConfirmed, 2*time.Minute)
	if s.MaxHeldBills == 0 {
		s.MaxHeldBills = 20_000
	}
	if s.MaxWitnessCopies == 0 {
		s.MaxWitnessCopies = 2 * s.MaxHeldBills
	}
	if s.BatchSize == 0 {
		s.BatchSize = 1000
	}
	return s
}

// Biller buffers the bills of an instance until the log has confirmed them, and keeps copies for other instances.
type Biller struct {
	ctx      context.Context
	options  Options
	settings BillSettings
	witness  Witness
	wg       sync.WaitGroup
	spawn    func(func()) // starts a goroutine; simulated histories call the function directly

	mu            sync.Mutex
	appendNow     chan struct{} // triggers an append before the next tick
	ownBills      *bill.Buffer
	witnessCopies *bill.WitnessBuffer
	confirmations map[record.BillID]chan struct{} // each channel is closed once its bill is in the log
	confirmed     bill.ConfirmedBuffer            // own bills
	released      bill.ConfirmedBuffer            // copies of other instances' bills
	returns       int                             // calls of LogReturned
}

// NewBiller returns a Biller whose goroutines end when ctx is cancelled; witness may be nil.
func NewBiller(ctx context.Context, o Options, witness Witness, s BillSettings) *Biller {
	s = s.withDefaults()
	b := &Biller{
		ctx: ctx, options: o.withDefaults(), settings: s, witness: witness,
		ownBills:      bill.NewBuffer(s.MaxHeldBills, s.RetryDelay),
		witnessCopies: bill.NewWitnessBuffer(s.MaxWitnessCopies, s.AdoptAfter),
		confirmations: map[record.BillID]chan struct{}{},
		appendNow:     make(chan struct{}, 1),
		confirmed:     bill.NewConfirmedBuffer(s.MaxHeldBills, s.KeepConfirmed),
		released:      bill.NewConfirmedBuffer(s.MaxWitnessCopies, s.KeepConfirmed),
	}
	b.spawn = b.wg.Go
	b.spawn(b.appendLoop)
	return b
}

// Wait returns when all goroutines of the biller have ended.
func (b *Biller) Wait() { b.wg.Wait() }

// Admission is a reserved place in the buffer for the bill of one request.
type Admission struct {
	biller *Biller
	once   sync.Once
}

// ReserveBuffer reserves a place for a bill; billable work may start only with an Admission.
// It fails with ErrBufferFull when the buffer has reached its limit.
func (b *Biller) ReserveBuffer() (*Admission, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.ownBills.Reserve(); err != nil {
		b.options.Scope.Counter("bill-refusals").Inc(1)
		return nil, &Error{Op: "admit", Kind: ErrBufferFull, Err: err}
	}
	return &Admission{biller: b}, nil
}

// Close frees the reserved place; it must be called when the request has ended, whether it was billed or not.
func (a *Admission) Close() {
	a.once.Do(func() {
		a.biller.mu.Lock()
		defer a.biller.mu.Unlock()
		a.biller.ownBills.ReleaseReservation()
	})
}

// RecordBill adds a bill to the buffer and waits until a witness or the log has it; the last byte of the answer may be
// sent once RecordBill returns nil. After an error the bill stays in the buffer and is still appended, so the caller
// may call RecordBill again to keep waiting.
func (b *Biller) RecordBill(ctx context.Context, newBill record.Bill) error {
	if newBill.Issued.IsZero() {
		newBill.Issued = b.options.Now()
	}
	confirmed := b.addBill(newBill)
	held := make(chan error, 1)
	if b.witness != nil {
		b.wg.Go(func() {
			ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
			defer cancel()
			held <- b.witness.HoldBill(ctx, newBill)
		})
	}
	for {
		select {
		case <-confirmed:
			return nil
		case err := <-held:
			if err == nil {
				return nil
			}
			b.options.Scope.Counter("witness-errors").Inc(1)
			b.options.Logger.Debug("ledger: No witness took a copy of the bill.", zap.Error(err))
		case <-ctx.Done():
			return &Error{Op: "bill", Kind: ErrLogUnavailable, Err: ctx.Err()}
		case <-b.ctx.Done():
			return &Error{Op: "bill", Kind: ErrLogUnavailable, Err: b.ctx.Err()}
		}
	}
}

// HoldBill keeps a copy of another instance's bill; it serves that instance's Witness.
func (b *Biller) HoldBill(_ context.Context, newBill record.Bill) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.witnessCopies.Add(b.options.Now(), newBill); err != nil {
		return &Error{Op: "hold", Kind: ErrBufferFull, Err: err}
	}
	return nil
}

// ReleaseBills drops the copies of bills that are in the log; it serves the other instance's WitnessReleaser.
func (b *Biller) ReleaseBills(_ context.Context, ids []record.BillID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released.Add(b.options.Now(), b.witnessCopies.Remove(ids))
	return nil
}

// LogReturned tells the biller that the log has returned from an older copy, in which the bills that were confirmed last may be missing.
// It appends them again, and holds their copies again in case that their holder doesn't; readers of the stream discard a second record
// of a bill.
func (b *Biller) LogReturned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.options.Now()
	b.returns++
	again := b.confirmed.TakeAll(now)
	for _, l := range again {
		b.ownBills.Add(now, l)
	}
	for _, l := range b.released.TakeAll(now) {
		if err := b.witnessCopies.Add(now, l); err != nil {
			b.ownBills.Add(now, l)
		}
	}
	b.options.Scope.Counter("bills-again").Inc(int64(len(again)))
	b.options.Logger.Warn("ledger: The log has returned from an older copy; the bills that were confirmed last are appended again.", zap.Int("bills", len(again)))
}

// FlushBills appends all bills and witness copies and waits until they are in the log; it is called on a planned stop.
func (b *Biller) FlushBills(ctx context.Context) error {
	b.mu.Lock()
	for _, copied := range b.witnessCopies.Drain() {
		b.ownBills.Add(b.options.Now(), copied)
	}
	b.mu.Unlock()
	for {
		remaining := b.HeldBills()
		if remaining == 0 {
			return nil
		}
		select {
		case b.appendNow <- struct{}{}:
		default:
		}
		sleep(ctx, min(b.settings.AppendInterval, plannedStopFlushInterval))
		if err := ctx.Err(); err != nil {
			return &Error{Op: "flush bills", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d bills are not in the log: %w", remaining, err)}
		}
	}
}

// HandOverBills sends the bills that could not be appended to the witness; it is called on a planned stop during a log
// outage. Otherwise a roll-out that restarts all instances during the outage would lose these bills.
func (b *Biller) HandOverBills(ctx context.Context) error {
	b.mu.Lock()
	held := b.ownBills.Bills()
	b.mu.Unlock()
	if len(held) > 0 && b.witness == nil {
		return &Error{Op: "hand over bills", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d bills can't be handed over without a witness", len(held))}
	}
	for sent, heldBill := range held {
		if err := b.witness.HoldBill(ctx, heldBill); err != nil {
			return &Error{Op: "hand over bills", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d of %d bills were not handed over: %w", len(held)-sent, len(held), err)}
		}
	}
	return nil
}

// HeldBills returns the number of buffered bills that the log has not confirmed.
func (b *Biller) HeldBills() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownBills.Len()
}

// addBill buffers a bill and returns a channel that is closed once the bill is in the log.
func (b *Biller) addBill(newBill record.Bill) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if confirmed, ok := b.confirmations[newBill.ID()]; ok {
		return confirmed
	}
	b.ownBills.Add(b.options.Now(), newBill)
	confirmed := make(chan struct{})
	b.confirmations[newBill.ID()] = confirmed
	return confirmed
}

// appendLoop appends the bills that are due at each tick, and when FlushBills asks for it.
func (b *Biller) appendLoop() {
	t := time.NewTicker(b.settings.AppendInterval)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
		case <-b.appendNow:
		}
		if err := b.appendDueBills(); err != nil {
			b.options.Scope.Counter("append-errors").Inc(1)
			b.options.Logger.Debug("ledger: Bills could not be appended to the log.", zap.Error(err))
		}
	}
}

// appendDueBills takes over the copies that were not released in time and appends the bills that are due.
// Bills that have been held for long are checked against the stream first.
func (b *Biller) appendDueBills() error {
	b.mu.Lock()
	now := b.options.Now()
	for _, l := range b.witnessCopies.TakeUnreleased(now) {
		b.options.Recorder.Event("bill-adopted", "organisation", l.Organisation, "key", l.Key, "holder", l.Instance)
		b.ownBills.Add(now, l)
	}
	fresh, needCheck := b.ownBills.TakeDue(now, b.settings.BatchSize)
	returns := b.returns
	b.options.Scope.Gauge("bills-held").Update(float64(b.ownBills.Len()))
	b.mu.Unlock()
	if len(needCheck) > 0 {
		if err := b.appendWithCheck(needCheck); err != nil {
			return err
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := b.appendBatch(fresh, nil); err != nil {
		return err
	}
	b.confirmBills(b.confirmAppended(fresh, returns))
	return nil
}

// confirmAppended confirms bills by the log's reply to their append, which began after a number of returns. If the log has returned since,
// the bills may be lost.
func (b *Biller) confirmAppended(appended []record.Bill, returns int) []record.BillID {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.returns != returns {
		return nil
	}
	ids := b.ownBills.ConfirmAppended(b.options.Now(), appended)
	b.keepConfirmed(ids, appended)
	return ids
}

// keepConfirmed keeps the bills of a list that were confirmed; the caller holds the lock.
func (b *Biller) keepConfirmed(ids []record.BillID, bills []record.Bill) {
	remaining := make(map[record.BillID]struct{}, len(ids))
	for _, id := range ids {
		remaining[id] = struct{}{}
	}
	kept := make([]record.Bill, 0, len(ids))
	for _, l := range bills {
		if _, ok := remaining[l.ID()]; ok {
			delete(remaining, l.ID())
			kept = append(kept, l)
		}
	}
	b.confirmed.Add(b.options.Now(), kept)
}

func (b *Biller) appendBatch(bills []record.Bill, check *record.BillCheck) error {
	data, err := record.BillBatch{ID: uuid.NewString(), Check: check, Bills: bills}.MarshalBinary()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
	defer cancel()
	b.options.Scope.Counter("bill-appends").Inc(1)
	_, err = b.options.Log.Append(ctx, billStream, data)
	return err
}

// confirmBills tells the waiting requests and the witness that bills are in the log.
func (b *Biller) confirmBills(ids []record.BillID) {
	if len(ids) == 0 {
		return
	}
	b.mu.Lock()
	for _, id := range ids {
		if c, ok := b.confirmations[id]; ok {
			close(c)
			delete(b.confirmations, id)
		}
		b.options.Recorder.Event("bill-confirmed", "organisation", id.Organisation, "key", id.Key)
	}
	b.options.Scope.Gauge("bills-held").Update(float64(b.ownBills.Len()))
	b.mu.Unlock()
	b.options.Scope.Counter("bills").Inc(int64(len(ids)))
	if r, ok := b.witness.(WitnessReleaser); ok {
		b.spawn(func() { b.releaseBills(r, ids) })
	}
}

// releaseBills runs in its own goroutine so that a witness that does not answer can't delay the next append.
func (b *Biller) releaseBills(r WitnessReleaser, ids []record.BillID) {
	ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
	defer cancel()
	if err := r.ReleaseBills(ctx, ids); err != nil {
		b.options.Logger.Debug("ledger: The witness could not be told which bills are in the log.", zap.Error(err))
	}
}
