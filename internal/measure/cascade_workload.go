package measure

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	cascadeVersions = 3 // small, medium, large
	cascadeBest     = cascadeVersions - 1
	// cascadeSharedDifficulty is the share of the variance of an answer's quality that comes from the request, so that hard
	// requests are hard for all versions.
	cascadeSharedDifficulty = 0.5
	cascadeMinScore         = 0.7
	cascadePassScore        = 0.95 // score of an answer that passes
	cascadeFailScore        = 0.35 // score of an answer that fails
	cascadeMeanRatingTime   = 200 * time.Millisecond
)

var cascadeEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// cascadeVersion is a model version with its own engine slots.
type cascadeVersion struct {
	name    string
	price   record.Price
	slots   int     // concurrent calls
	prefill float64 // prompt tokens per second
	decode  float64 // answer tokens per second
}

// cascadeClass is a kind of request. Each class has a profile of its own, so the quality is required for each.
type cascadeClass struct {
	name          string
	share         float64
	input, output float64
	pass          [cascadeVersions]float64
}

// cascadeWorkload describes the traffic, the required quality and the versions of one user.
type cascadeWorkload struct {
	name            string
	rate            float64 // requests per second
	requiredQuality float64
	weights         record.Weights
	classes         []cascadeClass
	versions        [cascadeVersions]cascadeVersion
}

var cascadeWorkloads = []cascadeWorkload{
	{
		name: "lysroer", rate: 4, requiredQuality: 0.95, weights: record.Weights{Cost: 1, Latency: 20, Exposure: 1000},
		classes: []cascadeClass{
			{"report", 0.2, 12000, 1000, [3]float64{0.55, 0.90, 0.985}},
			{"summary", 0.4, 4000, 300, [3]float64{0.80, 0.97, 0.99}},
			{"question", 0.4, 1000, 120, [3]float64{0.90, 0.985, 0.995}},
		},
		versions: [3]cascadeVersion{
			{"small@1", record.Price{Input: 50, Output: 200}, 40, 8000, 90},
			{"medium@1", record.Price{Input: 250, Output: 1000}, 60, 5000, 60},
			{"large@1", record.Price{Input: 1000, Output: 4000}, 80, 3000, 40},
		},
	},
	{
		name: "kallisto", rate: 6, requiredQuality: 0.95, weights: record.Weights{Cost: 1, Latency: 3000, Exposure: 1000},
		classes: []cascadeClass{
			{"proof", 0.5, 2000, 200, [3]float64{0.70, 0.965, 0.99}},
			{"inscription", 0.5, 200, 30, [3]float64{0.93, 0.985, 0.995}},
		},
		versions: [3]cascadeVersion{
			{"small@1", record.Price{Input: 50, Output: 200}, 20, 8000, 90},
			{"medium@1", record.Price{Input: 250, Output: 1000}, 30, 5000, 60},
			{"large@1", record.Price{Input: 1000, Output: 4000}, 30, 3000, 40},
		},
	},
}

// cascadeCase describes the conditions of a comparison.
type cascadeCase struct {
	name               string
	loadFactor         float64
	degradedVersion    int  // index of the version that degrades in the second phase, or -1
	ratingsUnavailable bool // in the second phase
}

var cascadeCases = []cascadeCase{
	{"steady state", 1, -1, false},
	{"medium turns bad", 1, 1, false},
	{"safe version (large) turns bad", 1, 2, false},
	{"ratings away", 1, -1, true},
	{"2x load", 2, -1, false},
}

// cascadeRequest holds a request with all its random values, so that every policy gets the same ones.
type cascadeRequest struct {
	at            time.Duration
	class, phase  int
	input, output float64
	pass          [cascadeVersions]bool
	serviceFactor [cascadeVersions]float64
	ratingTime    [cascadeVersions]time.Duration
	draw          float64
	measured      bool // not part of the warm-up
}

// cascadeRequests draws the requests of a case: a warm-up, followed by two phases of equal length.
func cascadeRequests(w *cascadeWorkload, c cascadeCase, seed uint64, count, warmUp int) []cascadeRequest {
	r := rand.New(rand.NewPCG(seed, 17))
	l := make([]cascadeRequest, count)
	at := time.Duration(0)
	for i := range l {
		q := &l[i]
		at += time.Duration(r.ExpFloat64() / (w.rate * c.loadFactor) * float64(time.Second))
		q.at, q.measured = at, i >= warmUp
		if i >= warmUp+(count-warmUp)/2 {
			q.phase = 1
		}
		for x := r.Float64(); q.class < len(w.classes)-1 && x >= w.classes[q.class].share; q.class++ {
			x -= w.classes[q.class].share
		}
		k := &w.classes[q.class]
		q.input = k.input * (0.75 + 0.5*r.Float64())
		q.output = k.output * (0.5 + r.Float64())
		sharedDifficulty := r.NormFloat64() * math.Sqrt(cascadeSharedDifficulty)
		for v := range q.pass {
			p := k.pass[v]
			if q.phase == 1 && v == c.degradedVersion {
				p *= 0.5
			}
			q.pass[v] = sharedDifficulty+r.NormFloat64()*math.Sqrt(1-cascadeSharedDifficulty) < math.Sqrt2*math.Erfinv(2*p-1)
			q.serviceFactor[v] = 0.8 + 0.4*r.Float64()
			q.ratingTime[v] = time.Duration(r.ExpFloat64() * float64(cascadeMeanRatingTime))
		}
		q.draw = r.Float64()
	}
	return l
}

func (v *cascadeVersion) cost(q *cascadeRequest) float64 {
	return (float64(v.price.Input)*q.input + float64(v.price.Output)*q.output) / 1000
}

func (v *cascadeVersion) serviceTime(q *cascadeRequest, factor float64) time.Duration {
	return time.Duration((q.input/v.prefill + q.output/v.decode) * factor * float64(time.Second))
}

func (w *cascadeWorkload) candidates() []cascade.Candidate {
	l := make([]cascade.Candidate, 0, len(w.versions))
	for i, v := range w.versions {
		l = append(l, cascade.Candidate{Version: v.name, Model: v.name, Price: v.price, Safe: i == cascadeBest})
	}
	return l
}
