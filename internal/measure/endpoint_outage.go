package measure

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

// Start and end of the simulated outage.
const (
	outageStart = 60 * time.Second
	outageEnd   = 90 * time.Second
)

// outageTable measures the attempts per request during a full outage of the pool and the recovery after it.
func outageTable(seed uint64, capacity float64) Table {
	t := Table{
		Name:    "full outage of the pool for 30 s at 0.8x",
		Columns: []string{"failure", "policy", "attempts/request", "retries/first", "recovered-after", "goodput/s-before", "goodput/s-after", "ejections-after"},
		Notes: []string{
			"requests that are refused for lack of endpoints have no attempt; retries may also come from the saved burst of 10 for each instance",
			"attempts per request are from the start of the outage to its end; target 1.1",
			"recovered: the first second from which the good share of requests stays at 90 % of that before, over 5 s; ejections are counted from 5 s after the end",
		},
	}
	for _, errorStatus := range []bool{false, true} {
		for _, name := range []string{"least-outstanding", "no retry ratio", "table+admission"} {
			t.Rows = append(t.Rows, outageRow(seed, 0.8*capacity, errorStatus, name))
		}
	}
	return t
}

func outageRow(seed uint64, rate float64, errorStatus bool, name string) []string {
	p := newPoolRouter(name, seed)
	if name == "no retry ratio" {
		unlimited := newTableRouter(endpoint.DefaultSettings(lysroerSettings().Instances), seed)
		unlimited.unlimitedRetries = true
		p = unlimited
	}
	r := simulatePool(seed, rate, p, func(s *poolSettings) {
		s.Outage = outage{outageStart, outageEnd, errorStatus}
		s.ArrivalTime = 180 * time.Second
	})
	failure := "died"
	if errorStatus {
		failure = "error status"
	}
	ejections := "-"
	if p, ok := p.(*tableRouter); ok {
		ejections = fmt.Sprint(sumSeconds(p.ejections, outageEnd+5*time.Second, 180*time.Second))
	}
	return []string{
		failure, name, formatAttemptsPerRequest(r, outageStart, outageEnd), formatRetriesPerFirstAttempt(r, outageStart, outageEnd),
		recoveryTime(r), formatRate(r.withinTargetAt, 30*time.Second, outageStart), formatRate(r.withinTargetAt, outageEnd+10*time.Second, outageEnd+60*time.Second),
		ejections,
	}
}

func formatAttemptsPerRequest(r *poolResult, from, to time.Duration) string {
	return fmt.Sprintf("%.3f", ratio(sumSeconds(r.attemptsAt, from, to), sumSeconds(r.requestsAt, from, to)))
}

func formatRetriesPerFirstAttempt(r *poolResult, from, to time.Duration) string {
	firstAttempts := sumSeconds(r.firstAttemptsAt, from, to)
	return fmt.Sprintf("%.3f", ratio(sumSeconds(r.attemptsAt, from, to)-firstAttempts, firstAttempts))
}

// formatRate returns the rate per second of the counts between two times.
func formatRate(l []int, from, to time.Duration) string {
	return fmt.Sprintf("%.1f", float64(sumSeconds(l, from, to))/(to-from).Seconds())
}

// recoveryTime returns the time from the end of the outage until the share of requests answered within the target stays
// at 90 % of the share before. It compares shares, because the number of arrivals varies by more than 10 %.
func recoveryTime(r *poolResult) string {
	const window = 5 * time.Second
	before := ratio(sumSeconds(r.withinTargetAt, 30*time.Second, outageStart), sumSeconds(r.requestsAt, 30*time.Second, outageStart))
	recoveredAt := outageEnd
	for at := outageEnd; at <= outageEnd+60*time.Second; at += time.Second {
		if ratio(sumSeconds(r.withinTargetAt, at, at+window), sumSeconds(r.requestsAt, at, at+window)) < 0.9*before {
			recoveredAt = at + time.Second
		}
	}
	if recoveredAt > outageEnd+60*time.Second {
		return "not within 60s"
	}
	return (recoveredAt - outageEnd).String()
}
