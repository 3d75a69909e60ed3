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
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/gateway"
	"github.com/cassiaspoke/cassiaspoke/internal/ledger"
	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/servicecall"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// LedgerSettings configures claims, bills and grants.
type LedgerSettings struct {
	Claims       ledger.ClaimSettings
	Bills        ledger.BillSettings
	Wallets      ledger.WalletSettings
	FlushTimeout time.Duration // timeout of appends to the log at a planned stop, after which bills are handed to a peer
}

// ledgerAdapter adapts the ledger to the gateway, to orders and to the operators' API.
type ledgerAdapter struct {
	log              platform.Log
	logger           *zap.Logger
	flushTimeout     time.Duration
	claimer          *ledger.Claimer
	biller           *ledger.Biller
	wallet           *ledger.Wallet
	maxBufferedBills int
}

func newLedgerAdapter(ctx context.Context, o Options, batched platform.Log, w *peer.WitnessClient) *ledgerAdapter {
	opts := ledger.Options{
		Log: batched, Instance: o.ID, Logger: o.Logger, Scope: o.Scope, Recorder: ledgerRecorder{o.EventWriter},
	}
	biller := ledger.NewBiller(ctx, opts, witnessAdapter{w}, o.Ledger.Bills)
	walletOptions := opts
	walletOptions.OnReturn = biller.LogReturned
	return &ledgerAdapter{
		log:    o.Log,
		logger: o.Logger, flushTimeout: o.Ledger.FlushTimeout,
		claimer:          ledger.NewClaimer(ctx, opts, o.Ledger.Claims),
		biller:           biller,
		wallet:           ledger.NewWallet(ctx, walletOptions, o.Ledger.Wallets),
		maxBufferedBills: o.Ledger.Bills.MaxHeldBills,
	}
}

// flushRecords appends buffered bills, outcomes and unused grants to the log. If the log is unavailable, it hands the bills
// to a peer. Outcomes that are lost then stay unknown and unused grants stay spent, which is safe.
func (l *ledgerAdapter) flushRecords(ctx context.Context) error {
	flushCtx, cancel := context.WithTimeout(ctx, l.flushTimeout)
	defer cancel()
	err := l.biller.FlushBills(flushCtx)
	unflushed := errors.Join(l.claimer.FlushRecords(flushCtx), l.wallet.ReturnGrants(flushCtx))
	if err != nil {
		err = l.biller.HandOverBills(ctx)
	}
	if err == nil && unflushed != nil {
		l.logger.Warn("ledger: The log is unavailable; outcomes may stay unknown and unused grants stay spent.", zap.Error(unflushed))
	}
	return err
}

// waitForShutdown waits until the goroutines of the ledger have ended.
func (l *ledgerAdapter) waitForShutdown() {
	l.claimer.Wait()
	l.biller.Wait()
	l.wallet.Wait()
}

// ReserveBuffer reserves buffer space for the bill of a request. The caller calls the returned function when the
// request ends.
func (l *ledgerAdapter) ReserveBuffer() (func(), error) {
	slot, err := l.biller.ReserveBuffer()
	if err != nil {
		return nil, fmt.Errorf("admit: %w", err)
	}
	return slot.Close, nil
}

// Bill records a bill and returns when the last byte of the answer may be released.
func (l *ledgerAdapter) Bill(ctx context.Context, b record.Bill) error {
	if err := l.biller.RecordBill(ctx, b); err != nil {
		return fmt.Errorf("bill: %w", err)
	}
	return nil
}

// reservation adapts a ledger reservation to the gateway.
type reservation struct{ r *ledger.Reservation }

// Settle returns the part of the reservation that the request did not use.
func (r reservation) Settle(used gateway.Amounts) { r.r.Settle(entitlement.Amounts(used)) }

// Reserve reserves the maximum amounts that a request can use.
func (l *ledgerAdapter) Reserve(ctx context.Context, o config.Organisation, maximum gateway.Amounts) (gateway.Reservation, error) {
	r, err := l.wallet.Reserve(ctx, o.Organisation, o.Revision, entitlement.Amounts(maximum))
	if err == nil {
		return reservation{r}, nil
	}
	code := client.CodeEntitlementExhausted
	var e *ledger.Error
	if errors.As(err, &e) && e.Kind != ledger.ErrEntitlementExhausted {
		code = client.CodeLogUnavailable
	}
	return nil, &gateway.Error{Op: "reserve", Kind: code, NotRun: true, Err: err}
}

// orderErrorKinds maps the error kinds of the ledger to those of orders.
var orderErrorKinds = map[ledger.ErrorKind]servicecall.ErrorKind{
	ledger.ErrInProgress:       servicecall.ErrInProgress,
	ledger.ErrOutcomeUnknown:   servicecall.ErrOutcomeUnknown,
	ledger.ErrOutcomeExpired:   servicecall.ErrOutcomeExpired,
	ledger.ErrInvalidKey:       servicecall.ErrBadKey,
	ledger.ErrDeadlineExceeded: servicecall.ErrDeadlineExceeded,
}

// Claim acquires the idempotency key of an order. It returns a ticket that permits running the order once, or the reply of
// an earlier attempt.
func (l *ledgerAdapter) Claim(ctx context.Context, c servicecall.Call) (servicecall.Ticket, *servicecall.Reply, error) {
	t, err := l.claimer.ClaimKey(ctx, ledger.ClaimRequest{Organisation: c.Organisation, IdempotencyKey: c.IdempotencyKey, Deadline: c.Deadline, AllowResend: c.HonoursKeys})
	if err != nil {
		return nil, nil, toOrderError(err)
	}
	o := t.Outcome()
	if o == nil {
		return ticket{t}, nil, nil
	}
	if o.Unknown || !o.Kept {
		return nil, nil, &servicecall.Error{Op: "claim", Kind: servicecall.ErrOutcomeUnknown, Err: errors.New("the order may have run; its reply is not kept")}
	}
	return nil, &servicecall.Reply{Status: o.Status, ContentType: o.Type, Body: o.Body}, nil
}

// toOrderError converts an error of the ledger to an error of an order.
func toOrderError(err error) error {
	var e *ledger.Error
	if !errors.As(err, &e) {
		return &servicecall.Error{Op: "claim", Kind: servicecall.ErrOutcomeUnknown, Err: err}
	}
	k, ok := orderErrorKinds[e.Kind]
	if !ok {
		k = servicecall.ErrLogUnavailable
	}
	return &servicecall.Error{Op: "claim", Kind: k, NotRun: e.NotRun(), Err: err}
}

// ticket adapts a ledger ticket to orders.
type ticket struct{ t *ledger.Ticket }

// BeginSend records that the order is about to be sent. The order may be sent only if BeginSend succeeds.
func (t ticket) BeginSend() error {
	if err := t.t.BeginSend(); err != nil {
		return toOrderError(err)
	}
	return nil
}

// RecordOutcome records the outcome of a sent order.
func (t ticket) RecordOutcome(r servicecall.Reply) {
	digest := sha256.Sum256(r.Body)
	o := record.Outcome{Status: r.Status, Type: r.ContentType, Digest: hex.EncodeToString(digest[:])}
	if len(r.Body) <= claim.MaxBodyBytes {
		o.Body, o.Kept = r.Body, true
	}
	t.t.RecordOutcome(o)
}

// RecordUnknown records that the outcome of a sent order is unknown.
func (t ticket) RecordUnknown() { t.t.RecordUnknown() }

// VoidClaim releases the key without sending the order. It reports whether no attempt with this key can have run.
func (t ticket) VoidClaim() bool { return t.t.VoidClaim() }

// exportPageSize is the number of bills after which a page of an export ends. A bill takes about 300 bytes of JSON.
const exportPageSize = 10_000

// exportBills returns a page of the bills in the log, starting at an offset.
func (l *ledgerAdapter) exportBills(ctx context.Context, from uint64) (client.BillsReply, error) {
	out := client.BillsReply{Bills: []record.Bill{}}
	page, err := ledger.ExportBillsPage(ctx, l.log, platform.Offset(from), exportPageSize, func(e ledger.ExportedBill) error {
		out.Bills = append(out.Bills, e.Bill)
		return nil
	})
	if err != nil {
		return out, fmt.Errorf("export: %w", err)
	}
	out.Next, out.End = uint64(page.Next), uint64(page.End)
	return out, nil
}

// witnessAdapter adapts the witness of the peer service to the biller.
type witnessAdapter struct{ w *peer.WitnessClient }

// HoldBill sends a copy of a bill to an instance in another availability zone.
func (w witnessAdapter) HoldBill(ctx context.Context, b record.Bill) error {
	return w.w.HoldBill(ctx, b)
}

// ReleaseBills tells the witness which bills are in the log.
func (w witnessAdapter) ReleaseBills(_ context.Context, l []record.BillID) error {
	ids := make([]peer.BillID, 0, len(l))
	for _, b := range l {
		ids = append(ids, peer.BillID{Organisation: b.Organisation, Key: b.Key})
	}
	w.w.ReleaseBills(ids)
	return nil
}

// witnessStore stores copies of other instances' bills.
type witnessStore struct{ instance *Instance }

// HoldBills stores copies of bills until the bills are in the log.
func (s witnessStore) HoldBills(ctx context.Context, holder string, l []record.Bill) error {
	for _, b := range l {
		if err := s.instance.ledger.biller.HoldBill(ctx, b); err != nil {
			return fmt.Errorf("hold: %w", err)
		}
		s.instance.options.EventWriter.Write(timeline.Event{
			Component: "ledger", Name: "bill-held", Request: b.Key, Organisation: b.Organisation, Version: b.Version,
			Fields: map[string]string{"holder": holder},
		})
	}
	return nil
}

// ReleaseBills deletes the copies of bills that are in the log.
func (s witnessStore) ReleaseBills(_ string, l []peer.BillID) {
	ids := make([]record.BillID, 0, len(l))
	for _, b := range l {
		ids = append(ids, record.BillID{Organisation: b.Organisation, Key: b.Key})
	}
	_ = s.instance.ledger.biller.ReleaseBills(s.instance.ctx, ids)
}

// ledgerRecorder writes the events of the ledger to the timeline.
type ledgerRecorder struct{ w *timeline.Writer }

// Event writes an event. The fields alternate between names and values.
func (r ledgerRecorder) Event(name string, fields ...string) {
	e := timeline.Event{Component: "ledger", Name: name, Fields: map[string]string{}}
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
