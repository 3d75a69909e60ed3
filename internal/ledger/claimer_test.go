package ledger

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"go.uber.org/goleak"

	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runInVirtualTime runs a test in virtual time; the test fails if a goroutine outlives the context.
func runInVirtualTime(t *testing.T, f func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() }))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		log := standin.NewLog(time.Now)
		var parts []interface{ Wait() }
		f(ctx, Options{Log: log, Instance: "i1"}, log, func(p interface{ Wait() }) { parts = append(parts, p) })
		cancel()
		for _, p := range parts {
			p.Wait()
		}
	})
}

// newKey returns a UUIDv7 that is issued at the current virtual time.
func newKey(t testing.TB) string {
	t.Helper()
	u, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	b := u
	ms := time.Now().UnixMilli() // the library may not use the virtual clock of the test
	for i := range 6 {
		b[i] = byte(ms >> (40 - 8*i))
	}
	return b.String()
}

// errorKind returns the kind of an *Error, or "" for nil and other errors.
func errorKind(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Guards against a second instance that runs the same key, and against a duplicate that does not get the first outcome.
func TestClaimerDuplicate(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, _ *standin.Log, wait func(interface{ Wait() })) {
		a := NewClaimer(ctx, o, ClaimSettings{})
		b := NewClaimer(ctx, o, ClaimSettings{})
		wait(a)
		wait(b)
		k := ClaimRequest{Organisation: "lys", IdempotencyKey: newKey(t), Deadline: time.Now().Add(time.Minute)}
		first, err := a.ClaimKey(ctx, k)
		if err != nil {
			t.Fatal(err)
		}
		if err := first.BeginSend(); err != nil {
			t.Fatal(err)
		}
		if err := first.BeginSend(); errorKind(err) != ErrWrongState {
			t.Errorf("second send: %v", err)
		}
		if _, err := b.ClaimKey(ctx, k); errorKind(err) != ErrInProgress {
			t.Errorf("duplicate: %v", err)
		}
		first.RecordOutcome(record.Outcome{Status: 201, Body: []byte("ok"), Kept: true})
		if err := a.FlushRecords(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		second, err := b.ClaimKey(ctx, k)
		if err != nil || second.Outcome() == nil || second.Outcome().Status != 201 {
			t.Fatalf("second ticket %+v, %v", second, err)
		}
		if second.BeginSend() == nil {
			t.Error("a ticket with an outcome may not send")
		}
	})
}

// Guards against a request that runs after it was reported as not run, and against a key that stays blocked after a void.
func TestClaimerOutage(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, log *standin.Log, wait func(interface{ Wait() })) {
		a := NewClaimer(ctx, o, ClaimSettings{})
		wait(a)
		k := ClaimRequest{Organisation: "lys", IdempotencyKey: newKey(t), Deadline: time.Now().Add(time.Minute)}
		log.SetFaults(standin.Faults{Down: true})
		_, err := a.ClaimKey(ctx, k)
		var e *Error
		if !errors.As(err, &e) || e.Kind != ErrLogUnavailable || !e.NotRun() {
			t.Fatalf("claim in an outage: %v", err)
		}
		log.SetFaults(standin.Faults{LoseReplies: 3})
		if err := a.FlushRecords(ctx); err != nil {
			t.Fatal(err)
		}
		again, err := a.ClaimKey(ctx, k)
		if err != nil || again.BeginSend() != nil {
			t.Fatalf("claim after the outage: %v", err)
		}
	})
}

// Guards against running a key after its window, at an instance that starts to read after the window.
func TestClaimerExpired(t *testing.T) {
	runInVirtualTime(t, func(ctx context.Context, o Options, _ *standin.Log, wait func(interface{ Wait() })) {
		k := ClaimRequest{Organisation: "lys", IdempotencyKey: newKey(t)}
		time.Sleep(16 * time.Minute)
		k.Deadline = time.Now().Add(time.Minute)
		a := NewClaimer(ctx, o, ClaimSettings{})
		wait(a)
		if _, err := a.ClaimKey(ctx, k); errorKind(err) != ErrOutcomeExpired {
			t.Errorf("claim of an old key: %v", err)
		}
	})
}
