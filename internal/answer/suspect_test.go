package answer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// recoverEndpoints lets probes succeed, so that endpoints return soon after they failed, until the returned function is called.
func (f *fixture) recoverEndpoints() (stop func()) {
	end, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Millisecond):
			}
			f.mu.Lock()
			// The table's clock runs ahead, so that an ejection is over at once.
			for _, p := range slices.Clone(f.table.Apply(time.Now().Add(time.Minute), endpoint.Tick{})) {
				f.table.Apply(time.Now(), endpoint.ProbeFinished{Endpoint: p.Endpoint, OK: true})
			}
			f.mu.Unlock()
		}
	}()
	return func() {
		close(end)
		<-done
	}
}

// TestSuspectWaitsForOtherEndpoint guards against sending a suspect to the endpoint that has just failed under it while another one only
// has to finish another suspect: a second death there refuses the request for a quarter of an hour.
func TestSuspectWaitsForOtherEndpoint(t *testing.T) {
	f := newFixture(t, 10*time.Second)
	f.changeVersion(record.VersionAdd, "m@1")
	f.changeVersion(record.VersionRollOut, "m@1")
	begin := time.Now()
	f.policy = answer.RunExclusively
	f.occupied = func(id string) bool { return id == "busy" && time.Since(begin) < 300*time.Millisecond }
	failing := f.addEngine("failing", standin.EngineFaults{TruncateAfterTokens: 5}, "m@1")
	f.addEngine("busy", standin.EngineFaults{}, "m@1")
	stop := f.recoverEndpoints()
	sink, _, err := f.runRequest()
	stop()
	if want := standin.AnswerText("m@1", prompt, 20); err != nil || sink.String() != want {
		t.Errorf("got %q, %v", sink, err)
	}
	if n := failing.AnswerCounts()["m@1"]; n != 1 {
		t.Errorf("%d requests to the failing engine, want 1", n)
	}
}
