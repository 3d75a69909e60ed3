package trial

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

// billsTimeout bounds the wait for the bills of ended instances to reach the log.
const billsTimeout = 10 * time.Second

var logLosesReplies = standin.Faults{LoseReplies: 3}

// check is one invariant and what was seen.
type check struct {
	name, seen string
	ok         bool
}

type checks struct{ l []check }

func (c *checks) add(name string, ok bool, format string, a ...any) {
	c.l = append(c.l, check{name, fmt.Sprintf(format, a...), ok})
}

func (c *checks) err() error {
	var l []error
	for _, k := range c.l {
		if !k.ok {
			l = append(l, fmt.Errorf("%s is broken: %s", k.name, k.seen))
		}
	}
	return errors.Join(l...)
}

// judge checks the invariants on what callers got, what endpoints ran and what was billed.
func (s *scenario) judge(ctx context.Context) error {
	whole, refused, broken := s.sort()
	var why []string
	for _, a := range broken {
		why = append(why, fmt.Sprint(a.err))
	}
	slices.Sort(why)
	s.checks.add("whole-answer", len(broken) == 0, "%d whole, %d refused (%s), %d broken %s",
		len(whole), len(refused), codes(refused), len(broken), strings.Join(slices.Compact(why), "; "))
	s.checks.add("allowed-version", s.w.served(unlisted) == 0, "a version that no profile allows ran %d times", s.w.served(unlisted))
	n := s.w.served("small@2")
	s.checks.add("withdrawn-version", n == s.withdrawnServed && n > 0, "ran %d times until withdrawn, %d times after", s.withdrawnServed, n-s.withdrawnServed)
	n = total(s.w.Engines["engine-b-0"].AnswerCounts())
	s.checks.add("leaving-endpoint", n == s.leavingServed && n > 0, "ran %d requests until it left, %d after", s.leavingServed, n-s.leavingServed)
	s.checks.add("graceful-stop", len(broken) == 0, "an instance stopped and was replaced under load; %d answers cut off", len(broken))
	if err := s.judgeBills(ctx, whole, refused); err != nil {
		return err
	}
	return s.judgeConfig(ctx)
}

// codes counts refusals by code.
func codes(l []answered) string {
	m := map[client.Code]int{}
	for _, a := range l {
		m[a.refused.Code]++
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}

// sort splits what callers got.
func (s *scenario) sort() (whole, refused, broken []answered) {
	for _, a := range s.b.answers {
		switch {
		case a.whole:
			whole = append(whole, a)
		case a.refused != nil:
			refused = append(refused, a)
		default:
			broken = append(broken, a)
		}
	}
	return whole, refused, broken
}

func (s *scenario) judgeBills(ctx context.Context, whole, refused []answered) error {
	bills, err := s.bills(ctx, len(keys(whole)))
	if err != nil {
		return err
	}
	missing, unpaid := 0, 0
	for k := range keys(whole) {
		if bills[k] != 1 {
			missing++
		}
	}
	falsely := 0
	for _, a := range refused {
		if a.refused.NotRun && bills[a.key] > 0 && !keys(whole)[a.key] {
			falsely++
		}
	}
	for _, a := range whole {
		if a.org == "kallisto-unpaid" {
			unpaid++
		}
	}
	limit := organisations["kallisto-unpaid"].Limits[0].Amount
	s.checks.add("billed-once", missing == 0 && len(bills) == len(keys(whole)), "%d answers, %d bills, %d answers without exactly one", len(keys(whole)), len(bills), missing)
	s.checks.add("not-run-is-true", falsely == 0, "%d of %d refusals that said not-run were billed", falsely, len(refused))
	s.checks.add("entitlement", int64(unpaid) <= limit, "%d answers at a limit of %d", unpaid, limit)
	return nil
}

func keys(l []answered) map[string]bool {
	m := map[string]bool{}
	for _, a := range l {
		m[a.key] = true
	}
	return m
}

// bills exports the bills and counts them by key, waiting until as many as expected have reached the log.
func (s *scenario) bills(ctx context.Context, want int) (map[string]int, error) {
	var r client.BillsReply
	m := map[string]int{}
	for end := time.Now().Add(billsTimeout); len(m) < want && time.Now().Before(end); pause(ctx, 100*time.Millisecond) {
		var err error
		if r, err = s.w.Operator("instance-a").Bills(ctx, 0); err != nil {
			return nil, fmt.Errorf("bills: %w", err)
		}
		clear(m)
		for _, b := range r.Bills {
			m[b.Key]++
		}
	}
	s.checks.cost(r.Bills, s.b.answers)
	return m, nil
}

// cost notes what the answers cost against always asking the best model; it is printed and not judged.
func (c *checks) cost(l []record.Bill, answers []answered) {
	var cost, best record.Micros
	for _, b := range l {
		if b.Service == "" {
			cost += b.Cost
		}
	}
	for _, a := range answers {
		if a.whole {
			best += a.best()
		}
	}
	c.l = slices.DeleteFunc(c.l, func(k check) bool { return k.name == "cost" })
	share := 0.0
	if best > 0 {
		share = 100 * float64(cost) / float64(best)
	}
	c.add("cost", true, "%d micros, %.0f %% of always asking the best model (%d)", cost, share, best)
}

// judgeConfig publishes at one instance and checks that all have it in force and that a racing change loses.
func (s *scenario) judgeConfig(ctx context.Context) error {
	o := s.w.Operator("instance-a")
	p, err := o.Profile(ctx, "lysror-depot")
	if err != nil {
		return fmt.Errorf("profile: %w", err)
	}
	change := client.ProfileChange{Base: p.Revision, Profile: p.Profile}
	start := time.Now()
	if _, err := o.PublishProfile(ctx, change); err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	_, raced := s.w.Operator("instance-c").PublishProfile(ctx, change)
	var e *client.Error
	lost := errors.As(raced, &e)
	if err := s.w.inForce(ctx, o); err != nil {
		return err
	}
	took := time.Since(start)
	s.checks.add("config-in-force", lost && took < 5*time.Second, "in force on %d instances after %v; a racing change lost: %v",
		len(s.w.Members), took.Round(time.Millisecond), lost)
	return nil
}

func (s *scenario) print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORK\tRESULT\tVERSION\tTIME")
	for _, x := range s.samples {
		result := "whole"
		if x.a.refused != nil {
			result = string(x.a.refused.Code)
		} else if !x.a.whole {
			result = fmt.Sprint(x.a.err)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\n", x.name, result, x.a.version, x.a.took.Round(time.Millisecond))
	}
	_ = t.Flush()
	fmt.Fprintf(out, "\n%d requests; whole answers p50 %.1f ms, p99 %.1f ms; first byte p50 %.1f ms, p99 %.1f ms (printed, not judged)\n\n",
		len(s.b.answers), ms(s.b.total.ValueAtQuantile(50)), ms(s.b.total.ValueAtQuantile(99)),
		ms(s.b.first.ValueAtQuantile(50)), ms(s.b.first.ValueAtQuantile(99)))
	t = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CHECK\tHOLDS\tSEEN")
	for _, k := range s.checks.l {
		holds := "yes"
		if !k.ok {
			holds = "NO"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", k.name, holds, k.seen)
	}
	_ = t.Flush()
}

func ms(us int64) float64 { return float64(us) / 1000 }
