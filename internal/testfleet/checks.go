package testfleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// billExportTimeout bounds the wait for the bills of ended instances to reach the log.
const billExportTimeout = 10 * time.Second

// logReplyLoss makes the log lose the replies to its next three calls.
var logReplyLoss = standin.Faults{LoseReplies: 3}

// checkResult is the outcome of the check of one invariant.
type checkResult struct {
	name, observed string
	ok             bool
}

// checkResults collects the outcomes of the checks of a run.
type checkResults struct{ list []checkResult }

func (c *checkResults) add(name string, ok bool, format string, a ...any) {
	c.list = append(c.list, checkResult{name, fmt.Sprintf(format, a...), ok})
}

func (c *checkResults) err() error {
	var errs []error
	for _, r := range c.list {
		if !r.ok {
			errs = append(errs, fmt.Errorf("check %s failed: %s", r.name, r.observed))
		}
	}
	return errors.Join(errs...)
}

// checkInvariants checks the responses of callers, the work that endpoints ran and the exported bills.
func (s *scenario) checkInvariants(ctx context.Context) error {
	complete, refused, failed := s.groupResponses()
	var reasons []string
	for _, a := range failed {
		reasons = append(reasons, fmt.Sprint(a.err))
	}
	slices.Sort(reasons)
	s.results.add("whole-answer", len(failed) == 0, "%d whole, %d refused (%s), %d broken %s",
		len(complete), len(refused), countByCode(refused), len(failed), strings.Join(slices.Compact(reasons), "; "))
	s.results.add("allowed-version", s.fleet.startedAnswers(disallowedVersion) == 0, "a version that no profile allows ran %d times", s.fleet.startedAnswers(disallowedVersion))
	n := s.fleet.startedAnswers("small@2")
	s.results.add("withdrawn-version", n == s.withdrawnVersionStarts && n > 0, "ran %d times until withdrawn, %d times after", s.withdrawnVersionStarts, n-s.withdrawnVersionStarts)
	n = sum(s.fleet.Engines["engine-b-0"].AnswerCounts())
	s.results.add("leaving-endpoint", n == s.leavingEndpointStarts && n > 0, "ran %d requests until it left, %d after", s.leavingEndpointStarts, n-s.leavingEndpointStarts)
	s.results.add("graceful-stop", len(failed) == 0, "an instance stopped and was replaced under load; %d answers cut off", len(failed))
	if err := s.checkBills(ctx, complete, refused); err != nil {
		return err
	}
	return s.checkConfigUpdate(ctx)
}

// countByCode lists each refusal code with its number of refusals.
func countByCode(l []response) string {
	m := map[client.Code]int{}
	for _, a := range l {
		m[a.refusal.Code]++
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}

// groupResponses splits the recorded responses into complete answers, refusals and failures.
func (s *scenario) groupResponses() (complete, refused, failed []response) {
	for _, a := range s.recorder.responses {
		switch {
		case a.complete:
			complete = append(complete, a)
		case a.refusal != nil:
			refused = append(refused, a)
		default:
			failed = append(failed, a)
		}
	}
	return complete, refused, failed
}

// checkBills checks that each complete answer has exactly one bill, that no refusal marked as not run was billed and that
// the limited organisation got no more answers than its limit allows.
func (s *scenario) checkBills(ctx context.Context, complete, refused []response) error {
	bills, err := s.exportBills(ctx, len(requestKeys(complete)))
	if err != nil {
		return err
	}
	missing, limited := 0, 0
	for k := range requestKeys(complete) {
		if bills[k] != 1 {
			missing++
		}
	}
	wronglyRefused := 0
	for _, a := range refused {
		if a.refusal.NotRun && bills[a.key] > 0 && !requestKeys(complete)[a.key] {
			wronglyRefused++
		}
	}
	for _, a := range complete {
		if a.org == "kallisto-unpaid" {
			limited++
		}
	}
	limit := organisations["kallisto-unpaid"].Limits[0].Amount
	s.results.add("billed-once", missing == 0 && len(bills) == len(requestKeys(complete)), "%d answers, %d bills, %d answers without exactly one", len(requestKeys(complete)), len(bills), missing)
	s.results.add("not-run-is-true", wronglyRefused == 0, "%d of %d refusals that said not-run were billed", wronglyRefused, len(refused))
	s.results.add("entitlement", int64(limited) <= limit, "%d answers at a limit of %d", limited, limit)
	return nil
}

// requestKeys returns the set of idempotency keys of responses.
func requestKeys(l []response) map[string]bool {
	m := map[string]bool{}
	for _, a := range l {
		m[a.key] = true
	}
	return m
}

// exportBills returns the number of bills for each idempotency key. It exports again until want keys have a bill or
// billExportTimeout has passed.
func (s *scenario) exportBills(ctx context.Context, want int) (map[string]int, error) {
	var r client.BillsReply
	m := map[string]int{}
	for end := time.Now().Add(billExportTimeout); len(m) < want && time.Now().Before(end); sleep(ctx, 100*time.Millisecond) {
		var err error
		if r, err = s.fleet.OperatorClient("instance-a").Bills(ctx, 0); err != nil {
			return nil, fmt.Errorf("export bills: %w", err)
		}
		clear(m)
		for _, b := range r.Bills {
			m[b.Key]++
		}
	}
	s.results.addCost(r.Bills, s.recorder.responses)
	return m, nil
}

// addCost compares the billed cost of chat answers with their cost on the best model. The row is printed only and never
// fails.
func (c *checkResults) addCost(l []record.Bill, answers []response) {
	var cost, bestModelCost record.Micros
	for _, b := range l {
		if b.Service == "" {
			cost += b.Cost
		}
	}
	for _, a := range answers {
		if a.complete {
			bestModelCost += a.bestModelCost()
		}
	}
	c.list = slices.DeleteFunc(c.list, func(r checkResult) bool { return r.name == "cost" })
	share := 0.0
	if bestModelCost > 0 {
		share = 100 * float64(cost) / float64(bestModelCost)
	}
	c.add("cost", true, "%d micros, %.0f %% of always asking the best model (%d)", cost, share, bestModelCost)
}

// checkConfigUpdate publishes a profile at one instance and checks that every instance applies it and that a concurrent
// change on the same base revision is rejected.
func (s *scenario) checkConfigUpdate(ctx context.Context) error {
	o := s.fleet.OperatorClient("instance-a")
	p, err := o.Profile(ctx, "lysror-depot")
	if err != nil {
		return fmt.Errorf("read profile: %w", err)
	}
	change := client.ProfileChange{Base: p.Revision, Profile: p.Profile}
	start := time.Now()
	if _, err := o.PublishProfile(ctx, change); err != nil {
		return fmt.Errorf("publish profile: %w", err)
	}
	_, conflictErr := s.fleet.OperatorClient("instance-c").PublishProfile(ctx, change)
	var e *client.Error
	rejected := errors.As(conflictErr, &e)
	if err := s.fleet.waitUntilInForce(ctx, o); err != nil {
		return err
	}
	took := time.Since(start)
	s.results.add("config-in-force", rejected && took < 5*time.Second, "in force on %d instances after %v; concurrent change rejected: %v",
		len(s.fleet.Instances), took.Round(time.Millisecond), rejected)
	return nil
}

// printReport prints the sample requests, the latencies and the outcome of each check.
func (s *scenario) printReport(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORK\tRESULT\tVERSION\tTIME")
	for _, row := range s.samples {
		result := "whole"
		if row.response.refusal != nil {
			result = string(row.response.refusal.Code)
		} else if !row.response.complete {
			result = fmt.Sprint(row.response.err)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", row.name, result, row.response.version, row.response.duration.Round(time.Millisecond))
	}
	_ = t.Flush()
	fmt.Fprintf(out, "\n%d requests; whole answers p50 %.1f ms, p99 %.1f ms; first byte p50 %.1f ms, p99 %.1f ms (printed only, not checked)\n\n",
		len(s.recorder.responses), milliseconds(s.recorder.durations.ValueAtQuantile(50)), milliseconds(s.recorder.durations.ValueAtQuantile(99)),
		milliseconds(s.recorder.firstBytes.ValueAtQuantile(50)), milliseconds(s.recorder.firstBytes.ValueAtQuantile(99)))
	t = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CHECK\tHOLDS\tSEEN")
	for _, r := range s.results.list {
		holds := "yes"
		if !r.ok {
			holds = "NO"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", r.name, holds, r.observed)
	}
	_ = t.Flush()
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
