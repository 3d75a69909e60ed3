package measure

import (
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

// Times of the outage in its histories.
const (
	outageFrom = 60 * time.Second
	outageTo   = 90 * time.Second
)

// outageTable measures a full outage of a pool: attempts per request during it and the recovery after it.
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
	for _, status := range []bool{false, true} {
		for _, name := range []string{"least-outstanding", "no retry ratio", "table+admission"} {
			t.Rows = append(t.Rows, outageRow(seed, 0.8*capacity, status, name))
		}
	}
	return t
}

func outageRow(seed uint64, rate float64, status bool, name string) []string {
	p := poolPolicy(name, seed)
	if name == "no retry ratio" {
		u := newTabled(endpoint.DefaultSettings(lysroer().Instances), seed)
		u.unbudgeted = true
		p = u
	}
	r := runPool(seed, rate, p, func(s *poolSettings) {
		s.Outage = outage{outageFrom, outageTo, status}
		s.Length = 180 * time.Second
	})
	failure := "died"
	if status {
		failure = "error status"
	}
	ejections := "-"
	if p, ok := p.(*tabled); ok {
		ejections = fmt.Sprint(between(p.ejections, outageTo+5*time.Second, 180*time.Second))
	}
	return []string{
		failure, name, attemptsPerRequest(r, outageFrom, outageTo), retriesPerFirst(r, outageFrom, outageTo),
		recovery(r), rateBetween(r.goodAt, 30*time.Second, outageFrom), rateBetween(r.goodAt, outageTo+10*time.Second, outageTo+60*time.Second),
		ejections,
	}
}

func attemptsPerRequest(r *poolResult, from, to time.Duration) string {
	return fmt.Sprintf("%.3f", share(between(r.attemptsAt, from, to), between(r.requestsAt, from, to)))
}

func retriesPerFirst(r *poolResult, from, to time.Duration) string {
	firsts := between(r.firstsAt, from, to)
	return fmt.Sprintf("%.3f", share(between(r.attemptsAt, from, to)-firsts, firsts))
}

func rateBetween(l []int, from, to time.Duration) string {
	return fmt.Sprintf("%.1f", float64(between(l, from, to))/(to-from).Seconds())
}

// recovery returns the time after the outage from which the share of good answers stays near the one before it. The
// share and not the number is compared, because the number of arrivals varies by more than a tenth.
func recovery(r *poolResult) string {
	const window = 5 * time.Second
	before := share(between(r.goodAt, 30*time.Second, outageFrom), between(r.requestsAt, 30*time.Second, outageFrom))
	since := outageTo
	for at := outageTo; at <= outageTo+60*time.Second; at += time.Second {
		if share(between(r.goodAt, at, at+window), between(r.requestsAt, at, at+window)) < 0.9*before {
			since = at + time.Second
		}
	}
	if since > outageTo+60*time.Second {
		return "not within 60s"
	}
	return (since - outageTo).String()
}
