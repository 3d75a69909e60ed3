package answer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is an Executor with the real core packages, engines on loopback addresses and stubs for everything else.
type fixture struct {
	t        *testing.T
	executor *answer.Executor
	catalog  atomic.Pointer[config.Catalog]
	stale    atomic.Bool
	engines  []*standin.Engine
	memory   *memory.Budget // for the text that is kept
	policy   answer.SuspectPolicy
	occupied func(endpoint string) bool // whether a suspect runs on an endpoint; nil if none does

	mu    sync.Mutex
	table *endpoint.Table
	list  []platform.Instance
}

// View returns the current view of the endpoint table.
func (f *fixture) View() *endpoint.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.View()
}

// Record passes an event to the endpoint table.
func (f *fixture) Record(e endpoint.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.Apply(time.Now(), e)
}

func (f *fixture) Estimates() *cascade.Estimates {
	return cascade.NewEstimator(cascade.Defaults()).Estimates(time.Now())
}

func (f *fixture) Candidates(name string) []cascade.Candidate {
	return cascade.Candidates(f.catalog.Load(), name)
}

func (f *fixture) serving() error {
	if f.stale.Load() {
		return errors.New("the configuration can't be confirmed")
	}
	return nil
}

func (f *fixture) AcceptsVersion(string) bool                 { return true }
func (f *fixture) RaterAvailable() bool                       { return false }
func (f *fixture) Observe(cascade.Outcome)                    {}
func (f *fixture) Policy(answer.Content) answer.SuspectPolicy { return f.policy }
func (f *fixture) RunsSuspect(id string) bool                 { return f.occupied != nil && f.occupied(id) }
func (f *fixture) StartRequest(answer.Content, string) bool   { return true }
func (f *fixture) EndRequest(answer.Content, string, bool)    {}
func (f *fixture) RecordFirstToken(answer.Content, string)    {}
func (f *fixture) EndpointCrashed(string)                     {}
func (f *fixture) Write(timeline.Event)                       {}

func (f *fixture) Rate(context.Context, answer.RatedAnswer) (float64, error) {
	return 0, errors.New("no rating service")
}

// apply applies a change based on the current revision of its object. ok tells whether it must succeed.
func (f *fixture) apply(ch record.Change, ok bool) {
	f.t.Helper()
	c := f.catalog.Load()
	ch.Base = c.Versions[ch.Name].Revision
	n, err := c.Apply(c.Next, time.Now(), ch)
	if (err == nil) != ok {
		f.t.Fatal(err)
	}
	f.catalog.Store(n)
}

func (f *fixture) changeVersion(kind record.Kind, name string) {
	f.apply(record.Change{
		Kind: kind, Name: name, RollOut: &record.RollOut{},
		Version: &record.Version{Name: name, Price: record.Price{Input: 10, Output: 10}},
	}, true)
}

// textMemory is enough for the answers of most tests, and not for those of endless_test.go.
const textMemory = 64 << 10

func newFixture(t *testing.T, wait time.Duration) *fixture {
	t.Helper()
	return newFixtureWithProgress(t, wait, 100*time.Millisecond)
}

// newFixtureWithProgress returns a fixture whose engines may send nothing for a given time in the middle of an answer.
func newFixtureWithProgress(t *testing.T, wait, progress time.Duration) *fixture {
	t.Helper()
	f := &fixture{t: t, memory: memory.NewBudget(textMemory), table: endpoint.NewTable(endpoint.DefaultSettings(1))}
	f.catalog.Store(config.NewCatalog())
	f.apply(record.Change{Kind: record.ProfilePublish, Name: "p", Profile: &record.Profile{
		Name: "p", Allow: []string{"m@*"}, Safe: "m@*", Quality: record.Quality{MinScore: 0.5, Share: 0.9},
		MaxCost: 1 << 40, Deadline: record.Duration(time.Minute), Weights: record.Weights{Cost: 1},
	}}, true)
	f.apply(record.Change{Kind: record.OrganisationPublish, Name: "o", Organisation: &record.Organisation{Name: "o", Profiles: []string{"p"}}}, true)
	c := engine.NewClient(engine.Settings{DialTimeout: time.Second, FirstTokenTimeout: 5 * time.Second, ProgressTimeout: progress})
	t.Cleanup(c.Close)
	s := answer.DefaultSettings("a")
	s.QueueTimeout = wait
	f.executor = answer.NewExecutor(s, answer.Dependencies{
		Catalog: f.catalog.Load, CheckServing: f.serving, Pool: f, Planner: f, Suspects: f, Rater: f, Engines: c, Events: f, TextMemory: f.memory,
		Retries: endpoint.NewRetryBudget(endpoint.RetrySettings{MaxAttempts: 3, RetryRatio: 1, MaxSavedRetries: 10}),
	})
	return f
}

// addEngine starts an engine and adds it to the endpoint table.
func (f *fixture) addEngine(id string, faults standin.EngineFaults, versions ...string) *standin.Engine {
	f.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := standin.NewEngine(standin.EngineOptions{ID: id, Versions: versions, Slots: 4, CachedPrefixes: 4})
	e.SetFaults(faults)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(l)
	}()
	f.t.Cleanup(func() {
		e.Close()
		<-done
	})
	f.engines = append(f.engines, e)
	a := netip.MustParseAddrPort(l.Addr().String())
	f.list = append(f.list, platform.Instance{ID: id, Role: platform.RoleEngine, AvailabilityZone: "a", Address: a, Versions: versions})
	f.Record(endpoint.InstancesListed{Instances: f.list})
	return e
}

// awaitRefusal waits until the address of the last engine refuses connections. If an engine is closed before its server has
// taken over the listener, the listener still accepts connections and resets them.
func (f *fixture) awaitRefusal() {
	f.t.Helper()
	address := f.list[len(f.list)-1].Address.String()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := (&net.Dialer{}).DialContext(f.t.Context(), "tcp", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_ = c.Close()
		}
	}
	f.t.Fatal("the closed engine still accepts connections")
}

// textSink collects the text of an answer and the versions that wrote it.
type textSink struct {
	strings.Builder
	versions []string
}

func (s *textSink) Start(answer.StreamInfo) error { return nil }

func (s *textSink) WriteText(text, version string) error {
	s.WriteString(text)
	if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
		s.versions = append(s.versions, version)
	}
	return nil
}

const prompt = "Summarise tokens=20 the log"

// runRequest runs a request and returns its text, result and error.
func (f *fixture) runRequest() (*textSink, answer.Result, error) { return f.runPrompt(prompt) }

// runPrompt runs a request with a prompt.
func (f *fixture) runPrompt(prompt string) (*textSink, answer.Result, error) {
	f.t.Helper()
	c := f.catalog.Load()
	q := &answer.Request{
		ID: "r", Organisation: c.Organisations["o"], Profile: c.Profiles["p"], Deadline: time.Now().Add(30 * time.Second),
		Chat: engine.ChatRequest{Messages: []engine.Message{{Role: "user", Content: prompt}}},
	}
	p, err := f.executor.Plan(q, answer.Content{Digest: 1}, "class")
	if err != nil {
		return nil, answer.Result{}, err
	}
	sink := &textSink{}
	r, err := p.Run(f.t.Context(), sink)
	f.executor.WaitForRatings()
	return sink, r, err
}

// startRequest runs a request in the background. The request must get a complete answer.
func (f *fixture) startRequest() <-chan *textSink {
	done := make(chan *textSink, 1)
	go func() {
		sink, _, err := f.runRequest()
		if err != nil {
			f.t.Error(err)
		}
		done <- sink
	}()
	return done
}

// Guards withdrawn-version: the version of a planned request is withdrawn while the request waits for an endpoint. The
// endpoint that then starts serves both versions, and must not be asked for the withdrawn one.
func TestWithdrawnWhileWaiting(t *testing.T) {
	f := newFixture(t, 10*time.Second)
	f.changeVersion(record.VersionAdd, "m@1")
	f.changeVersion(record.VersionRollOut, "m@1")
	done := f.startRequest()
	time.Sleep(50 * time.Millisecond)
	f.changeVersion(record.VersionAdd, "m@2")
	f.changeVersion(record.VersionRollOut, "m@2")
	f.changeVersion(record.VersionWithdraw, "m@1")
	e := f.addEngine("e", standin.EngineFaults{}, "m@1", "m@2")
	sink := <-done
	if n := e.AnswerCounts(); n["m@1"] != 0 || n["m@2"] != 1 {
		t.Errorf("served %v", n)
	}
	if want := standin.AnswerText("m@2", prompt, 20); sink.String() != want {
		t.Errorf("got %q, want %q", sink.String(), want)
	}
}

// Guards whole-answer and withdrawn-version together: the endpoint goes silent in the middle of an answer and its version is
// withdrawn. The version that replaces it must continue the answer without a gap or a repetition.
func TestWithdrawnMidway(t *testing.T) {
	f := newFixture(t, 10*time.Second)
	f.changeVersion(record.VersionAdd, "m@1")
	f.changeVersion(record.VersionRollOut, "m@1")
	f.addEngine("e1", standin.EngineFaults{StallAfterTokens: 8}, "m@1")
	done := f.startRequest()
	time.Sleep(30 * time.Millisecond)
	f.changeVersion(record.VersionAdd, "m@2")
	f.changeVersion(record.VersionRollOut, "m@2")
	f.changeVersion(record.VersionWithdraw, "m@1")
	f.addEngine("e2", standin.EngineFaults{}, "m@1", "m@2")
	sink := <-done
	want := standin.AnswerText("m@1", prompt, 8) + strings.TrimPrefix(standin.AnswerText("m@2", prompt, 20), standin.AnswerText("m@2", prompt, 8))
	if sink.String() != want {
		t.Errorf("got %q, want %q", sink.String(), want)
	}
	if n := f.engines[1].AnswerCounts()["m@1"]; n != 0 {
		t.Errorf("the withdrawn version got %d new requests", n)
	}
}

// Guards not-run-is-true: NotRun is set only if no engine was sent the request.
func TestNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*fixture)
		notRun  bool
	}{
		"died":    {func(f *fixture) { f.addEngine("e", standin.EngineFaults{CrashAfterTokens: 1}, "m@1") }, false},
		"errors":  {func(f *fixture) { f.addEngine("e", standin.EngineFaults{ErrorShare: 1}, "m@1") }, false},
		"version": {func(f *fixture) { f.addEngine("e", standin.EngineFaults{ClaimedVersion: "m@9"}, "m@1") }, false},
		"refused": {func(f *fixture) {
			f.addEngine("e", standin.EngineFaults{}, "m@1").Close()
			f.awaitRefusal()
		}, true},
		"withdrawn": {func(f *fixture) {
			f.addEngine("e", standin.EngineFaults{}, "m@1")
			f.changeVersion(record.VersionWithdraw, "m@1")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 200*time.Millisecond)
			f.changeVersion(record.VersionAdd, "m@1")
			f.changeVersion(record.VersionRollOut, "m@1")
			c.prepare(f)
			_, _, err := f.runRequest()
			var e *answer.Error
			if !errors.As(err, &e) || e.NotRun != c.notRun {
				t.Errorf("got %v (not run: %v), want not run: %v", err, e != nil && e.NotRun, c.notRun)
			}
		})
	}
}

// TestEvacuated guards against a request that waits for an endpoint, or is refused without the reason, while all endpoints of its version
// are in evacuated zones.
func TestEvacuated(t *testing.T) {
	f := newFixture(t, 30*time.Second)
	f.changeVersion(record.VersionAdd, "m@1")
	f.changeVersion(record.VersionRollOut, "m@1")
	f.addEngine("e", standin.EngineFaults{}, "m@1")
	f.Record(endpoint.ZonesEvacuated{Zones: []string{"a"}})
	begin := time.Now()
	_, _, err := f.runRequest()
	var e *answer.Error
	if !errors.As(err, &e) || e.Kind != answer.ErrEvacuated || !e.NotRun {
		t.Errorf("got %v, want a refusal that names the evacuation", err)
	}
	if d := time.Since(begin); d > 15*time.Second {
		t.Errorf("refused after %v", d)
	}
	f.Record(endpoint.ZonesEvacuated{})
	if _, _, err := f.runRequest(); err != nil {
		t.Errorf("after the restoration: %v", err)
	}
}

// Guards withdrawn-version after a pause: a request is not sent if the instance can no longer confirm its configuration, even
// if the request was planned before.
func TestStaleBeforeSend(t *testing.T) {
	f := newFixture(t, 200*time.Millisecond)
	f.changeVersion(record.VersionAdd, "m@1")
	f.changeVersion(record.VersionRollOut, "m@1")
	eng := f.addEngine("e", standin.EngineFaults{}, "m@1")
	f.stale.Store(true)
	_, _, err := f.runRequest()
	var e *answer.Error
	if !errors.As(err, &e) || e.Kind != answer.ErrStale || !e.NotRun {
		t.Errorf("got %v, want a refusal", err)
	}
	if n := eng.AnswerCounts()["m@1"]; n != 0 {
		t.Errorf("%d requests were sent", n)
	}
}
