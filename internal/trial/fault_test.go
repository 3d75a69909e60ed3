package trial

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// patience bounds the wait for something that must happen; no verdict depends on how long it took.
const patience = 20 * time.Second

func newTestWorld(t *testing.T, s Settings) *World {
	t.Helper()
	if s.Zones == nil {
		s.Zones = []string{"a", "b", "c"}
	}
	if s.Versions == nil {
		s.Versions = []string{"small@1", "large@1", unlisted}
	}
	s.Services = []string{"booking", "print"}
	adjust := s.Adjust
	s.Adjust = func(o *instance.Options) {
		quick(o)
		if adjust != nil {
			adjust(o)
		}
	}
	w, err := NewWorld(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := w.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := Publish(t.Context(), w); err != nil {
		t.Fatal(err)
	}
	return w
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !f(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// billed returns the bills by key.
func (w *World) billed(t *testing.T, id string) map[string]int {
	t.Helper()
	r, err := w.Operator(id).Bills(context.Background(), 0)
	if err != nil {
		return nil
	}
	m := map[string]int{}
	for _, b := range r.Bills {
		m[b.Key]++
	}
	return m
}

func report(n int) chat {
	return chat{org: "lysror-1", profile: "lysror-reports", prompt: fmt.Sprintf("Dossier %d tokens=60 consignment", n), stream: true}
}

// Guards whole-answer and billed-once: endpoints fail in each way while they stream, and the answer goes on
// elsewhere without a gap, a duplicate or a second bill.
func TestEndpointFailsMidway(t *testing.T) {
	for name, f := range map[string]standin.EngineFaults{
		"dies":          {CrashAfterTokens: 20},
		"goes silent":   {StallAfterTokens: 20},
		"is cut off":    {TruncateAfterTokens: 20},
		"wrong version": {ClaimedVersion: "small@9"},
		"errors":        {ErrorShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestWorld(t, Settings{Engines: 1})
			w.Engines["engine-a-0"].SetFaults(f)
			var g sync.WaitGroup
			out := make(chan answered, 12)
			for n := range cap(out) {
				g.Go(func() { out <- w.ask(t.Context(), w.bases()[n%3], report(n)) })
			}
			g.Wait()
			keys := map[string]int{}
			for range cap(out) {
				a := <-out
				if !a.whole {
					t.Errorf("not whole: %v %+v", a.err, a.refused)
				}
				keys[a.key] = 1
			}
			eventually(t, "one bill for each answer", func() bool { return len(w.billed(t, "instance-b")) == len(keys) })
			for k, n := range w.billed(t, "instance-b") {
				if n != keys[k] {
					t.Errorf("%d bills of %s", n, k)
				}
			}
		})
	}
}

// Guards billed-once: an instance is lost right after its answers, before its bills are in the log.
func TestCrashLosesNoBill(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1, Adjust: func(o *instance.Options) { o.Ledger.Bills.AppendInterval = time.Hour }})
	want := map[string]bool{}
	for n := range 8 {
		a := w.ask(t.Context(), w.Members["instance-a"].Callers, report(n))
		if !a.whole {
			t.Fatalf("not whole: %v %+v", a.err, a.refused)
		}
		want[a.key] = true
	}
	w.Crash("instance-a")
	for _, id := range []string{"instance-b", "instance-c"} {
		if err := w.Stop(id); err != nil { // a planned stop brings the copies into the log
			t.Fatal(err)
		}
	}
	if _, err := w.AddMember(t.Context(), "instance-d", "a"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "one bill for each answer", func() bool { return len(w.billed(t, "instance-d")) == len(want) })
}

// Guards against a request that crashes each endpoint that runs it: at most two endpoints are lost, under any key
// and from any instance, and the other requests get whole answers.
func TestPoisonRequest(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 3})
	for _, e := range w.Engines {
		e.SetFaults(standin.EngineFaults{CrashText: "poison"})
	}
	load, stop := context.WithCancel(t.Context())
	b := newBook()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.load(load, b, 6, 1)
	}()
	bad := chat{org: "lysror-1", profile: "lysror-reports", prompt: "poison tokens=60 "}
	for range 12 {
		if a := w.ask(t.Context(), w.bases()[0], bad); a.whole {
			t.Error("the poison request was answered")
		}
	}
	stop()
	<-done
	dead := 0
	for _, e := range w.Engines {
		if e.Stopped() {
			dead++
		}
	}
	if dead > 2 {
		t.Errorf("%d endpoints were lost, want at most 2", dead)
	}
	for _, a := range b.answers {
		if !a.whole {
			t.Errorf("a neighbour got no whole answer: %v %+v", a.err, a.refused)
		}
	}
}

// Guards graceful-stop and config-in-force: every instance is replaced in turn under traffic.
func TestReplaceEveryInstance(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 2})
	load, stop := context.WithCancel(t.Context())
	b := newBook()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.load(load, b, 8, 1)
	}()
	for _, z := range w.s.Zones {
		m, err := w.AddMember(t.Context(), "replacement-"+z, z)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.await(t.Context(), m.Callers+"/readyz"); err != nil {
			t.Fatal(err)
		}
		if err := w.Stop("instance-" + z); err != nil {
			t.Error(err)
		}
	}
	stop()
	<-done
	want := 0
	for _, a := range b.answers {
		switch {
		case a.whole:
			want++
		case a.refused == nil || !a.refused.NotRun:
			t.Errorf("an answer was cut off: %v %+v", a.err, a.refused)
		}
	}
	eventually(t, "one bill for each answer", func() bool { return len(w.billed(t, "replacement-a")) == want })
	s, err := w.Operator("replacement-c").Status(t.Context())
	if err != nil || len(s.Versions) != 3 {
		t.Errorf("got %d versions, %v", len(s.Versions), err)
	}
}

// Guards exposure to a bad version: the trial halts it through the log, and no instance sends it more work.
func TestBadVersionIsHalted(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 2})
	w.Platform.Rater.SetPassShare("small@2", 0.1)
	o := w.Operator("instance-a")
	if err := RollOut(t.Context(), o, "small@2", []record.Stage{{Share: 0.5, MinSamples: 1000}}); err != nil {
		t.Fatal(err)
	}
	load, stop := context.WithCancel(t.Context())
	b := newBook()
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.load(load, b, 10, 1)
	}()
	state := func() string {
		l, err := o.Versions(context.Background())
		if err != nil {
			return ""
		}
		for _, v := range l.Versions {
			if v.Name == "small@2" {
				return v.State
			}
		}
		return ""
	}
	eventually(t, "the halt", func() bool { return state() == string(config.StateHalted) })
	if err := w.inForce(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // requests that were sent before the halt
	before := w.served("small@2")
	time.Sleep(300 * time.Millisecond)
	stop()
	<-done
	if n := w.served("small@2"); n != before {
		t.Errorf("the halted version ran %d more requests", n-before)
	}
}

// Guards the quality owed when ratings are away: answers come from the safe version.
func TestRatingAway(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1})
	w.Platform.Rater.SetFaults(standin.Faults{Down: true})
	var versions []string
	for n := range 12 {
		a := w.ask(t.Context(), w.bases()[0], report(n))
		if !a.whole {
			t.Fatalf("not whole: %v %+v", a.err, a.refused)
		}
		versions = append(versions, a.version)
	}
	if s := strings.Join(versions, " "); strings.Contains(s, "small") {
		t.Errorf("unrated answers came from %s", s)
	}
}

// Guards withdrawn-version across instances: an instance that can reach neither the log nor its peers takes no work.
func TestIsolatedInstanceStops(t *testing.T) {
	cut := &cutLog{}
	w := newTestWorld(t, Settings{Engines: 1, Adjust: func(o *instance.Options) {
		if o.ID == "instance-a" {
			cut.Log = o.Log
			o.Log = cut
		}
	}})
	w.Crash("instance-b")
	w.Crash("instance-c")
	cut.set(true)
	status := func() int {
		res, err := w.http.Get(w.Members["instance-a"].Callers + "/readyz")
		if err != nil {
			return 0
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	eventually(t, "not ready", func() bool { return status() == http.StatusServiceUnavailable })
	if a := w.ask(t.Context(), w.Members["instance-a"].Callers, report(1)); a.refused == nil || !a.refused.NotRun {
		t.Errorf("got %+v, %v; want a refusal", a.refused, a.err)
	}
	cut.set(false)
	eventually(t, "ready again", func() bool { return status() == http.StatusOK })
}

// Guards session-version on the whole path: a session keeps its version while a newer one takes over, on every
// instance, and moves only when its version is withdrawn, which the answer says.
func TestSessionKeepsVersion(t *testing.T) {
	w := newTestWorld(t, Settings{Engines: 1, Versions: []string{"small@1", "small@2", "large@1", unlisted}})
	turn := func(n int, session string) answered {
		a := w.ask(t.Context(), w.bases()[n%3], chat{
			org: "lysror-1", profile: "lysror-intake", prompt: fmt.Sprintf("Turn %d tokens=12 ", n), session: session,
		})
		if !a.whole {
			t.Fatalf("turn %d: %v %+v", n, a.err, a.refused)
		}
		return a
	}
	a := turn(0, "new")
	o := w.Operator("instance-a")
	if err := RollOut(t.Context(), o, "small@2", nil); err != nil {
		t.Fatal(err)
	}
	if err := w.inForce(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	for n := range 6 {
		if a = turn(n, a.session); a.version != "small@1" || a.moved != "" {
			t.Errorf("turn %d ran on %s (%s)", n, a.version, a.moved)
		}
	}
	if b := turn(0, "new"); b.version != "small@2" {
		t.Errorf("a new session runs on %s", b.version)
	}
	s := &scenario{w: w}
	if err := s.withdraw(t.Context(), o, "small@1"); err != nil {
		t.Fatal(err)
	}
	if a = turn(7, a.session); a.version != "small@2" || a.moved != "withdrawn" {
		t.Errorf("after the withdrawal: %s (%s)", a.version, a.moved)
	}
	if a = turn(8, a.session); a.version != "small@2" || a.moved != "" {
		t.Errorf("after the move: %s (%s)", a.version, a.moved)
	}
}
