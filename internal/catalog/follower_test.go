package catalog

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func settings() Settings {
	return Settings{Wait: 5 * time.Millisecond, Timeout: 200 * time.Millisecond, Retry: time.Millisecond, SnapshotEvery: 1000, SnapshotAge: time.Hour}
}

func organisation(name string, base uint64, operator string) record.Change {
	return record.Change{
		Kind: record.OrganisationPublish, Name: name, Base: base, Operator: operator,
		Organisation: &record.Organisation{Name: name},
	}
}

// follow runs a follower until the test ends.
func follow(t *testing.T, s Settings, l platform.Log) *Follower {
	t.Helper()
	f := NewFollower(s, l, zap.NewNop(), nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

func await(t *testing.T, f *Follower, next uint64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); f.Catalog().Next < next; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the catalog stays at %d, want %d", f.Catalog().Next, next)
		}
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a change that is applied twice or reported as lost when the append's reply is lost.
func TestPublishSurvivesLostReply(t *testing.T) {
	l := standin.NewLog(time.Now)
	f := follow(t, settings(), l)
	l.Set(standin.Faults{LoseReplies: 1})
	r, err := f.Publish(t.Context(), organisation("o", 0, "ann"))
	if err != nil || r != 1 {
		t.Fatalf("got revision %d, %v", r, err)
	}
	if n := l.Appends(); n != 1 {
		t.Errorf("got %d appends, want 1", n)
	}
}

// Guards against two operators both believing that they won a race.
func TestPublishReportsWinner(t *testing.T) {
	l := standin.NewLog(time.Now)
	a, b := follow(t, settings(), l), follow(t, settings(), l)
	if _, err := a.Publish(t.Context(), organisation("o", 0, "ann")); err != nil {
		t.Fatal(err)
	}
	_, err := b.Publish(t.Context(), organisation("o", 0, "bob"))
	var e *Error
	if !errors.As(err, &e) || e.Kind != ErrConflict || e.Winner.Operator != "ann" || e.Winner.Revision != 1 {
		t.Fatalf("got %v", err)
	}
}

// Guards config-in-force against retention: a new instance must not start without the trimmed changes.
func TestStartAfterRetention(t *testing.T) {
	l := standin.NewLog(time.Now)
	s := settings()
	s.SnapshotEvery = 3
	f := follow(t, s, l)
	for i, n := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		if _, err := f.Publish(t.Context(), organisation(n, 0, "ann")); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
	}
	p, err := l.Read(t.Context(), Stream, 0, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	var covers uint64
	for _, x := range p.Entries {
		var ch record.Change
		if err := json.Unmarshal(x.Data, &ch); err != nil {
			t.Fatal(err)
		}
		if ch.Kind == record.SnapshotWritten {
			covers = ch.Covers
		}
	}
	if covers == 0 {
		t.Fatal("no snapshot was written")
	}
	l.Trim(Stream, platform.Offset(covers))
	n := follow(t, s, l)
	await(t, n, uint64(p.Next))
	if got := len(n.Catalog().Organisations); got != 7 {
		t.Errorf("got %d organisations, want 7", got)
	}
}

// Guards config-in-force in a log outage: nothing is accepted, and nothing that was accepted is lost.
func TestOutage(t *testing.T) {
	l := standin.NewLog(time.Now)
	f := follow(t, settings(), l)
	if _, err := f.Publish(t.Context(), organisation("a", 0, "ann")); err != nil {
		t.Fatal(err)
	}
	l.Set(standin.Faults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := f.Publish(ctx, organisation("b", 0, "ann"))
	var e *Error
	if !errors.As(err, &e) || e.Kind != ErrUnknown {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	l.Set(standin.Faults{})
	if _, err := f.Publish(t.Context(), organisation("b", 0, "ann")); err != nil {
		t.Fatal(err)
	}
	if got := len(f.Catalog().Organisations); got != 2 {
		t.Errorf("got %d organisations, want 2", got)
	}
}

// Guards config-in-force at a start: a page that was folded on the old catalog comes after a peer's newer snapshot.
func TestSeedNeverReverts(t *testing.T) {
	f := NewFollower(settings(), standin.NewLog(time.Now), zap.NewNop(), nil, nil)
	page, _ := f.Catalog().Apply(0, time.Now(), organisation("a", 0, "ann"))
	newer, _ := page.Apply(1, time.Now(), organisation("b", 0, "ann"))
	s, err := newer.Snapshot("s")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Seed(s); err != nil {
		t.Fatal(err)
	}
	f.put(page)
	if n := f.Catalog().Next; n != 2 {
		t.Errorf("the catalog went from 2 back to %d", n)
	}
}
