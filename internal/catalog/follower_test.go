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

// testSettings returns settings with short timeouts and without snapshots.
func testSettings() Settings {
	return Settings{
		ReadWait: 5 * time.Millisecond, CallTimeout: 200 * time.Millisecond, RetryDelay: time.Millisecond,
		SnapshotRecords: 1000, SnapshotAge: time.Hour,
	}
}

// organisationChange returns a change that publishes an organisation.
func organisationChange(name string, base uint64, operator string) record.Change {
	return record.Change{
		Kind: record.OrganisationPublish, Name: name, Base: base, Operator: operator,
		Organisation: &record.Organisation{Name: name},
	}
}

// startFollower returns a follower that runs until the test ends.
func startFollower(t *testing.T, s Settings, l platform.Log) *Follower {
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

// waitForOffset waits until the follower has applied all records below the offset next.
func waitForOffset(t *testing.T, f *Follower, next uint64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); f.Catalog().Next < next; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the catalog ends at offset %d, want %d", f.Catalog().Next, next)
		}
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a change that is applied twice or reported as failed because the reply to its append was lost.
func TestPublishSurvivesLostReply(t *testing.T) {
	l := standin.NewLog(time.Now)
	f := startFollower(t, testSettings(), l)
	l.SetFaults(standin.Faults{LoseReplies: 1})
	r, err := f.Publish(t.Context(), organisationChange("o", 0, "ann"))
	if err != nil || r != 1 {
		t.Fatalf("got revision %d, %v", r, err)
	}
	if n := l.AppendCount(); n != 1 {
		t.Errorf("got %d appends, want 1", n)
	}
}

// Guards against a success reported to both of two operators who change the same revision at once: one of them must get
// a conflict that names the other.
func TestPublishReportsWinner(t *testing.T) {
	l := standin.NewLog(time.Now)
	a, b := startFollower(t, testSettings(), l), startFollower(t, testSettings(), l)
	if _, err := a.Publish(t.Context(), organisationChange("o", 0, "ann")); err != nil {
		t.Fatal(err)
	}
	_, err := b.Publish(t.Context(), organisationChange("o", 0, "bob"))
	var e *Error
	if !errors.As(err, &e) || e.Kind != ErrConflict || e.Winner.Operator != "ann" || e.Winner.Revision != 1 {
		t.Fatalf("got %v", err)
	}
}

// Guards the property config-in-force against retention: a new instance must restore changes that the log has trimmed
// from a snapshot.
func TestStartAfterRetention(t *testing.T) {
	l := standin.NewLog(time.Now)
	s := testSettings()
	s.SnapshotRecords = 3
	f := startFollower(t, s, l)
	for i, n := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		if _, err := f.Publish(t.Context(), organisationChange(n, 0, "ann")); err != nil {
			t.Fatalf("change %d: %v", i, err)
		}
	}
	p, err := l.Read(t.Context(), ConfigStream, 0, 100, 0)
	if err != nil {
		t.Fatal(err)
	}
	var covered uint64
	for _, entry := range p.Entries {
		var ch record.Change
		if err := json.Unmarshal(entry.Data, &ch); err != nil {
			t.Fatal(err)
		}
		if ch.Kind == record.SnapshotWritten {
			covered = ch.Covers
		}
	}
	if covered == 0 {
		t.Fatal("no snapshot was written")
	}
	l.Trim(ConfigStream, platform.Offset(covered))
	late := startFollower(t, s, l)
	waitForOffset(t, late, uint64(p.End))
	if got := len(late.Catalog().Organisations); got != 7 {
		t.Errorf("got %d organisations, want 7", got)
	}
}

// Guards the property config-in-force in an outage of the log: no change may be accepted meanwhile, and no accepted
// change may be lost.
func TestOutage(t *testing.T) {
	l := standin.NewLog(time.Now)
	f := startFollower(t, testSettings(), l)
	if _, err := f.Publish(t.Context(), organisationChange("a", 0, "ann")); err != nil {
		t.Fatal(err)
	}
	l.SetFaults(standin.Faults{Down: true})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := f.Publish(ctx, organisationChange("b", 0, "ann"))
	var e *Error
	if !errors.As(err, &e) || e.Kind != ErrOutcomeUnknown {
		t.Fatalf("got %v, want an unknown outcome", err)
	}
	l.SetFaults(standin.Faults{})
	if _, err := f.Publish(t.Context(), organisationChange("b", 0, "ann")); err != nil {
		t.Fatal(err)
	}
	if got := len(f.Catalog().Organisations); got != 2 {
		t.Errorf("got %d organisations, want 2", got)
	}
}

// Guards the property config-in-force while an instance starts: a catalog computed from an older one must not replace a
// peer's newer snapshot.
func TestSeedNeverReverts(t *testing.T) {
	f := NewFollower(testSettings(), standin.NewLog(time.Now), zap.NewNop(), nil, nil)
	older, _ := f.Catalog().Apply(0, time.Now(), organisationChange("a", 0, "ann"))
	newer, _ := older.Apply(1, time.Now(), organisationChange("b", 0, "ann"))
	snapshot, err := newer.Snapshot("s")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.RestoreSnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	f.install(older)
	if n := f.Catalog().Next; n != 2 {
		t.Errorf("the catalog went back from offset 2 to %d", n)
	}
}
