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

// billStream is the stream of all bills.
const billStream = "bills"

// flushPause is the time between two appends of a planned stop.
const flushPause = 20 * time.Millisecond

// Witness keeps a copy of a bill at an instance in another availability zone.
type Witness interface {
	Hold(ctx context.Context, b record.Bill) error
}

// Releaser is a Witness that can be told which bills are in the log; without it the witness appends them as well.
type Releaser interface {
	Release(ctx context.Context, l []record.BillID) error
}

// BillSettings holds the delays and bounds of a biller; zero values select the defaults.
type BillSettings struct {
	Bound        int           // bills that are not in the log; at the bound no billable work is admitted
	WitnessBound int           // copies of other instances' bills
	Flush        time.Duration // between two appends
	Retry        time.Duration // until an append without effect is repeated
	Silence      time.Duration // until a copy that its holder has not released is appended
	Batch        int           // bills of one append
}

func (s BillSettings) filled() BillSettings {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.Flush, 200*time.Millisecond)
	def(&s.Retry, 2*time.Second)
	def(&s.Silence, 30*time.Second)
	if s.Bound == 0 {
		s.Bound = 20_000
	}
	if s.WitnessBound == 0 {
		s.WitnessBound = 2 * s.Bound
	}
	if s.Batch == 0 {
		s.Batch = 1000
	}
	return s
}

// Biller holds bills until they are in the log.
type Biller struct {
	ctx      context.Context
	options  Options
	settings BillSettings
	witness  Witness
	wg       sync.WaitGroup
	spawn    func(func()) // starts a goroutine; histories run the function at once instead

	mu      sync.Mutex
	kick    chan struct{} // asks for an append before the next one is due
	holder  *bill.Holder
	copies  *bill.Witness
	waiting map[record.BillID]chan struct{} // closed when the bill is in the log
}

// NewBiller returns a biller whose goroutines end with the context; witness may be nil.
func NewBiller(ctx context.Context, o Options, witness Witness, s BillSettings) *Biller {
	s = s.filled()
	b := &Biller{
		ctx: ctx, options: o.filled(), settings: s, witness: witness,
		holder:  bill.NewHolder(s.Bound, s.Retry),
		copies:  bill.NewWitness(s.WitnessBound, s.Silence),
		waiting: map[record.BillID]chan struct{}{},
		kick:    make(chan struct{}, 1),
	}
	b.spawn = b.wg.Go
	b.spawn(b.appendLoop)
	return b
}

// Wait returns when all goroutines of the biller have ended.
func (b *Biller) Wait() { b.wg.Wait() }

// Admission is room in the buffer for the bill of one request.
type Admission struct {
	biller *Biller
	once   sync.Once
}

// Admit keeps room for a bill; billable work may start only with an admission. The error is ErrBufferFull.
func (b *Biller) Admit() (*Admission, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.holder.Admit(); err != nil {
		b.options.Scope.Counter("bill-refusals").Inc(1)
		return nil, &Error{Op: "admit", Kind: ErrBufferFull, Err: err}
	}
	return &Admission{biller: b}, nil
}

// Close gives the room back; call it when the request has ended, billed or not.
func (a *Admission) Close() {
	a.once.Do(func() {
		a.biller.mu.Lock()
		defer a.biller.mu.Unlock()
		a.biller.holder.Cancel()
	})
}

// Bill takes a bill and returns nil when the last byte may be released: a witness has the bill, or the log has.
// After an error the bill is still held and will be appended, so the caller may wait by calling Bill again.
func (b *Biller) Bill(ctx context.Context, l record.Bill) error {
	if l.Issued.IsZero() {
		l.Issued = b.options.Now()
	}
	done := b.add(l)
	held := make(chan error, 1)
	if b.witness != nil {
		b.wg.Go(func() {
			ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
			defer cancel()
			held <- b.witness.Hold(ctx, l)
		})
	}
	for {
		select {
		case <-done:
			return nil
		case err := <-held:
			if err == nil {
				return nil
			}
			b.options.Scope.Counter("witness-errors").Inc(1)
			b.options.Logger.Debug("ledger: no witness for a bill", zap.Error(err))
		case <-ctx.Done():
			return &Error{Op: "bill", Kind: ErrLogUnavailable, Err: ctx.Err()}
		case <-b.ctx.Done():
			return &Error{Op: "bill", Kind: ErrLogUnavailable, Err: b.ctx.Err()}
		}
	}
}

// Hold keeps a copy of another instance's bill; it is the server side of Witness.
func (b *Biller) Hold(_ context.Context, l record.Bill) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.copies.Hold(b.options.Now(), l); err != nil {
		return &Error{Op: "hold", Kind: ErrBufferFull, Err: err}
	}
	return nil
}

// Release drops copies whose bills are in the log; it is the server side of Releaser.
func (b *Biller) Release(_ context.Context, l []record.BillID) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.copies.Release(l)
	return nil
}

// Flush appends all bills and copies and returns when they are in the log, for a planned stop.
func (b *Biller) Flush(ctx context.Context) error {
	b.mu.Lock()
	for _, l := range b.copies.All() {
		b.holder.Add(b.options.Now(), l)
	}
	b.mu.Unlock()
	for {
		n := b.Len()
		if n == 0 {
			return nil
		}
		select {
		case b.kick <- struct{}{}:
		default:
		}
		pause(ctx, min(b.settings.Flush, flushPause))
		if err := ctx.Err(); err != nil {
			return &Error{Op: "flush bills", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d bills are not in the log: %w", n, err)}
		}
	}
}

// HandOver gives the bills that the log did not take to a witness, for a planned stop in a log outage. Without it a
// roll-out of all instances during the outage would lose them.
func (b *Biller) HandOver(ctx context.Context) error {
	b.mu.Lock()
	l := b.holder.Bills()
	b.mu.Unlock()
	if len(l) > 0 && b.witness == nil {
		return &Error{Op: "hand over bills", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d bills and no witness", len(l))}
	}
	for n, x := range l {
		if err := b.witness.Hold(ctx, x); err != nil {
			return &Error{Op: "hand over bills", Kind: ErrLogUnavailable, Err: fmt.Errorf("%d of %d bills: %w", len(l)-n, len(l), err)}
		}
	}
	return nil
}

// Len returns the number of held bills that are not known to be in the log.
func (b *Biller) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Len()
}

func (b *Biller) add(l record.Bill) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.waiting[l.ID()]; ok {
		return c
	}
	b.holder.Add(b.options.Now(), l)
	c := make(chan struct{})
	b.waiting[l.ID()] = c
	return c
}

func (b *Biller) appendLoop() {
	t := time.NewTicker(b.settings.Flush)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
		case <-b.kick:
		}
		if err := b.appendDue(); err != nil {
			b.options.Scope.Counter("append-errors").Inc(1)
			b.options.Logger.Debug("ledger: append of bills failed", zap.Error(err))
		}
	}
}

func (b *Biller) appendDue() error {
	b.mu.Lock()
	now := b.options.Now()
	for _, l := range b.copies.Adopt(now) {
		b.options.Recorder.Event("bill-adopted", "organisation", l.Organisation, "key", l.Key, "holder", l.Instance)
		b.holder.Add(now, l)
	}
	fresh, check := b.holder.Due(now, b.settings.Batch)
	b.options.Scope.Gauge("bills-held").Update(float64(b.holder.Len()))
	b.mu.Unlock()
	if len(check) > 0 {
		if err := b.appendChecked(check); err != nil {
			return err
		}
	}
	if len(fresh) == 0 {
		return nil
	}
	if err := b.append(fresh, nil); err != nil {
		return err
	}
	b.mu.Lock()
	done := b.holder.Appended(b.options.Now(), fresh)
	b.mu.Unlock()
	b.confirm(done)
	return nil
}

func (b *Biller) append(l []record.Bill, check *record.BillCheck) error {
	data, err := record.BillBatch{ID: uuid.NewString(), Check: check, Bills: l}.MarshalBinary()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
	defer cancel()
	b.options.Scope.Counter("bill-appends").Inc(1)
	_, err = b.options.Log.Append(ctx, billStream, data)
	return err
}

// confirm tells the waiting requests and the witness that bills are in the log.
func (b *Biller) confirm(l []record.BillID) {
	if len(l) == 0 {
		return
	}
	b.mu.Lock()
	for _, k := range l {
		if c, ok := b.waiting[k]; ok {
			close(c)
			delete(b.waiting, k)
		}
		b.options.Recorder.Event("bill-confirmed", "organisation", k.Organisation, "key", k.Key)
	}
	b.options.Scope.Gauge("bills-held").Update(float64(b.holder.Len()))
	b.mu.Unlock()
	b.options.Scope.Counter("bills").Inc(int64(len(l)))
	if r, ok := b.witness.(Releaser); ok {
		b.spawn(func() { b.release(r, l) })
	}
}

// release runs apart from the append loop: a silent witness must not delay the next bills.
func (b *Biller) release(r Releaser, l []record.BillID) {
	ctx, cancel := context.WithTimeout(b.ctx, appendTimeout)
	defer cancel()
	if err := r.Release(ctx, l); err != nil {
		b.options.Logger.Debug("ledger: witness was not told of appended bills", zap.Error(err))
	}
}
