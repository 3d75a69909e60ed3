package claim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// drawEvent generates an event of any kind, including events that a driver must not send.
func drawEvent(t *rapid.T) Event {
	verdicts := []Verdict{Won, Won, Won, HeldByOther, Expired, IssuedInFuture, Incomplete}
	holders := []*Holder{nil, nil, {Attempt: "other", OutcomeDue: base.Add(time.Minute)}, {Attempt: "other", Outcome: &record.Outcome{Unknown: true}}}
	e := Event{
		Kind:     rapid.SampledFrom([]EventKind{EventStart, EventDecided, EventTimer, EventTimer, EventAbandon, EventSend, EventSend, EventResponse, EventResponseLost}).Draw(t, "event"),
		Holder:   rapid.SampledFrom(holders).Draw(t, "holder"),
		Decision: Decision{Attempt: "own", Verdict: rapid.SampledFrom(verdicts).Draw(t, "verdict")},
		LogTime:  base,
		Outcome:  &record.Outcome{Status: 200},
	}
	e.Decision.Holder = Holder{Attempt: "other", OutcomeDue: base.Add(time.Minute)}
	return e
}

// Guards against a second send, a send after NotRun, a void after a send, and a result other than Finished or
// OutcomeUnknown after a send, with events in any order.
func TestClaimantSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		resend := rapid.Bool().Draw(t, "resend")
		c := NewAttemptState(Settings{RetryDelay: time.Second, ClaimTimeout: 5 * time.Second}, Request{
			Organisation: "lys", Key: testKey(base, 1), Attempt: "own", Deadline: base.Add(4 * time.Second), AllowResend: resend,
		})
		now, sends, notRun, won := base, 0, false, false
		c.Handle(now, Event{Kind: EventStart})
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before, e := c.Phase(), drawEvent(t)
			o := c.Handle(now, e)
			won = won || (before == PhaseClaiming && e.Kind == EventDecided && e.Decision.Verdict == Won)
			if o.AllowSend {
				sends++
			}
			voids := o.AppendUntilStored != nil && o.AppendUntilStored.Kind == record.ClaimVoid
			switch {
			case o.AllowSend && (notRun || !now.Before(base.Add(4*time.Second))):
				t.Fatalf("sent after %v, earlier result NotRun: %v", now.Sub(base), notRun)
			case o.AllowSend && !won && !resend:
				t.Fatal("sent without a claim that won")
			case sends > 1 && !resend:
				t.Fatal("sent twice")
			case sends > 0 && (voids || o.Result == NotRun):
				t.Fatalf("output after a send: %+v", o)
			case sends > 0 && o.Result != "" && o.Result != Finished && o.Result != OutcomeUnknown:
				t.Fatalf("result %s after a send", o.Result)
			case before == PhaseClosed && (o.Result != "" || o.AppendUntilStored != nil || o.AppendOnce != nil):
				t.Fatalf("output of a closed attempt: %+v", o)
			}
			notRun = notRun || o.Result == NotRun
		}
	})
}
