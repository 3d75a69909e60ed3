package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// returnedLog returns a log with the changes kept and lost, which a follower has read, that has lost the latter by a return from an older
// copy. The follower reports each catalog that it installs.
func returnedLog(t *testing.T, kept, lost []string) (l *standin.Log, f *Follower, installed func() []*config.Catalog) {
	t.Helper()
	var elapsed atomic.Int64
	l = standin.NewLog(func() time.Time { return time.Now().Add(time.Duration(elapsed.Load())) })
	var seen atomic.Pointer[[]*config.Catalog]
	seen.Store(&[]*config.Catalog{})
	f = NewFollower(testSettings(), l, zap.NewNop(), func(c *config.Catalog) {
		all := append(slices.Clone(*seen.Load()), c)
		seen.Store(&all)
	}, nil)
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
	publish := func(names []string) {
		for _, n := range names {
			if _, err := f.Publish(t.Context(), organisationChange(n, f.Catalog().Organisations[n].Revision, "ann")); err != nil {
				t.Fatal(err)
			}
		}
	}
	publish(kept)
	elapsed.Add(int64(time.Minute))
	publish(lost)
	l.SetFaults(standin.Faults{CopyAge: 30 * time.Second})
	l.SetFaults(standin.Faults{})
	return l, f, func() []*config.Catalog { return *seen.Load() }
}

// Guards against a configuration in force that goes back because the log has returned from an older copy.
func TestReturnKeepsConfigurationInForce(t *testing.T) {
	l, f, installed := returnedLog(t, []string{"a"}, []string{"b", "c"})
	check := func(when string) {
		t.Helper()
		time.Sleep(100 * time.Millisecond)
		seen := 0
		for _, c := range append(installed(), f.Catalog()) {
			if n := len(c.Organisations); n < seen {
				t.Errorf("%s: %d organisations after %d", when, n, seen)
			}
			seen = max(seen, len(c.Organisations))
		}
		if n := len(f.Catalog().Organisations); n < 3 {
			t.Errorf("%s: %d organisations are in force, want a, b and c", when, n)
		}
	}
	check("after the return")
	// The stream grows past the position of the follower.
	for range 4 {
		if _, err := l.Append(t.Context(), ConfigStream, []byte("{}")); err != nil {
			t.Fatal(err)
		}
	}
	check("after the stream has grown")
}

// namesInForce returns the organisations in force, each with its operator and the number of its changes.
func namesInForce(f *Follower) []string {
	var l []string
	c := f.Catalog()
	for n := range c.Organisations {
		h := c.History[config.ObjectKey(record.OrganisationPublish, n)]
		l = append(l, fmt.Sprint(n, h[len(h)-1].Operator, len(h)))
	}
	slices.Sort(l)
	return l
}

// Guards against changes that instances don't agree on after the log has returned from an older copy: those whose records were lost, and
// those that got the offsets of lost records.
func TestReturnLosesNoChange(t *testing.T) {
	for name, tc := range map[string]struct {
		kept, lost []string
		want       []string
	}{
		"other objects":     {[]string{"a"}, []string{"b", "c"}, []string{"aann1", "bann1", "cann1", "dbob1"}},
		"an object of both": {[]string{"a"}, []string{"a", "b", "a"}, []string{"aann3", "bann1", "dbob1"}},
		"all":               {nil, []string{"a", "a", "a"}, []string{"aann3", "dbob1"}},
	} {
		t.Run(name, func(t *testing.T) {
			l, f, _ := returnedLog(t, tc.kept, tc.lost)
			late := startFollower(t, testSettings(), l)
			if _, err := late.Publish(t.Context(), organisationChange("d", 0, "bob")); err != nil {
				t.Fatal(err)
			}
			for deadline := time.Now().Add(10 * time.Second); !slices.Equal(namesInForce(f), tc.want) || !slices.Equal(namesInForce(late), tc.want); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("in force are %v and %v, want %v at both", namesInForce(f), namesInForce(late), tc.want)
				}
			}
			revision := late.Catalog().Organisations["d"].Revision
			r, err := f.Publish(t.Context(), organisationChange("d", revision, "ann"))
			if err != nil || r <= revision {
				t.Errorf("a change of the new era got revision %d after %d, %v", r, revision, err)
			}
		})
	}
}

// steppedFollower returns a follower that reads only when the test calls poll.
func steppedFollower(l *standin.Log) *Follower {
	return NewFollower(testSettings(), l, zap.NewNop(), nil, nil)
}

// Guards against a lost change that is appended again over one that an operator has made since the log returned from an older copy, at this
// return or a later one, and against revisions that don't rise.
func TestReturnKeepsNewerChange(t *testing.T) {
	var elapsed time.Duration
	l := standin.NewLog(func() time.Time { return time.Now().Add(elapsed) })
	appendChange := func(ch record.Change) {
		ch.ID = uuid.NewString()
		b, err := json.Marshal(ch)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Append(t.Context(), ConfigStream, b); err != nil {
			t.Fatal(err)
		}
	}
	f := steppedFollower(l)
	check := func(when, want string) {
		t.Helper()
		before := f.Catalog().Organisations["a"].Revision
		if err := f.poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		late := steppedFollower(l)
		if err := late.poll(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := fmt.Sprint(namesInForce(f), namesInForce(late)); got != fmt.Sprintf("[%s] [%s]", want, want) {
			t.Errorf("%s: in force are %s, want %s", when, got, want)
		}
		if r := f.Catalog().Organisations["a"].Revision; r <= before {
			t.Errorf("%s: revision %d after %d", when, r, before)
		}
	}
	appendChange(organisationChange("a", 0, "ann"))
	check("at the start", "aann1")
	elapsed += time.Minute
	appendChange(organisationChange("a", 1, "eve"))
	check("before the return", "aeve2")
	l.SetFaults(standin.Faults{CopyAge: 30 * time.Second})
	appendChange(organisationChange("a", 1, "bob"))
	check("after the return", "abob2")
	l.SetFaults(standin.Faults{CopyAge: 30 * time.Second})
	check("after a return that lost the newer change", "abob2")
}
