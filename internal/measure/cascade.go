package measure

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
)

const (
	cascadeRequestCount = 40000 // requests per simulation, warm-up included
	cascadeWarmUpCount  = 12000 // requests before the measurement starts
)

// Cascade compares the learned choice of versions with fixed policies and with a policy that knows the true pass rates.
func Cascade(seed uint64) ([]Table, error) {
	var l []Table
	for i := range cascadeWorkloads {
		t, err := cascadeTables(&cascadeWorkloads[i], seed, cascadeRequestCount, cascadeWarmUpCount)
		if err != nil {
			return nil, fmt.Errorf("measure cascades of workload %s: %w", cascadeWorkloads[i].name, err)
		}
		l = append(l, t...)
	}
	return l, nil
}

func cascadeTables(w *cascadeWorkload, seed uint64, count, warmUp int) ([]Table, error) {
	var l []Table
	for _, c := range cascadeCases {
		t, err := cascadeTable(w, c, cascadeRequests(w, c, seed, count, warmUp))
		if err != nil {
			return nil, err
		}
		l = append(l, t)
	}
	c := cascadeCase{"cold start, no warm-up", 1, -1, false}
	t, err := cascadeTable(w, c, cascadeRequests(w, c, seed, warmUp, 0))
	if err != nil {
		return nil, err
	}
	return append(l, t), nil
}

// cascadeTable simulates all policies on the same requests.
func cascadeTable(w *cascadeWorkload, c cascadeCase, l []cascadeRequest) (Table, error) {
	t := Table{
		Name:    fmt.Sprintf("cascade: %s, %s", w.name, c.name),
		Columns: []string{"policy", "cost/request", "of (d)", "of (a)", "at quality", "worst class", "p50 ms", "p99 ms", "objective"},
	}
	optimal, optimalResult, err := optimiseFixedCascade(w, c, l)
	if err != nil {
		return t, err
	}
	learned := newLearnedCascade(w, cascade.Settings{})
	bestVersionCost := 0.0
	for _, p := range []struct {
		name   string
		policy cascadePolicy
	}{
		{"(a) always best", uniformCascade(w, cascadeBest)},
		{"(b) cheapest first, then best", uniformCascade(w, 0, cascadeBest)},
		{"(c) fixed threshold cascade", uniformCascade(w, 0, 1, cascadeBest)},
		{"(d) knows the true rates", optimal},
		{"cassiaspoke", learned},
	} {
		r, err := simulateCascade(w, c, l, p.policy)
		if err != nil {
			return t, err
		}
		if bestVersionCost == 0 {
			bestVersionCost = r.costPerRequest()
		}
		t.Rows = append(t.Rows, cascadeRow(p.name, r, optimalResult.costPerRequest(), bestVersionCost))
	}
	t.Rows = append(t.Rows, cascadeRow("limit: choice in hindsight, no queue", hindsightResult(w, l), optimalResult.costPerRequest(), bestVersionCost))
	t.Notes = append(t.Notes, fmt.Sprintf("cost in micros; quality owed %.3f; (d) runs %s; %d requests without a plan",
		w.requiredQuality, describeCascade(w, optimal), learned.failedPlans))
	return t, nil
}

func cascadeRow(name string, r *cascadeResult, optimalCost, bestVersionCost float64) []string {
	return []string{
		name,
		fmt.Sprintf("%.0f", r.costPerRequest()),
		fmt.Sprintf("%.3f", r.costPerRequest()/optimalCost),
		fmt.Sprintf("%.3f", r.costPerRequest()/bestVersionCost),
		fmt.Sprintf("%.4f", float64(r.atQuality)/float64(r.count)),
		fmt.Sprintf("%.4f", r.worstClassShare()),
		fmt.Sprint(r.latency.ValueAtQuantile(50)),
		fmt.Sprint(r.latency.ValueAtQuantile(99)),
		fmt.Sprintf("%.0f", r.objective/float64(r.count)),
	}
}

// describeCascade lists the plans of each class, with the second phase only where its plan differs from the first.
func describeCascade(w *cascadeWorkload, f *fixedCascade) string {
	s := ""
	for i, k := range w.classes {
		for phase, p := range f.plans[i] {
			if phase == 1 && fmt.Sprint(p) == fmt.Sprint(f.plans[i][0]) {
				continue
			}
			s += fmt.Sprintf(" %s/%d:", k.name, phase+1)
			for _, v := range p {
				s += " " + w.versions[v].name
			}
			s += ";"
		}
	}
	return s[1 : len(s)-1]
}

// hindsightResult gives each request the version with the lowest objective among those whose answer passes, or among all
// versions if none passes. No policy can choose so, because which answers pass is known only afterwards.
func hindsightResult(w *cascadeWorkload, l []cascadeRequest) *cascadeResult {
	r := &cascadeResult{
		classCount: make([]int, 2*len(w.classes)), classAtQuality: make([]int, 2*len(w.classes)),
		latency: hdr.New(1, int64(24*time.Hour/time.Millisecond), 3),
	}
	for i := range l {
		if q := &l[i]; q.measured {
			r.addHindsightChoice(w, q)
		}
	}
	return r
}

// addHindsightChoice adds a request that ran on the best version in hindsight.
func (r *cascadeResult) addHindsightChoice(w *cascadeWorkload, q *cascadeRequest) {
	good, objective, cost, serviceTime := false, 0.0, 0.0, time.Duration(0)
	for v := range w.versions {
		c, d := w.versions[v].cost(q), w.versions[v].serviceTime(q, q.serviceFactor[v])
		o := w.weights.Cost*c + w.weights.Latency*d.Seconds()
		if v == 0 || (q.pass[v] && !good) || (q.pass[v] == good && o < objective) {
			good, objective, cost, serviceTime = q.pass[v], o, c, d
		}
	}
	r.count++
	r.classCount[2*q.class+q.phase]++
	if good {
		r.atQuality++
		r.classAtQuality[2*q.class+q.phase]++
	}
	r.cost += cost
	r.objective += objective
	_ = r.latency.RecordValue(int64(serviceTime / time.Millisecond)) // cannot fail: the histogram covers one day
}
