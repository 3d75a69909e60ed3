package testfleet

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

// waitTimeout bounds the wait for an expected event. No test depends on how long the event takes.
const waitTimeout = 20 * time.Second

func newTestFleet(t *testing.T, c Config) *Fleet {
	t.Helper()
	if c.AvailabilityZones == nil {
		c.AvailabilityZones = []string{"a", "b", "c"}
	}
	if c.EngineVersions == nil {
		c.EngineVersions = []string{"small@1", "large@1", disallowedVersion}
	}
	c.Services = []string{"booking", "print"}
	adjust := c.AdjustOptions
	c.AdjustOptions = func(o *instance.Options) {
		shortenTimeouts(o)
		if adjust != nil {
			adjust(o)
		}
	}
	f, err := New(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := f.WaitUntilReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := PublishSamples(t.Context(), f); err != nil {
		t.Fatal(err)
	}
	return f
}

// eventually waits until a condition holds.
func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", event)
		}
	}
}

// billsByKey returns the number of bills of each idempotency key, or nil if the export fails.
func (f *Fleet) billsByKey(t *testing.T, id string) map[string]int {
	t.Helper()
	r, err := f.OperatorClient(id).Bills(context.Background(), 0)
	if err != nil {
		return nil
	}
	m := map[string]int{}
	for _, b := range r.Bills {
		m[b.Key]++
	}
	return m
}

func reportRequest(n int) chatRequest {
	return chatRequest{org: "lysror-1", profile: "lysror-reports", prompt: fmt.Sprintf("Dossier %d tokens=60 consignment", n), stream: true}
}

// Checks whole-answer and billed-once when an endpoint fails during its stream: the answer continues on another endpoint
// without a gap, a duplicate or a second bill.
func TestEndpointFailsMidway(t *testing.T) {
	for name, faults := range map[string]standin.EngineFaults{
		"dies":          {CrashAfterTokens: 20},
		"goes silent":   {StallAfterTokens: 20},
		"is cut off":    {TruncateAfterTokens: 20},
		"wrong version": {ClaimedVersion: "small@9"},
		"errors":        {ErrorShare: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestFleet(t, Config{EnginesPerZone: 1})
			f.Engines["engine-a-0"].SetFaults(faults)
			var g sync.WaitGroup
			out := make(chan response, 12)
			for n := range cap(out) {
				g.Go(func() { out <- f.sendChat(t.Context(), f.callerURLs()[n%3], reportRequest(n)) })
			}
			g.Wait()
			keys := map[string]int{}
			for range cap(out) {
				a := <-out
				if !a.complete {
					t.Errorf("incomplete answer: %v %+v", a.err, a.refusal)
				}
				keys[a.key] = 1
			}
			eventually(t, "one bill for each answer", func() bool { return len(f.billsByKey(t, "instance-b")) == len(keys) })
			for k, n := range f.billsByKey(t, "instance-b") {
				if n != keys[k] {
					t.Errorf("%d bills of %s", n, k)
				}
			}
		})
	}
}

// Checks billed-once when an instance crashes right after its answers, before it has appended their bills to the log.
func TestCrashLosesNoBill(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1, AdjustOptions: func(o *instance.Options) { o.Ledger.Bills.AppendInterval = time.Hour }})
	want := map[string]bool{}
	for n := range 8 {
		a := f.sendChat(t.Context(), f.Instances["instance-a"].CallerURL, reportRequest(n))
		if !a.complete {
			t.Fatalf("incomplete answer: %v %+v", a.err, a.refusal)
		}
		want[a.key] = true
	}
	f.CrashInstance("instance-a")
	for _, id := range []string{"instance-b", "instance-c"} {
		if err := f.StopInstance(id); err != nil { // a graceful stop appends the copies of the bills to the log
			t.Fatal(err)
		}
	}
	if _, err := f.AddInstance(t.Context(), "instance-d", "a"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "one bill for each answer", func() bool { return len(f.billsByKey(t, "instance-d")) == len(want) })
}

// Checks that a request that crashes every endpoint that runs it crashes at most two endpoints, although it is sent again
// under new keys, and that other requests get complete answers.
func TestPoisonRequest(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 3})
	for _, e := range f.Engines {
		e.SetFaults(standin.EngineFaults{CrashText: "poison"})
	}
	loadCtx, stop := context.WithCancel(t.Context())
	r := newRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.sendLoad(loadCtx, r, 6, 1)
	}()
	poison := chatRequest{org: "lysror-1", profile: "lysror-reports", prompt: "poison tokens=60 "}
	for range 12 {
		if a := f.sendChat(t.Context(), f.callerURLs()[0], poison); a.complete {
			t.Error("the poison request was answered")
		}
	}
	stop()
	<-done
	crashed := 0
	for _, e := range f.Engines {
		if e.Stopped() {
			crashed++
		}
	}
	if crashed > 2 {
		t.Errorf("%d endpoints crashed, want at most 2", crashed)
	}
	for _, a := range r.responses {
		if !a.complete {
			t.Errorf("another request got no complete answer: %v %+v", a.err, a.refusal)
		}
	}
}

// Checks graceful-stop and config-in-force when every instance is replaced in turn under load.
func TestReplaceEveryInstance(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 2})
	loadCtx, stop := context.WithCancel(t.Context())
	r := newRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.sendLoad(loadCtx, r, 8, 1)
	}()
	for _, z := range f.config.AvailabilityZones {
		i, err := f.AddInstance(t.Context(), "replacement-"+z, z)
		if err != nil {
			t.Fatal(err)
		}
		if err := f.waitUntilOK(t.Context(), i.CallerURL+"/readyz"); err != nil {
			t.Fatal(err)
		}
		if err := f.StopInstance("instance-" + z); err != nil {
			t.Error(err)
		}
	}
	stop()
	<-done
	want := 0
	for _, a := range r.responses {
		switch {
		case a.complete:
			want++
		case a.refusal == nil || !a.refusal.NotRun:
			t.Errorf("an answer was cut off: %v %+v", a.err, a.refusal)
		}
	}
	eventually(t, "one bill for each answer", func() bool { return len(f.billsByKey(t, "replacement-a")) == want })
	s, err := f.OperatorClient("replacement-c").Status(t.Context())
	if err != nil || len(s.Versions) != 3 {
		t.Errorf("got %d versions, %v", len(s.Versions), err)
	}
}

// Checks that the roll-out of a bad version is halted through the log and that no instance sends it further requests.
func TestBadVersionIsHalted(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 2})
	f.Platform.Rater.SetPassShare("small@2", 0.1)
	o := f.OperatorClient("instance-a")
	if err := RollOut(t.Context(), o, "small@2", []record.Stage{{Share: 0.5, MinSamples: 1000}}); err != nil {
		t.Fatal(err)
	}
	loadCtx, stop := context.WithCancel(t.Context())
	r := newRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.sendLoad(loadCtx, r, 10, 1)
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
	if err := f.waitUntilInForce(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond) // lets requests that were sent before the halt start
	before := f.startedAnswers("small@2")
	time.Sleep(300 * time.Millisecond)
	stop()
	<-done
	if n := f.startedAnswers("small@2"); n != before {
		t.Errorf("the halted version ran %d more requests", n-before)
	}
}

// Checks that answers come from the safe version while the rater is unavailable, so that the promised quality holds.
func TestRatingAway(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1})
	f.Platform.Rater.SetFaults(standin.Faults{Down: true})
	var versions []string
	for n := range 12 {
		a := f.sendChat(t.Context(), f.callerURLs()[0], reportRequest(n))
		if !a.complete {
			t.Fatalf("incomplete answer: %v %+v", a.err, a.refusal)
		}
		versions = append(versions, a.version)
	}
	if s := strings.Join(versions, " "); strings.Contains(s, "small") {
		t.Errorf("unrated answers came from %s", s)
	}
}

// Checks withdrawn-version when an instance can reach neither the log nor its peers: it accepts no requests, because it
// would not learn of a withdrawal.
func TestIsolatedInstanceStops(t *testing.T) {
	l := &partitionableLog{}
	f := newTestFleet(t, Config{EnginesPerZone: 1, AdjustOptions: func(o *instance.Options) {
		if o.ID == "instance-a" {
			l.Log = o.Log
			o.Log = l
		}
	}})
	f.CrashInstance("instance-b")
	f.CrashInstance("instance-c")
	l.setUnreachable(true)
	status := func() int {
		res, err := f.client.Get(f.Instances["instance-a"].CallerURL + "/readyz")
		if err != nil {
			return 0
		}
		_ = res.Body.Close()
		return res.StatusCode
	}
	eventually(t, "the status not ready", func() bool { return status() == http.StatusServiceUnavailable })
	if a := f.sendChat(t.Context(), f.Instances["instance-a"].CallerURL, reportRequest(1)); a.refusal == nil || !a.refusal.NotRun {
		t.Errorf("got %+v, %v; want a refusal", a.refusal, a.err)
	}
	l.setUnreachable(false)
	eventually(t, "the status ready again", func() bool { return status() == http.StatusOK })
}

// Checks session-version through all instances: a session keeps its version while a newer one is rolled out. It moves
// only when its version is withdrawn, and the response says so.
func TestSessionKeepsVersion(t *testing.T) {
	f := newTestFleet(t, Config{EnginesPerZone: 1, EngineVersions: []string{"small@1", "small@2", "large@1", disallowedVersion}})
	sendTurn := func(n int, session string) response {
		a := f.sendChat(t.Context(), f.callerURLs()[n%3], chatRequest{
			org: "lysror-1", profile: "lysror-intake", prompt: fmt.Sprintf("Turn %d tokens=12 ", n), session: session,
		})
		if !a.complete {
			t.Fatalf("turn %d: %v %+v", n, a.err, a.refusal)
		}
		return a
	}
	a := sendTurn(0, "new")
	o := f.OperatorClient("instance-a")
	if err := RollOut(t.Context(), o, "small@2", nil); err != nil {
		t.Fatal(err)
	}
	if err := f.waitUntilInForce(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	for n := range 6 {
		if a = sendTurn(n, a.session); a.version != "small@1" || a.sessionChange != "" {
			t.Errorf("turn %d ran on %s (%s)", n, a.version, a.sessionChange)
		}
	}
	if b := sendTurn(0, "new"); b.version != "small@2" {
		t.Errorf("a new session runs on %s", b.version)
	}
	s := &scenario{fleet: f}
	if err := s.withdrawVersion(t.Context(), o, "small@1"); err != nil {
		t.Fatal(err)
	}
	if a = sendTurn(7, a.session); a.version != "small@2" || a.sessionChange != "withdrawn" {
		t.Errorf("after the withdrawal: %s (%s)", a.version, a.sessionChange)
	}
	if a = sendTurn(8, a.session); a.version != "small@2" || a.sessionChange != "" {
		t.Errorf("after the change of version: %s (%s)", a.version, a.sessionChange)
	}
}
