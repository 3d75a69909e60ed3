package trial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	loadWorkers = 12
	loadTime    = 5 * time.Second
	// unlisted is an active version that every engine serves, the cheapest one, and no profile allows.
	unlisted = "private@1"
)

// Options of a run.
type Options struct {
	EventsDir string
	Logger    *zap.Logger
	Seed      uint64
}

// scenario is one run.
type scenario struct {
	w       *World
	b       *book
	seed    uint64
	checks  checks
	samples []sample
	// withdrawnServed is how often the withdrawn version had run when its withdrawal was in force everywhere.
	withdrawnServed int
	leavingServed   int
}

// sample is a row of the table of sample work.
type sample struct {
	name string
	a    answered
}

// Run runs the sample work, prints a table and returns an error if an invariant was broken.
func Run(ctx context.Context, out io.Writer, o Options) error {
	w, err := NewWorld(ctx, Settings{
		Zones: []string{"a", "b", "c"}, Engines: 2, Versions: []string{"small@1", "large@1", unlisted},
		Services: []string{"booking", "print"}, EventsDir: o.EventsDir, Logger: o.Logger, Adjust: quick,
	})
	if err != nil {
		return err
	}
	s := &scenario{w: w, b: newBook(), seed: o.Seed}
	err = s.run(ctx)
	err = errors.Join(err, w.Close())
	if err != nil {
		return fmt.Errorf("try: %w", err)
	}
	s.print(out)
	return s.checks.err()
}

// quick shortens the waits that protect a real fleet from pauses, so that the sample run stays short.
func quick(o *instance.Options) {
	o.Ledger.Bills.AdoptAfter, o.Ledger.FlushTimeout = time.Second, 3*time.Second
	o.Loading.Enabled, o.Loading.ObserveInterval, o.Loading.PollInterval = true, 100*time.Millisecond, 200*time.Millisecond
}

func (s *scenario) run(ctx context.Context) error {
	if err := s.w.Ready(ctx); err != nil {
		return err
	}
	if err := Publish(ctx, s.w); err != nil {
		return err
	}
	s.sampleWork(ctx)
	if err := s.underLoad(ctx); err != nil {
		return err
	}
	s.exhaust(ctx)
	return s.judge(ctx)
}

// sampleWork sends one of each kind of work of both deployments.
func (s *scenario) sampleWork(ctx context.Context) {
	base := s.w.bases()
	long := "Dossier 7 tokens=400 " + strings.Repeat("mercury handling record ", 400)
	s.sample("long dossier report", s.w.ask(ctx, base[0], chat{org: "lysror-1", profile: "lysror-reports", prompt: long, stream: true}))
	s.sample("depot question", s.w.ask(ctx, base[1], chat{org: "lysror-2", profile: "lysror-depot", prompt: "Where is depot 4? tokens=20 "}))
	s.sample("proof", s.w.ask(ctx, base[2], chat{org: "kallisto-1", profile: "kallisto-proofs", prompt: "Proof 1 tokens=40 rose", stream: true}))
	topper := newKey()
	s.sample("print order", s.w.order(ctx, base[0], "kallisto-1", "print", topper))

	key, twin := newKey(), make(chan answered)
	go func() { twin <- s.w.order(ctx, base[1], "lysror-1", "booking", key) }()
	s.sample("collection order", s.w.order(ctx, base[0], "lysror-1", "booking", key))
	s.sample("the same order again", <-twin)
	booked, printed := s.w.runs("booking", key), s.w.runs("print", topper)
	s.checks.add("at-most-once", booked == 1 && printed == 1, "the collection order sent twice ran %d time(s), the print order %d", booked, printed)
}

func (s *scenario) sample(name string, a answered) {
	s.samples = append(s.samples, sample{name, s.b.add(a)})
}

// runs returns how often an order ran over all endpoints of a service.
func (w *World) runs(service, key string) int {
	n := 0
	for _, e := range w.Services[service] {
		n += e.RunCounts()[key]
	}
	return n
}

// underLoad changes and breaks things while all organisations send work.
func (s *scenario) underLoad(ctx context.Context) error {
	load, stop := context.WithTimeout(ctx, loadTime)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.w.load(load, s.b, loadWorkers, s.seed)
	}()
	err := s.disturb(ctx)
	<-done
	return err
}

func (s *scenario) disturb(ctx context.Context) error {
	base := s.w.Members["instance-a"].Callers
	turn := func(token string) answered {
		return s.b.add(s.w.ask(ctx, base, chat{org: "lysror-1", profile: "lysror-intake", prompt: "Turn tokens=12 ", session: token}))
	}
	first := turn("new")
	pause(ctx, 500*time.Millisecond)
	s.w.Engines["engine-a-0"].Close() // fails an endpoint half way through its answers
	pause(ctx, 400*time.Millisecond)
	o := s.w.Operator("instance-a")
	if err := RollOut(ctx, o, "small@2", []record.Stage{{Share: 0.3, MinSamples: 1_000_000}}); err != nil {
		return err
	}
	pause(ctx, 700*time.Millisecond)
	second := turn(first.session)
	s.leave()
	if err := s.withdraw(ctx, o, "small@2"); err != nil {
		return err
	}
	third := turn(second.session)
	kept := first.version != "" && first.version == second.version && second.version == third.version
	s.checks.add("session-version", kept, "three turns ran on %s, %s, %s", first.version, second.version, third.version)
	if err := s.w.Stop("instance-b"); err != nil {
		return err
	}
	pause(ctx, 300*time.Millisecond)
	s.w.Platform.Log.SetFaults(logLosesReplies)
	pause(ctx, 300*time.Millisecond)
	if _, err := s.w.AddMember(ctx, "instance-d", "b"); err != nil {
		return err
	}
	return nil
}

// leave marks an endpoint as leaving on the platform's list and in its own answers.
func (s *scenario) leave() {
	const id = "engine-b-0"
	l, _ := s.w.Platform.InstanceList.Instances(context.Background())
	for _, i := range l {
		if i.ID == id {
			i.Leaving = true
			s.w.Platform.InstanceList.Put(i)
		}
	}
	s.w.Engines[id].AnnounceLeaving()
}

// withdraw withdraws a version and notes how often it had run when that was in force everywhere.
func (s *scenario) withdraw(ctx context.Context, o *client.Operator, name string) error {
	l, err := o.Versions(ctx)
	if err != nil {
		return fmt.Errorf("versions: %w", err)
	}
	for _, v := range l.Versions {
		if v.Name != name {
			continue
		}
		if _, err := o.ChangeVersion(ctx, name, client.ActionWithdraw, client.VersionChange{Base: v.Revision, Reason: "sample"}); err != nil {
			return fmt.Errorf("withdraw: %w", err)
		}
	}
	if err := s.w.inForce(ctx, o); err != nil {
		return err
	}
	pause(ctx, 100*time.Millisecond)
	s.withdrawnServed = s.w.served(name)
	s.leavingServed = total(s.w.Engines["engine-b-0"].AnswerCounts())
	return nil
}

func total(m map[string]int) int {
	n := 0
	for _, c := range m {
		n += c
	}
	return n
}

// served returns how many answers of a version were started on all engines.
func (w *World) served(version string) int {
	n := 0
	for _, e := range w.Engines {
		n += e.AnswerCounts()[version]
	}
	return n
}

// exhaust sends more than an organisation with a limit is entitled to, at all instances at once.
func (s *scenario) exhaust(ctx context.Context) {
	const requests = 12
	l, out := s.w.bases(), make(chan answered)
	for n := range requests {
		go func() {
			out <- s.w.ask(ctx, l[n%len(l)], chat{org: "kallisto-unpaid", profile: "kallisto-proofs", prompt: fmt.Sprintf("Unpaid %d tokens=8 ", n)})
		}()
	}
	for range requests {
		s.b.add(<-out)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
