package instance

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/ledger"
	"github.com/cassiaspoke/cassiaspoke/internal/order"
	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Ledger holds the settings of claims, bills and grants.
type Ledger struct {
	Claims  ledger.ClaimSettings
	Bills   ledger.BillSettings
	Wallets ledger.WalletSettings
	Stop    time.Duration // for the log at a planned stop, before bills go to a peer
}

// ledgers adapts the ledger to the gateway, to orders and to the operators' API.
type ledgers struct {
	log    platform.Log
	logger *zap.Logger
	stop   time.Duration
	claims *ledger.Claimer
	bills  *ledger.Biller
	wallet *ledger.Wallet
	bound  int
}

func newLedgers(ctx context.Context, o Options, shared platform.Log, w *peer.Witness) *ledgers {
	x := ledger.Options{
		Log: shared, Instance: o.ID, Logger: o.Logger, Scope: o.Scope, Recorder: recorder{o.Events},
	}
	return &ledgers{
		log:    o.Log,
		logger: o.Logger, stop: o.Ledger.Stop,
		claims: ledger.NewClaimer(ctx, x, o.Ledger.Claims),
		bills:  ledger.NewBiller(ctx, x, witness{w}, o.Ledger.Bills),
		wallet: ledger.NewWallet(ctx, x, o.Ledger.Wallets),
		bound:  o.Ledger.Bills.Bound,
	}
}

// flush brings bills, outcomes and unused grants into the log. In a log outage bills go to a peer; outcomes that are
// lost stay unknown and grants stay spent, which is safe.
func (l *ledgers) flush(ctx context.Context) error {
	x, cancel := context.WithTimeout(ctx, l.stop)
	defer cancel()
	err := l.bills.Flush(x)
	lost := errors.Join(l.claims.Flush(x), l.wallet.Return(x))
	if err != nil {
		err = l.bills.HandOver(ctx)
	}
	if err == nil && lost != nil {
		l.logger.Warn("ledger: The log is away; outcomes may stay unknown and grants spent.", zap.Error(lost))
	}
	return err
}

func (l *ledgers) wait() {
	l.claims.Wait()
	l.bills.Wait()
	l.wallet.Wait()
}

// Admit keeps room for the bill of a request.
func (l *ledgers) Admit() (func(), error) {
	a, err := l.bills.Admit()
	if err != nil {
		return nil, fmt.Errorf("admit: %w", err)
	}
	return a.Close, nil
}

// Bill returns when the last byte of the answer may be released.
func (l *ledgers) Bill(ctx context.Context, b record.Bill) error {
	if err := l.bills.Bill(ctx, b); err != nil {
		return fmt.Errorf("bill: %w", err)
	}
	return nil
}

type reservation struct{ r *ledger.Reservation }

// Settle gives back what the request did not use.
func (r reservation) Settle(used gateway.Amounts) { r.r.Settle(entitlement.Amounts(used)) }

// Reserve sets the worst case of a request aside.
func (l *ledgers) Reserve(ctx context.Context, o profile.Organisation, worst gateway.Amounts) (gateway.Reservation, error) {
	r, err := l.wallet.Reserve(ctx, o.Organisation, o.Revision, entitlement.Amounts(worst))
	if err == nil {
		return reservation{r}, nil
	}
	k := client.CodeEntitlementExhausted
	var e *ledger.Error
	if errors.As(err, &e) && e.Kind != ledger.ErrExhausted {
		k = client.CodeLogUnavailable
	}
	return nil, &gateway.Error{Op: "reserve", Kind: k, NotRun: true, Err: err}
}

// orderKinds maps the ledger's refusals to those of orders.
var orderKinds = map[ledger.ErrorKind]order.ErrorKind{
	ledger.ErrInProgress:     order.ErrInProgress,
	ledger.ErrOutcomeUnknown: order.ErrUnknown,
	ledger.ErrOutcomeExpired: order.ErrExpired,
	ledger.ErrBadKey:         order.ErrBadKey,
	ledger.ErrDeadline:       order.ErrDeadline,
}

// Claim returns the right to run an order once, or the reply of an earlier attempt.
func (l *ledgers) Claim(ctx context.Context, c order.Call) (order.Ticket, *order.Reply, error) {
	t, err := l.claims.Claim(ctx, ledger.Key{Organisation: c.Organisation, Key: c.Key, Deadline: c.Deadline, Resend: c.HonoursKeys})
	if err != nil {
		return nil, nil, claimError(err)
	}
	o := t.Outcome()
	if o == nil {
		return ticket{t}, nil, nil
	}
	if o.Unknown || !o.Kept {
		return nil, nil, &order.Error{Op: "claim", Kind: order.ErrUnknown, Err: errors.New("the order may have run; its reply is not kept")}
	}
	return nil, &order.Reply{Status: o.Status, ContentType: o.Type, Body: o.Body}, nil
}

func claimError(err error) error {
	var e *ledger.Error
	if !errors.As(err, &e) {
		return &order.Error{Op: "claim", Kind: order.ErrUnknown, Err: err}
	}
	k, ok := orderKinds[e.Kind]
	if !ok {
		k = order.ErrLog
	}
	return &order.Error{Op: "claim", Kind: k, NotRun: e.NotRun(), Err: err}
}

type ticket struct{ t *ledger.Ticket }

// Send must succeed right before the order is sent.
func (t ticket) Send() error {
	if err := t.t.Send(); err != nil {
		return claimError(err)
	}
	return nil
}

// Finish records the outcome of a sent order.
func (t ticket) Finish(r order.Reply) {
	h := sha256.Sum256(r.Body)
	o := record.Outcome{Status: r.Status, Type: r.ContentType, Digest: hex.EncodeToString(h[:])}
	if len(r.Body) <= claim.MaxBody {
		o.Body, o.Kept = r.Body, true
	}
	t.t.Finish(o)
}

// Lose records that the outcome of a sent order is unknown.
func (t ticket) Lose() { t.t.Lose() }

// Void gives the key back and reports whether no attempt under it can have run.
func (t ticket) Void() bool { return t.t.Void() }

// exportLimit is the number of bills after which a part of an export ends; a bill takes about 300 bytes of JSON.
const exportLimit = 10_000

// export returns a part of the bills.
func (l *ledgers) export(ctx context.Context, from uint64) (client.BillsReply, error) {
	out := client.BillsReply{Bills: []record.Bill{}}
	s, err := ledger.ExportPage(ctx, l.log, platform.Offset(from), exportLimit, func(e ledger.Exported) error {
		out.Bills = append(out.Bills, e.Bill)
		return nil
	})
	if err != nil {
		return out, fmt.Errorf("export: %w", err)
	}
	out.Next, out.End = uint64(s.Next), uint64(s.End)
	return out, nil
}

// witness adapts the peers' witness to the biller.
type witness struct{ w *peer.Witness }

// Hold copies a bill to an instance in another availability zone.
func (w witness) Hold(ctx context.Context, b record.Bill) error { return w.w.Hold(ctx, b) }

// Release tells the witness which bills are in the log.
func (w witness) Release(_ context.Context, l []record.BillID) error {
	ids := make([]peer.BillID, 0, len(l))
	for _, b := range l {
		ids = append(ids, peer.BillID{Organisation: b.Organisation, Key: b.Key})
	}
	w.w.Release(ids)
	return nil
}

// billHolder keeps copies of other instances' bills.
type billHolder struct{ i *Instance }

// HoldBills keeps copies until their bills are in the log.
func (h billHolder) HoldBills(ctx context.Context, holder string, l []record.Bill) error {
	for _, b := range l {
		if err := h.i.ledger.bills.Hold(ctx, b); err != nil {
			return fmt.Errorf("hold: %w", err)
		}
		h.i.o.Events.Write(timeline.Event{
			Part: "ledger", Name: "bill-held", Request: b.Key, Organisation: b.Organisation, Version: b.Version,
			Fields: map[string]string{"holder": holder},
		})
	}
	return nil
}

// ReleaseBills drops copies whose bills are in the log.
func (h billHolder) ReleaseBills(_ string, l []peer.BillID) {
	ids := make([]record.BillID, 0, len(l))
	for _, b := range l {
		ids = append(ids, record.BillID{Organisation: b.Organisation, Key: b.Key})
	}
	_ = h.i.ledger.bills.Release(h.i.ctx, ids)
}

// recorder writes the ledger's events to the time line.
type recorder struct{ w *timeline.Writer }

// Event writes an event; fields are names and values in turn.
func (r recorder) Event(name string, fields ...string) {
	e := timeline.Event{Part: "ledger", Name: name, Fields: map[string]string{}}
	for i := 0; i+1 < len(fields); i += 2 {
		switch fields[i] {
		case "organisation":
			e.Organisation = fields[i+1]
		case "key":
			e.Request = fields[i+1]
		default:
			e.Fields[fields[i]] = fields[i+1]
		}
	}
	r.w.Write(e)
}
