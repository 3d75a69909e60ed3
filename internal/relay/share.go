package relay

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/cassiaspoke/cassiaspoke/internal/core/canary"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const (
	shareEvery    = 100 * time.Millisecond // a fraction of the time that a prompt takes, as many instances choose meanwhile
	shareFollower = 2 * time.Millisecond   // added for each follower, which bounds the processor time of the one that sums up
	shareBytes    = 8 << 10                // bytes a second to one instance; a longer message is sent less often
	shareFor      = time.Second            // for which what an instance told counts
	endpointBytes = 8                      // bytes of an endpoint's entry, about
)

// News is what instances tell each other of their requests.
type News struct {
	Loads  placement.Loads // under way at the endpoints
	Trials canary.Trials   // what was seen of the new versions of services
}

func newNews() News { return News{Loads: placement.Loads{}, Trials: canary.Trials{}} }

// equal reports whether there is nothing new; trials fade all the time, so there is while a roll-out runs.
func (n News) equal(o News) bool {
	return maps.Equal(n.Loads, o.Loads) && maps.Equal(n.Trials, o.Trials)
}

// add adds what others told.
func (n News) add(o News) {
	addLoads(n.Loads, o.Loads)
	n.Trials.Add(o.Trials)
}

// Work tells and takes news.
type Work interface {
	Own() News
	SetOthers(at time.Time, n News)
}

// shares holds what each instance told of its work.
type shares struct {
	mu      sync.Mutex
	told    map[string]told
	streams int
	keys    int
}

type told struct {
	news News
	at   time.Time
	seed bool
}

func newShares() *shares { return &shares{told: map[string]told{}} }

// key returns a name for a new stream.
func (s *shares) key() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys++
	return strconv.Itoa(s.keys)
}

func (s *shares) set(key string, t told) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[key] = t
}

func (s *shares) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.told, key)
}

// sum adds up what all but one instance told lately, and forgets what was told before; the sums of other seeds only if they are asked for, as each seed
// hears the others by itself.
func (s *shares) sum(now time.Time, but string, seeds bool) News {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := newNews()
	for k, t := range s.told {
		switch {
		case now.Sub(t.at) >= shareFor:
			delete(s.told, k)
		case k != but && (seeds || !t.seed):
			out.add(t.news)
		}
	}
	return out
}

func addLoads(to, from placement.Loads) {
	for e, l := range from {
		o := to[e]
		to[e] = placement.Outstanding{Requests: o.Requests + l.Requests, Prefill: o.Prefill + l.Prefill}
	}
}

// pace is the time from one message to an instance to the next.
func (s *shares) pace(endpoints int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	bytes := time.Duration(endpoints*endpointBytes) * time.Second / shareBytes
	return max(shareEvery, time.Duration(s.streams)*shareFollower, bytes)
}

func (s *shares) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += n
}

func encode(n News) *relaypb.Loads {
	m := &relaypb.Loads{}
	for k, s := range n.Trials {
		m.Trials = append(m.Trials, &relaypb.Trial{Key: k, Answers: float32(s.Answers), Bad: float32(s.Bad)})
	}
	for e, o := range n.Loads {
		m.Endpoints = append(m.Endpoints, e)
		m.Requests = append(m.Requests, uint32(max(0, o.Requests)))
		m.PrefillMilliseconds = append(m.PrefillMilliseconds, uint32(max(0, o.Prefill)))
	}
	return m
}

func decode(m *relaypb.Loads) News {
	n := News{Loads: decodeLoads(m), Trials: make(canary.Trials, len(m.GetTrials()))}
	for _, t := range m.GetTrials() {
		if t.GetBad() >= 0 && t.GetAnswers() >= t.GetBad() { // also drops what is no number
			n.Trials[t.GetKey()] = canary.Seen{Answers: float64(t.GetAnswers()), Bad: float64(t.GetBad())}
		}
	}
	return n
}

// decodeLoads drops entries that lack a field.
func decodeLoads(m *relaypb.Loads) placement.Loads {
	r, p := m.GetRequests(), m.GetPrefillMilliseconds()
	out := make(placement.Loads, len(m.GetEndpoints()))
	for i, e := range m.GetEndpoints() {
		if i < len(r) && i < len(p) {
			out[e] = placement.Outstanding{Requests: int(r[i]), Prefill: float64(p[i])}
		}
	}
	return out
}

// Share sums up the loads of the instances that follow this one.
func (h *Hub) Share(s grpc.BidiStreamingServer[relaypb.Loads, relaypb.Loads]) error {
	if h.work == nil {
		return &Error{Op: "share", Kind: ErrStream}
	}
	m, err := s.Recv()
	if err != nil {
		return &Error{Op: "share", Kind: ErrStream, Err: err}
	}
	seed := m.GetSeed()
	key := h.shares.key()
	h.shares.count(1)
	defer h.shares.count(-1)
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	if !seed {
		h.shares.set(key, told{news: decode(m), at: time.Now()})
		defer h.shares.drop(key)
	}
	go func() {
		defer cancel()
		for {
			m, err := s.Recv()
			if err != nil {
				return // the stream has ended; the sender below sees that too
			}
			h.shares.set(key, told{news: decode(m), at: time.Now()})
		}
	}()
	for {
		l := h.shares.sum(time.Now(), key, !seed)
		l.add(h.work.Own())
		if err := s.Send(encode(l)); err != nil {
			return &Error{Op: "share", Kind: ErrStream, Err: err}
		}
		if err := pause(ctx, h.shares.pace(len(l.Loads)+2*len(l.Trials)), nil); err != nil {
			return &Error{Op: "share", Kind: ErrStream, Err: err}
		}
	}
}

// share tells another instance this one's loads and takes those of all others, until the connection ends.
func (h *Hub) share(ctx context.Context, c relaypb.RelayClient) {
	s, err := c.Share(ctx)
	if err != nil {
		h.options.Logger.Warn("relay: The loads are not shared.", zap.Error(err))
		return
	}
	go func() {
		sent := newNews()
		for at := (time.Time{}); ; {
			if l := h.work.Own(); !l.equal(sent) || time.Since(at) >= shareFor/2 {
				if err := s.Send(encode(l)); err != nil {
					return // the receiver below gets the cause
				}
				sent, at = l, time.Now()
			}
			if err := pause(ctx, shareEvery, nil); err != nil {
				return
			}
		}
	}()
	for {
		m, err := s.Recv()
		if err != nil {
			if ctx.Err() == nil {
				h.options.Logger.Warn("relay: The loads are not shared any more.", zap.Error(err))
			}
			return
		}
		h.work.SetOthers(time.Now(), decode(m))
	}
}

// gather takes the loads of the instances that follow another seed.
func (h *Hub) gather(ctx context.Context, c relaypb.RelayClient, key string) error {
	s, err := c.Share(ctx)
	if err == nil {
		err = s.Send(&relaypb.Loads{Seed: true})
	}
	for err == nil {
		var m *relaypb.Loads
		if m, err = s.Recv(); err == nil {
			h.shares.set(key, told{news: decode(m), at: time.Now(), seed: true})
		}
	}
	return &Error{Op: "gather", Kind: ErrStream, Err: err}
}

// deliver hands the loads of all others to this instance, which sums them up.
func (h *Hub) deliver(ctx context.Context) {
	for {
		now := time.Now()
		h.work.SetOthers(now, h.shares.sum(now, "", true))
		if err := pause(ctx, shareEvery, nil); err != nil {
			return
		}
	}
}
