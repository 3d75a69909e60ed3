package measure

import (
	"fmt"
	"time"
)

// SuspectRequests measures the defence against requests that crash endpoints in virtual time. Equal seeds give equal
// tables.
func SuspectRequests(seed uint64) ([]Table, error) {
	if suspectParameters.meanServiceTime <= 0 {
		return nil, fmt.Errorf("measure suspect: the mean service time must be positive")
	}
	return []Table{poisonTable(seed), resendTable(seed), massDeathTable(seed)}, nil
}

// poisonTable compares defences against a caller that sends content that crashes engines again and again for 10 minutes.
func poisonTable(seed uint64) Table {
	t := suspectTable("one poison content, sent again 2 s after each failure under a new key, 10 minutes", "defence", "gossip")
	for _, c := range []struct {
		name      string
		gossip    time.Duration
		configure func(*suspectModel)
	}{
		{"none", 0, func(m *suspectModel) { m.defence = false }},
		{"each instance for itself", -1, func(m *suspectModel) { m.gossipDelay = -1 }},
		{"fleet", 50 * time.Millisecond, nil},
		{"fleet", 200 * time.Millisecond, nil},
		{"fleet", time.Second, nil},
		{"fleet", 5 * time.Second, nil},
	} {
		m := newSuspectModel(seed, c.gossip)
		if c.configure != nil {
			c.configure(m)
		}
		m.schedule(suspectParameters.warmUp, m.sendPoison)
		gossip := "-"
		if c.gossip > 0 {
			gossip = c.gossip.String()
		}
		t.Rows = append(t.Rows, m.simulate(10*time.Minute).row(c.name, gossip))
	}
	return t
}

// resendTable varies how many callers send the poison content and whether they start at the same time.
func resendTable(seed uint64) Table {
	t := suspectTable("several copies of the poison content sent at once to different instances, then again", "copies", "first")
	for _, simultaneous := range []bool{false, true} {
		for _, n := range []int{1, 3, 9} {
			m := newSuspectModel(seed, 200*time.Millisecond)
			first := "one copy, the others after its failure"
			if simultaneous {
				first = "all copies together"
			}
			m.schedule(suspectParameters.warmUp, func() {
				for i := range n {
					d := time.Duration(0)
					if !simultaneous && i > 0 {
						d = suspectParameters.crashDelay + suspectParameters.resendDelay
					}
					m.schedule(d, m.sendPoison)
				}
			})
			t.Rows = append(t.Rows, m.simulate(10*time.Minute).row(fmt.Sprint(n), first))
		}
	}
	return t
}

// massDeathTable kills all engines of an availability zone at once and measures how their innocent requests fare.
func massDeathTable(seed uint64) Table {
	t := suspectTable("all 6 engines of an availability zone die at once, without a poison request", "rule", "gossip")
	for _, detectMassDeaths := range []bool{false, true} {
		m := newSuspectModel(seed, 200*time.Millisecond)
		name := "many deaths at once are a common failure"
		if !detectMassDeaths {
			name = "every death makes suspects"
			m.settings.MassDeathThreshold = 1 << 20
		}
		m.createRegistries()
		m.schedule(suspectParameters.warmUp, func() {
			for i := 0; i < len(m.engines); i += 3 {
				m.killEngine(m.engines[i])
			}
		})
		t.Rows = append(t.Rows, m.simulate(2*time.Minute).row(name, "200ms"))
	}
	return t
}

func suspectTable(name string, keys ...string) Table {
	return Table{
		Name: name,
		Columns: append(keys, "endpoints-lost", "poison-runs", "poison-refused", "innocent", "innocent-rerun", "innocent-lost",
			"innocent-refused", "longest-wait-for-rerun"),
		Notes: []string{
			"18 engines, 9 instances, 60 innocent requests/s of 2.7 s on average; an engine dies 1 s after it starts the poison and is back after 30 s",
			"each instance tries a request up to 4 times; lost: all tries died or found no endpoint for 30 s",
		},
	}
}

func (m *suspectModel) row(keys ...string) []string {
	r := m.result
	return append(keys, fmt.Sprint(r.endpointsLost), fmt.Sprint(r.poisonRuns), fmt.Sprint(r.poisonRefused), fmt.Sprint(r.innocent),
		fmt.Sprint(r.reruns), fmt.Sprint(r.innocentLost), fmt.Sprint(r.innocentRefused), formatDuration(r.longestRerunWait))
}
