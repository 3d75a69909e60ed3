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
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bench is a maker with real cores, engines on loopback and nothing else.
type bench struct {
	t       *testing.T
	maker   *answer.Maker
	catalog atomic.Pointer[profile.Catalog]
	stale   atomic.Bool
	engines []*standin.Engine

	mu    sync.Mutex
	table *endpoint.Table
	list  []platform.Instance
}

// View returns the endpoints.
func (b *bench) View() *endpoint.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.View()
}

// Event reports how an endpoint did.
func (b *bench) Event(e endpoint.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Step(time.Now(), e)
}

func (b *bench) Beliefs() *cascade.View { return cascade.New(cascade.Defaults()).View(time.Now()) }

func (b *bench) Candidates(name string) []cascade.Candidate {
	return cascade.Candidates(b.catalog.Load(), name)
}

func (b *bench) serving() error {
	if b.stale.Load() {
		return errors.New("the configuration can't be confirmed")
	}
	return nil
}

func (b *bench) Runs(string) bool              { return true }
func (b *bench) RaterUp() bool                 { return false }
func (b *bench) Observe(cascade.Outcome)       {}
func (b *bench) Judge(uint64) answer.Treatment { return answer.Run }
func (b *bench) Occupied(string) bool          { return false }
func (b *bench) Start(uint64, string) bool     { return true }
func (b *bench) End(uint64, string, bool)      {}
func (b *bench) Died(string)                   {}
func (b *bench) Write(timeline.Event)          {}

func (b *bench) Rate(context.Context, answer.RatedAnswer) (float64, error) {
	return 0, errors.New("no rating service")
}

// apply folds a change on the revision of its object.
func (b *bench) apply(ch record.Change, ok bool) {
	b.t.Helper()
	c := b.catalog.Load()
	ch.Base = c.Versions[ch.Name].Revision
	n, err := c.Apply(c.Next, time.Now(), ch)
	if (err == nil) != ok {
		b.t.Fatal(err)
	}
	b.catalog.Store(n)
}

func (b *bench) version(k record.Kind, name string) {
	b.apply(record.Change{
		Kind: k, Name: name, RollOut: &record.RollOut{},
		Version: &record.Version{Name: name, Price: record.Price{Input: 10, Output: 10}},
	}, true)
}

func newBench(t *testing.T, wait time.Duration) *bench {
	t.Helper()
	b := &bench{t: t, table: endpoint.NewTable(endpoint.DefaultSettings(1))}
	b.catalog.Store(profile.New())
	b.apply(record.Change{Kind: record.ProfilePublish, Name: "p", Profile: &record.Profile{
		Name: "p", Allow: []string{"m@*"}, Safe: "m@*", Quality: record.Quality{MinScore: 0.5, Share: 0.9},
		MaxCost: 1 << 40, Deadline: record.Duration(time.Minute), Weights: record.Weights{Cost: 1},
	}}, true)
	b.apply(record.Change{Kind: record.OrganisationPublish, Name: "o", Organisation: &record.Organisation{Name: "o", Profiles: []string{"p"}}}, true)
	c := engine.NewClient(engine.Settings{Dial: time.Second, FirstToken: 5 * time.Second, Progress: 100 * time.Millisecond})
	t.Cleanup(c.Close)
	s := answer.DefaultSettings("a")
	s.QueueWait = wait
	b.maker = answer.NewMaker(s, answer.Parts{
		Catalog: b.catalog.Load, Serving: b.serving, Pool: b, Planner: b, Suspects: b, Rater: b, Engines: c, Events: b,
		Retries: endpoint.NewRetries(endpoint.RetrySettings{Request: 3, Ratio: 1, Burst: 10}),
	})
	return b
}

// add starts and lists an engine.
func (b *bench) add(id string, f standin.EngineFaults, versions ...string) *standin.Engine {
	b.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(b.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	e := standin.NewEngine(standin.EngineOptions{ID: id, Versions: versions, Slots: 4, Prefixes: 4})
	e.Set(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Serve(l)
	}()
	b.t.Cleanup(func() {
		e.Close()
		<-done
	})
	b.engines = append(b.engines, e)
	a := netip.MustParseAddrPort(l.Addr().String())
	b.list = append(b.list, platform.Instance{ID: id, Role: platform.RoleEngine, Zone: "a", Address: a, Versions: versions})
	b.Event(endpoint.Listed{Instances: b.list})
	return e
}

// awaitRefusal waits until the last endpoint's address refuses connections. An engine may be closed before its server has
// taken over the listener, which then still accepts connections and resets them.
func (b *bench) awaitRefusal() {
	b.t.Helper()
	a := b.list[len(b.list)-1].Address.String()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		c, err := (&net.Dialer{}).DialContext(b.t.Context(), "tcp", a)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_ = c.Close()
		}
	}
	b.t.Fatal("the closed engine still accepts connections")
}

// text is a sink.
type text struct {
	strings.Builder
	versions []string
}

func (x *text) Start(answer.Started) error { return nil }

func (x *text) Text(s, version string) error {
	x.WriteString(s)
	if len(x.versions) == 0 || x.versions[len(x.versions)-1] != version {
		x.versions = append(x.versions, version)
	}
	return nil
}

const prompt = "Summarise tokens=20 the log"

func (b *bench) run() (*text, answer.Result, error) {
	b.t.Helper()
	c := b.catalog.Load()
	q := &answer.Request{
		ID: "r", Organisation: c.Organisations["o"], Profile: c.Profiles["p"], Deadline: time.Now().Add(30 * time.Second),
		Chat: engine.ChatRequest{Messages: []engine.Message{{Role: "user", Content: prompt}}},
	}
	p, err := b.maker.Plan(q, 1, "class")
	if err != nil {
		return nil, answer.Result{}, err
	}
	x := &text{}
	r, err := p.Run(b.t.Context(), x)
	b.maker.Wait()
	return x, r, err
}

// start runs a request beside the test, which must get a whole answer.
func (b *bench) start() <-chan *text {
	done := make(chan *text, 1)
	go func() {
		x, _, err := b.run()
		if err != nil {
			b.t.Error(err)
		}
		done <- x
	}()
	return done
}

// Guards withdrawn-version: the version is withdrawn while a planned request waits for an endpoint, and the endpoint
// that then comes up serves both versions.
func TestWithdrawnWhileWaiting(t *testing.T) {
	b := newBench(t, 10*time.Second)
	b.version(record.VersionAdd, "m@1")
	b.version(record.VersionRollOut, "m@1")
	done := b.start()
	time.Sleep(50 * time.Millisecond)
	b.version(record.VersionAdd, "m@2")
	b.version(record.VersionRollOut, "m@2")
	b.version(record.VersionWithdraw, "m@1")
	e := b.add("e", standin.EngineFaults{}, "m@1", "m@2")
	x := <-done
	if n := e.Served(); n["m@1"] != 0 || n["m@2"] != 1 {
		t.Errorf("served %v", n)
	}
	if want := standin.AnswerText("m@2", prompt, 20); x.String() != want {
		t.Errorf("got %q, want %q", x.String(), want)
	}
}

// Guards whole-answer and withdrawn-version together: the endpoint dies in the middle of an answer and its version
// is withdrawn, so the answer goes on with the version that replaces it, without a gap or a duplicate.
func TestWithdrawnMidway(t *testing.T) {
	b := newBench(t, 10*time.Second)
	b.version(record.VersionAdd, "m@1")
	b.version(record.VersionRollOut, "m@1")
	b.add("e1", standin.EngineFaults{SilentAfter: 8}, "m@1")
	done := b.start()
	time.Sleep(30 * time.Millisecond)
	b.version(record.VersionAdd, "m@2")
	b.version(record.VersionRollOut, "m@2")
	b.version(record.VersionWithdraw, "m@1")
	b.add("e2", standin.EngineFaults{}, "m@1", "m@2")
	x := <-done
	want := standin.AnswerText("m@1", prompt, 8) + strings.TrimPrefix(standin.AnswerText("m@2", prompt, 20), standin.AnswerText("m@2", prompt, 8))
	if x.String() != want {
		t.Errorf("got %q, want %q", x.String(), want)
	}
	if n := b.engines[1].Served()["m@1"]; n != 0 {
		t.Errorf("the withdrawn version got %d new requests", n)
	}
}

// Guards not-run-is-true: the word is given only if no engine was sent the request.
func TestNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*bench)
		notRun  bool
	}{
		"died":    {func(b *bench) { b.add("e", standin.EngineFaults{DieAfter: 1}, "m@1") }, false},
		"errors":  {func(b *bench) { b.add("e", standin.EngineFaults{ErrorShare: 1}, "m@1") }, false},
		"version": {func(b *bench) { b.add("e", standin.EngineFaults{Model: "m@9"}, "m@1") }, false},
		"refused": {func(b *bench) {
			b.add("e", standin.EngineFaults{}, "m@1").Close()
			b.awaitRefusal()
		}, true},
		"withdrawn": {func(b *bench) {
			b.add("e", standin.EngineFaults{}, "m@1")
			b.version(record.VersionWithdraw, "m@1")
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 200*time.Millisecond)
			b.version(record.VersionAdd, "m@1")
			b.version(record.VersionRollOut, "m@1")
			c.prepare(b)
			_, _, err := b.run()
			var e *answer.Error
			if !errors.As(err, &e) || e.NotRun != c.notRun {
				t.Errorf("got %v (not run: %v), want not run: %v", err, e != nil && e.NotRun, c.notRun)
			}
		})
	}
}

// Guards withdrawn-version after a pause: a request that was planned before the instance lost touch with the
// configuration is not sent.
func TestStaleBeforeSend(t *testing.T) {
	b := newBench(t, 200*time.Millisecond)
	b.version(record.VersionAdd, "m@1")
	b.version(record.VersionRollOut, "m@1")
	e := b.add("e", standin.EngineFaults{}, "m@1")
	b.stale.Store(true)
	_, _, err := b.run()
	var x *answer.Error
	if !errors.As(err, &x) || x.Kind != answer.ErrStale || !x.NotRun {
		t.Errorf("got %v, want a refusal", err)
	}
	if n := e.Served()["m@1"]; n != 0 {
		t.Errorf("%d requests were sent", n)
	}
}
