package standin

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// maxRecord bounds the size of one record, in bytes.
const maxRecord = 4 << 20

// maxWait bounds how long a read waits for a record.
const maxWait = 30 * time.Second

// Rater scores answers by fixed pass shares of versions; the same prompt and version always get the same score.
type Rater struct {
	faulty
	lock  sync.Mutex
	share map[string]float64
}

// NewRater returns a rater with a pass share for each version.
func NewRater(share map[string]float64) *Rater { return &Rater{share: share} }

// SetShare changes the pass share of a version.
func (r *Rater) SetShare(version string, share float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.share[version] = share
}

// Rate returns 0.95 for a passing answer and 0.35 for another one.
func (r *Rater) Rate(ctx context.Context, a platform.Answer) (float64, error) {
	if !r.before(ctx) || r.loses() {
		return 0, &platform.Error{Op: "rate", Kind: platform.ErrUnavailable, Err: errDown}
	}
	r.lock.Lock()
	s := r.share[a.Version]
	r.lock.Unlock()
	h := fnv.New64a()
	_, _ = io.WriteString(h, a.Version+"\x00"+a.Prompt)
	if float64(h.Sum64()%10007)/10007 < s {
		return 0.95, nil
	}
	return 0.35, nil
}

// Weights is a weight store with a limit on loads.
type Weights struct {
	faulty
	limit *rate.Limiter
}

// NewWeights returns a weight store that allows a load each period.
func NewWeights(period time.Duration) *Weights {
	return &Weights{limit: rate.NewLimiter(rate.Every(period), 1)}
}

// Reserve returns the time until a load of the version may start.
func (w *Weights) Reserve(ctx context.Context, _ string) (time.Duration, error) {
	if !w.before(ctx) || w.loses() {
		return 0, &platform.Error{Op: "reserve", Kind: platform.ErrUnavailable, Err: errDown}
	}
	return w.limit.Reserve().Delay(), nil
}

// List is the platform's list of instances.
type List struct {
	faulty
	lock sync.Mutex
	list []platform.Instance
}

// NewList returns an empty list.
func NewList() *List { return &List{} }

// Put adds or replaces an instance.
func (l *List) Put(i platform.Instance) {
	l.lock.Lock()
	defer l.lock.Unlock()
	n := slices.IndexFunc(l.list, func(o platform.Instance) bool { return o.ID == i.ID })
	if n < 0 {
		l.list = append(l.list, i)
		return
	}
	l.list[n] = i
}

// SetVersions changes the versions of a listed engine.
func (l *List) SetVersions(id string, versions []string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for n := range l.list {
		if l.list[n].ID == id {
			l.list[n].Versions = versions
		}
	}
}

// Remove drops an instance.
func (l *List) Remove(id string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.list = slices.DeleteFunc(l.list, func(o platform.Instance) bool { return o.ID == id })
}

// Instances returns a copy of the list.
func (l *List) Instances(ctx context.Context) ([]platform.Instance, error) {
	if !l.before(ctx) || l.loses() {
		return nil, &platform.Error{Op: "instances", Kind: platform.ErrUnavailable, Err: errDown}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	return slices.Clone(l.list), nil
}

// Platform serves the four platform stand-ins over HTTP.
type Platform struct {
	Log     *Log
	Rater   *Rater
	Weights *Weights
	List    *List
}

// Handler returns the HTTP handler of the services and of /v1/faults/{service}.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/streams/{stream}", p.appendRecord)
	m.HandleFunc("GET /v1/streams/{stream}", p.readRecords)
	m.HandleFunc("POST /v1/ratings", p.rate)
	m.HandleFunc("POST /v1/weights/{version}", p.reserve)
	m.HandleFunc("GET /v1/instances", p.instances)
	m.HandleFunc("POST /v1/faults/{service}", p.setFaults)
	return m
}

func (p *Platform) appendRecord(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	o, err := p.Log.Append(r.Context(), r.PathValue("stream"), b)
	reply(w, platform.AppendReply{Offset: o}, err)
}

func (p *Platform) readRecords(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("limit"))
	wait, err3 := time.ParseDuration(q.Get("wait"))
	if err := errors.Join(err1, err2, err3); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := p.Log.Read(r.Context(), r.PathValue("stream"), platform.Offset(from), limit, min(wait, maxWait))
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.ErrTrimmed {
		err = nil // the client compares First with its offset
	}
	reply(w, page, err)
}

func (p *Platform) rate(w http.ResponseWriter, r *http.Request) {
	var a platform.Answer
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecord)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, err := p.Rater.Rate(r.Context(), a)
	reply(w, platform.RateReply{Score: s}, err)
}

func (p *Platform) reserve(w http.ResponseWriter, r *http.Request) {
	d, err := p.Weights.Reserve(r.Context(), r.PathValue("version"))
	reply(w, platform.ReserveReply{Wait: d}, err)
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	l, err := p.List.Instances(r.Context())
	reply(w, l, err)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	set := map[string]func(Faults){"log": p.Log.Set, "rating": p.Rater.Set, "weights": p.Weights.Set, "instances": p.List.Set}
	s, ok := set[r.PathValue("service")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	s(f)
	reply(w, f, nil)
}

// reply writes v, closes the connection without a reply for a lost one, or answers 503.
func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, errLost):
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}
