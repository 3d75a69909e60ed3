package answer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// answerEvents are the events of a complete answer of m@1.
const answerEvents = `data: {"model":"m@1","choices":[{"delta":{"content":"text"},"finish_reason":"stop"}]}` + "\n\ndata: [DONE]\n\n"

// addHandler serves an engine and adds it to the endpoint table as one of m@1.
func (f *fixture) addHandler(id string, h http.HandlerFunc) {
	f.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	f.t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	f.list = append(f.list, platform.Instance{
		ID: id, Role: platform.RoleEngine, AvailabilityZone: "a", Address: netip.MustParseAddrPort(l.Addr().String()), Versions: []string{"m@1"},
	})
	f.Record(endpoint.InstancesListed{Instances: f.list})
}

// eventually waits until a condition holds and reports whether it does.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(2 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// TestReportOfLongAnswer guards against an engine's state that is learned only at the end of an answer, and then replaces what the
// engine has reported since: an engine that loaded a version was taken for one without it, and one that is leaving got new requests.
func TestReportOfLongAnswer(t *testing.T) {
	type state struct{ m1, m2, m3 int } // endpoints that accept requests for these versions
	for name, c := range map[string]struct {
		header, value string // of the reply that comes later
		want          state
	}{
		"loads a version": {engine.HeaderVersions, "m@1,m@2", state{1, 1, 0}},
		"is leaving":      {engine.HeaderLeaving, "true", state{0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, time.Second)
			f.changeVersion(record.VersionAdd, "m@1")
			f.changeVersion(record.VersionRollOut, "m@1")
			var requests atomic.Int64
			goOn := make(chan struct{})
			f.addHandler("e", func(w http.ResponseWriter, _ *http.Request) {
				if requests.Add(1) > 1 {
					w.Header().Set(c.header, c.value)
					_, _ = io.WriteString(w, answerEvents)
					return
				}
				w.Header().Set(engine.HeaderVersions, "m@1,m@3")
				_ = http.NewResponseController(w).Flush()
				<-goOn
				_, _ = io.WriteString(w, answerEvents)
			})
			got := func() state {
				v := f.View()
				return state{v.VersionSize("m@1"), v.VersionSize("m@2"), v.VersionSize("m@3")}
			}
			first := f.startRequest()
			if want := (state{1, 0, 1}); !eventually(func() bool { return got() == want }) {
				t.Errorf("while the answer goes on: %+v, want %+v", got(), want)
			}
			if _, _, err := f.runRequest(); err != nil {
				t.Error(err)
			}
			if got() != c.want {
				t.Errorf("after the later reply: %+v, want %+v", got(), c.want)
			}
			close(goOn)
			<-first
			if got() != c.want {
				t.Errorf("after the end of the first answer: %+v, want %+v", got(), c.want)
			}
		})
	}
}

// TestReportOfRefusal guards against further requests to an engine that refuses a version and reports that it lacks it: they use up the
// retries of requests that other engines could answer.
func TestReportOfRefusal(t *testing.T) {
	f := newFixture(t, time.Second)
	f.changeVersion(record.VersionAdd, "m@1")
	f.changeVersion(record.VersionRollOut, "m@1")
	var refused atomic.Int64
	f.addHandler("a", func(w http.ResponseWriter, _ *http.Request) {
		refused.Add(1)
		w.Header().Set(engine.HeaderVersions, "m@2")
		http.Error(w, "not found", http.StatusNotFound)
	})
	f.addHandler("b", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answerEvents) })
	for i := 0; i < 50; i++ {
		if _, _, err := f.runPrompt(fmt.Sprint("prompt ", i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := refused.Load(); n != 1 {
		t.Errorf("%d requests to the engine without the version, want 1", n)
	}
}
