package measure

import (
	"fmt"
	"time"
)

// Suspect measures the defence against requests that crash endpoints in virtual time; equal seeds give equal tables.
func Suspect(seed uint64) ([]Table, error) {
	if suspectRates.service <= 0 {
		return nil, fmt.Errorf("measure suspect: the mean service time must be positive")
	}
	return []Table{poisonTable(seed), resendTable(seed), massTable(seed)}, nil
}

// poisonTable compares defences against one caller that sends the same content again for 10 minutes.
func poisonTable(seed uint64) Table {
	t := suspectTable("one poison content, sent again 2 s after each failure under a new key, 10 minutes", "defence", "gossip")
	for _, c := range []struct {
		name   string
		gossip time.Duration
		change func(*suspectModel)
	}{
		{"none", 0, func(m *suspectModel) { m.defence = false }},
		{"each instance for itself", -1, func(m *suspectModel) { m.gossip = -1 }},
		{"fleet", 50 * time.Millisecond, nil},
		{"fleet", 200 * time.Millisecond, nil},
		{"fleet", time.Second, nil},
		{"fleet", 5 * time.Second, nil},
	} {
		m := newSuspectModel(seed, c.gossip)
		if c.change != nil {
			c.change(m)
		}
		m.after(suspectRates.warm, m.poison)
		gossip := "-"
		if c.gossip > 0 {
			gossip = c.gossip.String()
		}
		t.Rows = append(t.Rows, m.run(10*time.Minute).row(c.name, gossip))
	}
	return t
}

// resendTable varies how many copies of the poison content are sent at once.
func resendTable(seed uint64) Table {
	t := suspectTable("several copies of the poison content sent at once to different instances, then again", "copies", "first")
	for _, together := range []bool{false, true} {
		for _, n := range []int{1, 3, 9} {
			m := newSuspectModel(seed, 200*time.Millisecond)
			first := "one copy, the others after its failure"
			if together {
				first = "all copies together"
			}
			m.after(suspectRates.warm, func() {
				for i := range n {
					d := time.Duration(0)
					if !together && i > 0 {
						d = suspectRates.crash + suspectRates.resend
					}
					m.after(d, m.poison)
				}
			})
			t.Rows = append(t.Rows, m.run(10*time.Minute).row(fmt.Sprint(n), first))
		}
	}
	return t
}

// massTable kills an availability zone at once and measures what that does to the innocent requests on it.
func massTable(seed uint64) Table {
	t := suspectTable("all 6 engines of an availability zone die at once, without a poison request", "rule", "gossip")
	for _, rule := range []bool{false, true} {
		m := newSuspectModel(seed, 200*time.Millisecond)
		name := "many deaths at once are a common failure"
		if !rule {
			name = "every death makes suspects"
			m.settings.MassDeathThreshold = 1 << 20
		}
		m.start()
		m.after(suspectRates.warm, func() {
			for i := 0; i < len(m.engines); i += 3 {
				m.die(m.engines[i])
			}
		})
		t.Rows = append(t.Rows, m.run(2*time.Minute).row(name, "200ms"))
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
	return append(keys, fmt.Sprint(r.lost), fmt.Sprint(r.poisonRuns), fmt.Sprint(r.poisonRefused), fmt.Sprint(r.innocent),
		fmt.Sprint(r.reruns), fmt.Sprint(r.innocentLost), fmt.Sprint(r.innocentRefused), fmtDuration(r.longest))
}
