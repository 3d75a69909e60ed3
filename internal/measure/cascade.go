package measure

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
)

const (
	cascadeCount = 40000 // requests of a run
	cascadeWarm  = 12000 // of them before the measurement starts
)

// Cascade compares the choice of versions with simpler policies and with one that knows the true rates.
func Cascade(seed uint64) ([]Table, error) {
	var l []Table
	for i := range cascadeUsers {
		t, err := cascadeTables(&cascadeUsers[i], seed, cascadeCount, cascadeWarm)
		if err != nil {
			return nil, fmt.Errorf("measure cascades of %s: %w", cascadeUsers[i].name, err)
		}
		l = append(l, t...)
	}
	return l, nil
}

func cascadeTables(u *cascadeUser, seed uint64, count, warm int) ([]Table, error) {
	var l []Table
	for _, c := range cascadeCases {
		t, err := cascadeTable(u, c, cascadeRequests(u, c, seed, count, warm))
		if err != nil {
			return nil, err
		}
		l = append(l, t)
	}
	c := cascadeCase{"cold start, no warm-up", 1, -1, false}
	t, err := cascadeTable(u, c, cascadeRequests(u, c, seed, warm, 0))
	if err != nil {
		return nil, err
	}
	return append(l, t), nil
}

// cascadeTable runs all policies through the same requests.
func cascadeTable(u *cascadeUser, c cascadeCase, l []cascadeRequest) (Table, error) {
	t := Table{
		Name:    fmt.Sprintf("cascade: %s, %s", u.name, c.name),
		Columns: []string{"policy", "cost/request", "of (d)", "of (a)", "at quality", "worst class", "p50 ms", "p99 ms", "objective"},
	}
	best, known, err := knowingCascade(u, c, l)
	if err != nil {
		return t, err
	}
	learned := newLearnedCascade(u, cascade.Settings{})
	base := 0.0
	for _, p := range []struct {
		name   string
		policy cascadePolicy
	}{
		{"(a) always best", sameCascade(u, cascadeBest)},
		{"(b) cheapest first, then best", sameCascade(u, 0, cascadeBest)},
		{"(c) fixed threshold cascade", sameCascade(u, 0, 1, cascadeBest)},
		{"(d) knows the true rates", best},
		{"cassiaspoke", learned},
	} {
		r, err := runCascade(u, c, l, p.policy)
		if err != nil {
			return t, err
		}
		if base == 0 {
			base = r.perRequest()
		}
		t.Rows = append(t.Rows, cascadeRow(p.name, r, known.perRequest(), base))
	}
	t.Rows = append(t.Rows, cascadeRow("limit: choice in hindsight, no queue", hindsight(u, l), known.perRequest(), base))
	t.Notes = append(t.Notes, fmt.Sprintf("cost in micros; quality owed %.3f; (d) runs %s; %d requests without a plan",
		u.owed, describeCascade(u, best), learned.problems))
	return t, nil
}

func cascadeRow(name string, r *cascadeResult, known, base float64) []string {
	return []string{
		name,
		fmt.Sprintf("%.0f", r.perRequest()),
		fmt.Sprintf("%.3f", r.perRequest()/known),
		fmt.Sprintf("%.3f", r.perRequest()/base),
		fmt.Sprintf("%.4f", float64(r.good)/float64(r.count)),
		fmt.Sprintf("%.4f", r.worst()),
		fmt.Sprint(r.latency.ValueAtQuantile(50)),
		fmt.Sprint(r.latency.ValueAtQuantile(99)),
		fmt.Sprintf("%.0f", r.objective/float64(r.count)),
	}
}

func describeCascade(u *cascadeUser, f *fixedCascade) string {
	s := ""
	for i, k := range u.classes {
		for phase, p := range f.plans[i] {
			if phase == 1 && fmt.Sprint(p) == fmt.Sprint(f.plans[i][0]) {
				continue
			}
			s += fmt.Sprintf(" %s/%d:", k.name, phase+1)
			for _, v := range p {
				s += " " + u.versions[v].name
			}
			s += ";"
		}
	}
	return s[1 : len(s)-1]
}

// hindsight gives each request the version of least objective among those whose answer passes,
// or the cheapest one when none does; nobody can know that in advance.
func hindsight(u *cascadeUser, l []cascadeRequest) *cascadeResult {
	r := &cascadeResult{
		classCount: make([]int, 2*len(u.classes)), classGood: make([]int, 2*len(u.classes)),
		latency: hdr.New(1, int64(24*time.Hour/time.Millisecond), 3),
	}
	for i := range l {
		if q := &l[i]; q.measured {
			r.choose(u, q)
		}
	}
	return r
}

func (r *cascadeResult) choose(u *cascadeUser, q *cascadeRequest) {
	good, objective, cost, time0 := false, 0.0, 0.0, time.Duration(0)
	for v := range u.versions {
		c, d := u.versions[v].cost(q), u.versions[v].service(q, q.jitter[v])
		o := u.weights.Cost*c + u.weights.Latency*d.Seconds()
		if v == 0 || (q.pass[v] && !good) || (q.pass[v] == good && o < objective) {
			good, objective, cost, time0 = q.pass[v], o, c, d
		}
	}
	r.count++
	r.classCount[2*q.class+q.phase]++
	if good {
		r.good++
		r.classGood[2*q.class+q.phase]++
	}
	r.cost += cost
	r.objective += objective
	_ = r.latency.RecordValue(int64(time0 / time.Millisecond)) // within the histogram's range of one day
}
