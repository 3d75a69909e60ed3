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

// maxRecordBytes is the maximum size of a record.
const maxRecordBytes = 4 << 20

// maxReadWait is the longest time that a read waits for a record.
const maxReadWait = 30 * time.Second

// Rater is a rating service that passes a fixed share of each version's answers. The same version and prompt always get
// the same score.
type Rater struct {
	faultInjector
	lock       sync.Mutex
	passShares map[string]float64 // share of passing answers by version
}

// NewRater returns a rater with the pass share of each version.
func NewRater(passShares map[string]float64) *Rater { return &Rater{passShares: passShares} }

// SetPassShare changes the pass share of a version.
func (r *Rater) SetPassShare(version string, share float64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.passShares[version] = share
}

// Rate returns 0.95 for an answer that passes and 0.35 for one that fails.
func (r *Rater) Rate(ctx context.Context, a platform.RatingRequest) (float64, error) {
	if !r.acceptCall(ctx) || r.dropReply() {
		return 0, &platform.Error{Op: "rate", Kind: platform.ErrUnavailable, Err: errDown}
	}
	r.lock.Lock()
	s := r.passShares[a.Version]
	r.lock.Unlock()
	h := fnv.New64a()
	_, _ = io.WriteString(h, a.Version+"\x00"+a.Prompt)
	if float64(h.Sum64()%10007)/10007 < s {
		return 0.95, nil
	}
	return 0.35, nil
}

// WeightStore is a weight store that limits the rate of loads.
type WeightStore struct {
	faultInjector
	limiter *rate.Limiter
}

// NewWeightStore returns a weight store that allows one load per period.
func NewWeightStore(period time.Duration) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Every(period), 1)}
}

// Reserve returns the time until a load of the version may start.
func (w *WeightStore) Reserve(ctx context.Context, _ string) (time.Duration, error) {
	if !w.acceptCall(ctx) || w.dropReply() {
		return 0, &platform.Error{Op: "reserve", Kind: platform.ErrUnavailable, Err: errDown}
	}
	return w.limiter.Reserve().Delay(), nil
}

// InstanceList is the platform's instance list.
type InstanceList struct {
	faultInjector
	lock      sync.Mutex
	instances []platform.Instance
}

// NewInstanceList returns an empty list.
func NewInstanceList() *InstanceList { return &InstanceList{} }

// Put adds an instance or replaces the one with the same ID.
func (l *InstanceList) Put(i platform.Instance) {
	l.lock.Lock()
	defer l.lock.Unlock()
	n := slices.IndexFunc(l.instances, func(o platform.Instance) bool { return o.ID == i.ID })
	if n < 0 {
		l.instances = append(l.instances, i)
		return
	}
	l.instances[n] = i
}

// SetVersions replaces the versions of an engine in the list.
func (l *InstanceList) SetVersions(id string, versions []string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for n := range l.instances {
		if l.instances[n].ID == id {
			l.instances[n].Versions = versions
		}
	}
}

// Remove removes an instance from the list.
func (l *InstanceList) Remove(id string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.instances = slices.DeleteFunc(l.instances, func(o platform.Instance) bool { return o.ID == id })
}

// Instances returns a copy of the list.
func (l *InstanceList) Instances(ctx context.Context) ([]platform.Instance, error) {
	if !l.acceptCall(ctx) || l.dropReply() {
		return nil, &platform.Error{Op: "instances", Kind: platform.ErrUnavailable, Err: errDown}
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	return slices.Clone(l.instances), nil
}

// Platform serves the platform's four services over HTTP.
type Platform struct {
	Log          *Log
	Rater        *Rater
	WeightStore  *WeightStore
	InstanceList *InstanceList
}

// Handler returns the HTTP handler of the services and of /v1/faults/{service}, which sets the faults of a service.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/streams/{stream}", p.handleAppend)
	m.HandleFunc("GET /v1/streams/{stream}", p.handleRead)
	m.HandleFunc("POST /v1/ratings", p.handleRate)
	m.HandleFunc("POST /v1/weights/{version}", p.handleReserve)
	m.HandleFunc("GET /v1/instances", p.handleInstances)
	m.HandleFunc("POST /v1/faults/{service}", p.handleFaults)
	return m
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	o, err := p.Log.Append(r.Context(), r.PathValue("stream"), b)
	writeReply(w, platform.AppendReply{Offset: o}, err)
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, fromErr := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(q.Get("limit"))
	wait, waitErr := time.ParseDuration(q.Get("wait"))
	if err := errors.Join(fromErr, limitErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := p.Log.Read(r.Context(), r.PathValue("stream"), platform.Offset(from), limit, min(wait, maxReadWait))
	var e *platform.Error
	if errors.As(err, &e) && e.Kind == platform.ErrTrimmed {
		err = nil // the client detects it by comparing Oldest with its offset
	}
	writeReply(w, page, err)
}

func (p *Platform) handleRate(w http.ResponseWriter, r *http.Request) {
	var a platform.RatingRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s, err := p.Rater.Rate(r.Context(), a)
	writeReply(w, platform.RatingReply{Score: s}, err)
}

func (p *Platform) handleReserve(w http.ResponseWriter, r *http.Request) {
	d, err := p.WeightStore.Reserve(r.Context(), r.PathValue("version"))
	writeReply(w, platform.ReserveReply{Wait: d}, err)
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	l, err := p.InstanceList.Instances(r.Context())
	writeReply(w, l, err)
}

func (p *Platform) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	setters := map[string]func(Faults){"log": p.Log.SetFaults, "rating": p.Rater.SetFaults, "weights": p.WeightStore.SetFaults, "instances": p.InstanceList.SetFaults}
	replaceFaults, ok := setters[r.PathValue("service")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	replaceFaults(f)
	writeReply(w, f, nil)
}

// writeReply writes v as JSON, or status 503 for an error. For errReplyLost it closes the connection without a reply.
func writeReply(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, errReplyLost):
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}
