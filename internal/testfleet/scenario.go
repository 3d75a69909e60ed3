package testfleet

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
	loadWorkers  = 12
	loadDuration = 5 * time.Second
	// disallowedVersion is active on every engine and cheaper than all others, but no profile allows it.
	disallowedVersion = "private@1"
)

// RunOptions configures Run.
type RunOptions struct {
	EventsDir string      // directory of the event files; empty records no events
	Logger    *zap.Logger // optional
	Seed      uint64      // seed for the random requests under load
}

// scenario holds the fleet and the results of one run.
type scenario struct {
	fleet    *Fleet
	recorder *recorder
	seed     uint64
	results  checkResults
	samples  []sampleRow
	// withdrawnVersionStarts counts the answers that the withdrawn version had started when every instance had applied
	// its withdrawal.
	withdrawnVersionStarts int
	// leavingEndpointStarts counts the answers that the leaving endpoint had started by that time.
	leavingEndpointStarts int
}

// sampleRow is a row of the table of sample requests.
type sampleRow struct {
	name     string
	response response
}

// Run starts a fleet, sends the sample requests, prints the results and returns an error if a check fails.
func Run(ctx context.Context, out io.Writer, o RunOptions) error {
	f, err := New(ctx, Config{
		AvailabilityZones: []string{"a", "b", "c"}, EnginesPerZone: 2, EngineVersions: []string{"small@1", "large@1", disallowedVersion},
		Services: []string{"booking", "print"}, EventsDir: o.EventsDir, Logger: o.Logger, AdjustOptions: shortenTimeouts,
	})
	if err != nil {
		return err
	}
	s := &scenario{fleet: f, recorder: newRecorder(), seed: o.Seed}
	err = s.run(ctx)
	err = errors.Join(err, f.Close())
	if err != nil {
		return fmt.Errorf("try: %w", err)
	}
	s.printReport(out)
	return s.results.err()
}

// shortenTimeouts shortens the timeouts that let a production fleet tolerate pauses, so that a run stays short.
func shortenTimeouts(o *instance.Options) {
	o.Ledger.Bills.AdoptAfter, o.Ledger.FlushTimeout = time.Second, 3*time.Second
	o.Loading.Enabled, o.Loading.ObserveInterval, o.Loading.PollInterval = true, 100*time.Millisecond, 200*time.Millisecond
}

func (s *scenario) run(ctx context.Context) error {
	if err := s.fleet.WaitUntilReady(ctx); err != nil {
		return err
	}
	if err := PublishSamples(ctx, s.fleet); err != nil {
		return err
	}
	s.sendSamples(ctx)
	if err := s.runUnderLoad(ctx); err != nil {
		return err
	}
	s.exceedLimit(ctx)
	return s.checkInvariants(ctx)
}

// sendSamples sends one request of each kind for both sample deployments.
func (s *scenario) sendSamples(ctx context.Context) {
	urls := s.fleet.callerURLs()
	long := "Dossier 7 tokens=400 " + strings.Repeat("mercury handling record ", 400)
	s.addSample("long dossier report", s.fleet.sendChat(ctx, urls[0], chatRequest{org: "lysror-1", profile: "lysror-reports", prompt: long, stream: true}))
	s.addSample("depot question", s.fleet.sendChat(ctx, urls[1], chatRequest{org: "lysror-2", profile: "lysror-depot", prompt: "Where is depot 4? tokens=20 "}))
	s.addSample("proof", s.fleet.sendChat(ctx, urls[2], chatRequest{org: "kallisto-1", profile: "kallisto-proofs", prompt: "Proof 1 tokens=40 rose", stream: true}))
	printKey := newIdempotencyKey()
	s.addSample("print order", s.fleet.sendOrder(ctx, urls[0], "kallisto-1", "print", printKey))

	key, duplicate := newIdempotencyKey(), make(chan response)
	go func() { duplicate <- s.fleet.sendOrder(ctx, urls[1], "lysror-1", "booking", key) }()
	s.addSample("collection order", s.fleet.sendOrder(ctx, urls[0], "lysror-1", "booking", key))
	s.addSample("the same order again", <-duplicate)
	bookingRuns, printRuns := s.fleet.orderRuns("booking", key), s.fleet.orderRuns("print", printKey)
	s.results.add("at-most-once", bookingRuns == 1 && printRuns == 1, "the collection order sent twice ran %d time(s), the print order %d", bookingRuns, printRuns)
}

func (s *scenario) addSample(name string, a response) {
	s.samples = append(s.samples, sampleRow{name, s.recorder.add(a)})
}

// orderRuns returns how often the endpoints of a service ran an order.
func (f *Fleet) orderRuns(service, key string) int {
	n := 0
	for _, e := range f.Services[service] {
		n += e.RunCounts()[key]
	}
	return n
}

// runUnderLoad injects faults and changes while the sample organisations send requests.
func (s *scenario) runUnderLoad(ctx context.Context) error {
	loadCtx, stop := context.WithTimeout(ctx, loadDuration)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.fleet.sendLoad(loadCtx, s.recorder, loadWorkers, s.seed)
	}()
	err := s.injectFaultsAndChanges(ctx)
	<-done
	return err
}

// injectFaultsAndChanges makes an endpoint fail and another leave, rolls a version out and withdraws it, replaces an
// instance and makes the log lose replies. It checks that a session keeps its version meanwhile.
func (s *scenario) injectFaultsAndChanges(ctx context.Context) error {
	url := s.fleet.Instances["instance-a"].CallerURL
	sendTurn := func(token string) response {
		return s.recorder.add(s.fleet.sendChat(ctx, url, chatRequest{org: "lysror-1", profile: "lysror-intake", prompt: "Turn tokens=12 ", session: token}))
	}
	first := sendTurn("new")
	sleep(ctx, 500*time.Millisecond)
	s.fleet.Engines["engine-a-0"].Close() // fails an endpoint while it streams answers
	sleep(ctx, 400*time.Millisecond)
	o := s.fleet.OperatorClient("instance-a")
	if err := RollOut(ctx, o, "small@2", []record.Stage{{Share: 0.3, MinSamples: 1_000_000}}); err != nil {
		return err
	}
	sleep(ctx, 700*time.Millisecond)
	second := sendTurn(first.session)
	s.markEndpointLeaving()
	if err := s.withdrawVersion(ctx, o, "small@2"); err != nil {
		return err
	}
	third := sendTurn(second.session)
	sameVersion := first.version != "" && first.version == second.version && second.version == third.version
	s.results.add("session-version", sameVersion, "three turns ran on %s, %s, %s", first.version, second.version, third.version)
	if err := s.fleet.StopInstance("instance-b"); err != nil {
		return err
	}
	sleep(ctx, 300*time.Millisecond)
	s.fleet.Platform.Log.SetFaults(logReplyLoss)
	sleep(ctx, 300*time.Millisecond)
	if _, err := s.fleet.AddInstance(ctx, "instance-d", "b"); err != nil {
		return err
	}
	return nil
}

// markEndpointLeaving marks an endpoint as leaving in the platform's instance list and in its own responses.
func (s *scenario) markEndpointLeaving() {
	const id = "engine-b-0"
	l, _ := s.fleet.Platform.InstanceList.Instances(context.Background())
	for _, i := range l {
		if i.ID == id {
			i.Leaving = true
			s.fleet.Platform.InstanceList.Put(i)
		}
	}
	s.fleet.Engines[id].AnnounceLeaving()
}

// withdrawVersion withdraws a version, waits until every instance has applied the withdrawal and records the number of
// answers started until then.
func (s *scenario) withdrawVersion(ctx context.Context, o *client.Operator, name string) error {
	l, err := o.Versions(ctx)
	if err != nil {
		return fmt.Errorf("list versions: %w", err)
	}
	for _, v := range l.Versions {
		if v.Name != name {
			continue
		}
		if _, err := o.ChangeVersion(ctx, name, client.ActionWithdraw, client.VersionChange{Base: v.Revision, Reason: "sample"}); err != nil {
			return fmt.Errorf("withdraw version: %w", err)
		}
	}
	if err := s.fleet.waitUntilInForce(ctx, o); err != nil {
		return err
	}
	sleep(ctx, 100*time.Millisecond)
	s.withdrawnVersionStarts = s.fleet.startedAnswers(name)
	s.leavingEndpointStarts = sum(s.fleet.Engines["engine-b-0"].AnswerCounts())
	return nil
}

func sum(m map[string]int) int {
	n := 0
	for _, c := range m {
		n += c
	}
	return n
}

// startedAnswers returns the number of answers of a version that the engines have started.
func (f *Fleet) startedAnswers(version string) int {
	n := 0
	for _, e := range f.Engines {
		n += e.AnswerCounts()[version]
	}
	return n
}

// exceedLimit sends more requests than an organisation's limit allows, to all instances concurrently.
func (s *scenario) exceedLimit(ctx context.Context) {
	const requests = 12
	urls, out := s.fleet.callerURLs(), make(chan response)
	for n := range requests {
		go func() {
			out <- s.fleet.sendChat(ctx, urls[n%len(urls)], chatRequest{org: "kallisto-unpaid", profile: "kallisto-proofs", prompt: fmt.Sprintf("Unpaid %d tokens=8 ", n)})
		}()
	}
	for range requests {
		s.recorder.add(<-out)
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
