package answer_test

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// addEndless starts an engine that sends bytes without end and adds it to the endpoint table.
func (f *fixture) addEndless(version string, form standin.EndlessForm) *standin.EndlessEndpoint {
	f.t.Helper()
	l, err := (&net.ListenConfig{}).Listen(f.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	e := standin.NewEndlessEndpoint(version, form)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Serve(l)
	}()
	f.t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	f.list = append(f.list, platform.Instance{
		ID: "endless", Role: platform.RoleEngine, AvailabilityZone: "a", Address: netip.MustParseAddrPort(l.Addr().String()), Versions: []string{version},
	})
	f.Record(endpoint.InstancesListed{Instances: f.list})
	return e
}

// TestEndlessAnswer guards against reading an answer far beyond the tokens that it may have, here 4,096 of 1 KiB each, and against sending
// the request again after that.
func TestEndlessAnswer(t *testing.T) {
	f := newFixture(t, time.Second)
	f.changeVersion(record.VersionAdd, "m@1")
	f.changeVersion(record.VersionRollOut, "m@1")
	e := f.addEndless("m@1", standin.EndlessText)
	begin := time.Now()
	sink, _, err := f.runRequest()
	if errorKind(err) != answer.ErrIncomplete || time.Since(begin) > 10*time.Second {
		t.Errorf("%v after %v", err, time.Since(begin))
	}
	if n := e.Requests()[standin.EndlessText]; n != 1 || sink.Len() > 5<<20 {
		t.Errorf("%d requests after %d bytes of text", n, sink.Len())
	}
}

// TestEndlessElsewhere guards against a request that fails although another engine is sound.
func TestEndlessElsewhere(t *testing.T) {
	for _, form := range []standin.EndlessForm{standin.EndlessComments, standin.EndlessTiny, standin.EndlessFields} {
		t.Run(string(form), func(t *testing.T) {
			f := newFixture(t, 5*time.Second)
			f.changeVersion(record.VersionAdd, "m@1")
			f.changeVersion(record.VersionRollOut, "m@1")
			e := f.addEndless("m@1", form)
			f.addEngine("sound", standin.EngineFaults{}, "m@1")
			for i := 0; i < 50 && e.Requests()[form] == 0; i++ {
				sink, _, err := f.runRequest()
				if want := standin.AnswerText("m@1", prompt, 20); err != nil || sink.String() != want {
					t.Errorf("request %d: %d of %d bytes, %v", i, sink.Len(), len(want), err)
				}
			}
			if e.Requests()[form] == 0 {
				t.Error("no request met the fault")
			}
		})
	}
}

// checkReleased checks that all memory of kept text was released.
func (f *fixture) checkReleased() {
	f.t.Helper()
	if err := f.memory.NewReservation().Grow(f.memory.MaxBodySize()); err != nil {
		f.t.Errorf("memory of kept text was not released: %v", err)
	}
}

// TestTextBeyondMemory guards against failing a sound answer because there is no memory for a copy of its text, and against sending
// the request again when an answer whose text was not kept breaks off: the text would be repeated.
func TestTextBeyondMemory(t *testing.T) {
	const long = "Summarise tokens=4000 the log" // an answer of 32 KB, for which a buffer grows beyond half of the memory
	for name, c := range map[string]struct {
		prompt string
		faults standin.EngineFaults
		tokens int
		kind   answer.ErrorKind
		served int
	}{
		"complete":             {long, standin.EngineFaults{}, 4000, "", 1},
		"broken off":           {long, standin.EngineFaults{TruncateAfterTokens: 3900}, 3900, answer.ErrIncomplete, 1},
		"continued while kept": {prompt, standin.EngineFaults{TruncateAfterTokens: 10}, 20, "", 2},
	} {
		t.Run(name, func(t *testing.T) {
			// No engine goes silent here. With 100 ms an answer of 4,000 events was taken for silent on a busy machine.
			f := newFixtureWithProgress(t, time.Second, 10*time.Second)
			f.changeVersion(record.VersionAdd, "m@1")
			f.changeVersion(record.VersionRollOut, "m@1")
			e1, e2 := f.addEngine("e1", c.faults, "m@1"), f.addEngine("e2", c.faults, "m@1")
			sink, _, err := f.runPrompt(c.prompt)
			if got := errorKind(err); got != c.kind || sink.String() != standin.AnswerText("m@1", c.prompt, c.tokens) {
				t.Errorf("%d bytes, %v", sink.Len(), err)
			}
			if n := e1.AnswerCounts()["m@1"] + e2.AnswerCounts()["m@1"]; n != c.served {
				t.Errorf("%d requests, want %d", n, c.served)
			}
			f.checkReleased()
		})
	}
}

// errorKind returns the kind of an error of the package, or "".
func errorKind(err error) answer.ErrorKind {
	var e *answer.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
