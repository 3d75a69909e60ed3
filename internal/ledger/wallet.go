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

// grantStream is the stream of all grants.
const grantStream = "grants"

// WalletSettings holds the delays of a wallet; zero values select the defaults.
type WalletSettings struct {
	Tick         time.Duration // between two looks at refills and returns
	Retry        time.Duration // until an unread grant record is appended again
	Wait         time.Duration // until a reservation without a refill is refused
	SnapshotAge  time.Duration // of the latest snapshot; must be well below the log's retention
	SnapshotSize uint64        // records since the latest snapshot
}

func (s WalletSettings) filled() WalletSettings {
	def := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	def(&s.Tick, 200*time.Millisecond)
	def(&s.Retry, time.Second)
	def(&s.Wait, 2*time.Second)
	def(&s.SnapshotAge, 10*time.Minute)
	if s.SnapshotSize == 0 {
		s.SnapshotSize = 400
	}
	return s
}

// Wallet spends organisations' limits from grants.
type Wallet struct {
	ctx      context.Context
	options  Options
	settings WalletSettings
	kick     chan struct{}
	wg       sync.WaitGroup

	mu       sync.Mutex
	holder   string // unique per start and per reset of the fold
	fold     *entitlement.Fold
	closing  bool      // Return was called
	end      bool      // the fold has reached the end of the stream
	logNow   time.Time // the log's time, as last read at local time readAt
	readAt   time.Time
	wallets  map[string]*entitlement.Wallet
	changed  chan struct{} // closed at each ruling
	snapshot time.Time     // local time of the latest own snapshot
}

// NewWallet returns a wallet whose goroutines end with the context.
func NewWallet(ctx context.Context, o Options, s WalletSettings) *Wallet {
	w := &Wallet{
		ctx: ctx, options: o.filled(), settings: s.filled(), kick: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}
	w.reset(0)
	w.wg.Go(func() { follow(ctx, w.options, grantStream, w) })
	w.wg.Go(w.tickLoop)
	return w
}

// Wait returns when all goroutines of the wallet have ended.
func (w *Wallet) Wait() { w.wg.Wait() }

// Reservation is the worst case of one request, set aside in the period of the reservation.
type Reservation struct {
	wallet *Wallet
	purse  *entitlement.Wallet
	core   entitlement.Reservation
	once   sync.Once
}

// Reserve sets the worst case aside in all of the organisation's limits. The error is ErrExhausted.
func (w *Wallet) Reserve(ctx context.Context, o record.Organisation, revision uint64, worst entitlement.Amounts) (*Reservation, error) {
	if len(o.Limits) == 0 {
		return &Reservation{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.settings.Wait)
	defer cancel()
	for {
		r, status, changed := w.try(o, revision, worst)
		switch status {
		case entitlement.Reserved:
			return r, nil
		case entitlement.Exhausted:
			w.options.Scope.Counter("exhausted").Inc(1)
			return nil, &Error{Op: "reserve", Kind: ErrExhausted, Err: fmt.Errorf("limits of %s leave less than the worst case", o.Name)}
		}
		select {
		case w.kick <- struct{}{}:
		default:
		}
		select {
		case <-changed:
		case <-ctx.Done():
			w.options.Scope.Counter("refill-timeouts").Inc(1)
			return nil, &Error{Op: "reserve", Kind: ErrExhausted, Err: errors.New("the log gave no grant in time")}
		case <-w.ctx.Done():
			return nil, &Error{Op: "reserve", Kind: ErrLogUnavailable, Err: w.ctx.Err()}
		}
	}
}

// Settle gives back what the request did not use.
func (r *Reservation) Settle(used entitlement.Amounts) {
	if r.wallet == nil {
		return
	}
	r.once.Do(func() {
		r.wallet.mu.Lock()
		defer r.wallet.mu.Unlock()
		r.purse.Settle(r.wallet.now(), r.core, used)
	})
}

// Return gives all unreserved grants back and waits until the log has them, for a planned stop.
func (w *Wallet) Return(ctx context.Context) error {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	for {
		b, pending := w.rest()
		if len(b.Grants) == 0 && !pending {
			return nil
		}
		w.append(b)
		pause(ctx, w.settings.Tick)
		if err := ctx.Err(); err != nil {
			return &Error{Op: "return grants", Kind: ErrLogUnavailable, Err: err}
		}
	}
}

func (w *Wallet) rest() (b record.GrantBatch, pending bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.wallets {
		b.Grants = append(b.Grants, p.ReturnAll(w.now())...)
		pending = pending || p.Pending()
	}
	return b, pending
}

// Lend takes up to an amount out of the wallet for a peer; the same id gives the same loan again.
func (w *Wallet) Lend(id, organisation string, unit record.Unit, period record.Duration, amount int64) (entitlement.Loan, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.wallets[organisation]
	if !ok {
		return entitlement.Loan{}, false
	}
	return p.Lend(w.now(), id, unit, period, amount)
}

// Accept puts a peer's loan into the wallet, once per id.
func (w *Wallet) Accept(l entitlement.Loan) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.wallets[l.Organisation]
	if !ok || !p.Accept(w.now(), l) {
		return false
	}
	w.announce()
	return true
}

func (w *Wallet) try(o record.Organisation, revision uint64, worst entitlement.Amounts) (*Reservation, entitlement.Status, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fold.Ready() || w.readAt.IsZero() {
		return nil, entitlement.Waiting, w.changed
	}
	p, ok := w.wallets[o.Name]
	if !ok {
		p = entitlement.NewWallet(o.Name, w.holder, w.settings.Retry)
		w.wallets[o.Name] = p
	}
	now := w.now()
	p.Configure(now, revision, o.Limits)
	r, status := p.Reserve(now, worst)
	return &Reservation{wallet: w, purse: p, core: r}, status, w.changed
}

// now returns the log's time: the one last read plus the time since then.
func (w *Wallet) now() time.Time { return w.logNow.Add(w.options.Now().Sub(w.readAt)) }

func (w *Wallet) announce() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// reset forgets all grants: what they hold stays spent.
func (w *Wallet) reset(from platform.Offset) {
	w.fold = entitlement.NewFold(uint64(from))
	w.holder = w.options.Instance + "-" + uuid.NewString()
	w.wallets = map[string]*entitlement.Wallet{}
	w.end = false
}

// start reads backwards to the latest snapshot.
func (w *Wallet) start(ctx context.Context) error {
	p, err := span(ctx, w.options.Log, grantStream)
	if err != nil {
		return err
	}
	from := p.Next
	for from > p.First {
		from -= min(from-p.First, readLimit)
		q, err := read(ctx, w.options.Log, grantStream, from, readLimit, 0)
		if err != nil {
			return err
		}
		if hasSnapshot(q.Entries) {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reset(from)
	w.logNow, w.readAt = p.Now, w.options.Now()
	w.announce()
	return nil
}

func hasSnapshot(l []platform.Entry) bool {
	for _, e := range l {
		if decodeGrants(e.Data).Snapshot != nil {
			return true
		}
	}
	return false
}

func (w *Wallet) next() platform.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	return platform.Offset(w.fold.Next())
}

func (w *Wallet) page(g platform.Page) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.announce()
	w.logNow, w.readAt = g.Now, w.options.Now()
	for _, e := range g.Entries {
		l, err := w.fold.Apply(uint64(e.Offset), e.Time, decodeGrants(e.Data))
		var f *entitlement.Error
		if errors.As(err, &f) && f.Kind == entitlement.ErrGap {
			return nil // a snapshot moved the fold back; read on from there
		}
		if err != nil {
			w.options.Logger.Warn("ledger: grant record can't be applied", zap.Error(err))
		}
		if !w.fold.Ready() {
			continue
		}
		for _, r := range l {
			w.observe(r)
		}
	}
	w.end = w.fold.Next() >= uint64(g.Next)
	return nil
}

func (w *Wallet) observe(r entitlement.Ruling) {
	if p, ok := w.wallets[r.Account.Organisation]; ok {
		p.Observe(w.now(), r)
	}
	if r.Grant.Holder == w.holder {
		w.options.Recorder.Event("grant-ruled", "organisation", r.Account.Organisation, "unit", string(r.Account.Unit),
			"kind", string(r.Grant.Kind), "asked", strconv.FormatInt(r.Grant.Amount, 10), "given", strconv.FormatInt(r.Given, 10))
	}
}

// decodeGrants returns no grants for a record that can't be read; every reader drops the same record.
func decodeGrants(data []byte) record.GrantBatch {
	var b record.GrantBatch
	if json.Unmarshal(data, &b) != nil {
		return record.GrantBatch{}
	}
	return b
}

func (w *Wallet) tickLoop() {
	t := time.NewTicker(w.settings.Tick)
	defer t.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-t.C:
		case <-w.kick:
		}
		if b := w.due(); b != nil {
			w.append(*b)
		}
	}
}

// due returns the grants, or the snapshot, to append now.
func (w *Wallet) due() *record.GrantBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.readAt.IsZero() {
		return nil
	}
	now := w.now()
	var b record.GrantBatch
	if !w.closing { // a refill would take again what Return gives back
		for _, p := range w.wallets {
			b.Grants = append(b.Grants, p.Tick(now)...)
		}
	}
	if len(b.Grants) > 0 {
		return &b
	}
	if !w.snapshotDue(now) {
		return nil
	}
	s, err := w.fold.Snapshot(now)
	if err != nil {
		w.options.Logger.Warn("ledger: no snapshot of grants", zap.Error(err))
		return nil
	}
	w.snapshot = w.options.Now()
	return &record.GrantBatch{Snapshot: &s}
}

// snapshotDue differs between instances so that mostly one of them writes the snapshot.
func (w *Wallet) snapshotDue(now time.Time) bool {
	if !w.end || w.options.Now().Sub(w.snapshot) < 5*time.Second {
		return false
	}
	if !w.fold.Ready() {
		return true // nobody knows the past: see entitlement.Fold.Snapshot
	}
	n := xxhash.Sum64String(w.options.Instance) % 16
	return w.fold.SnapshotDue(now, w.settings.SnapshotSize+25*n, w.settings.SnapshotAge+time.Duration(n)*15*time.Second)
}

func (w *Wallet) append(b record.GrantBatch) {
	if len(b.Grants) == 0 && b.Snapshot == nil {
		return
	}
	data, err := json.Marshal(b)
	if err == nil {
		ctx, cancel := context.WithTimeout(w.ctx, appendTimeout)
		defer cancel()
		w.options.Scope.Counter("grant-appends").Inc(1)
		_, err = w.options.Log.Append(ctx, grantStream, data)
	}
	if err != nil {
		w.options.Scope.Counter("append-errors").Inc(1)
		w.options.Logger.Debug("ledger: append of grants failed", zap.Error(err))
	}
}
