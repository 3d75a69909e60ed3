package instance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// suspects notes which contents run on which endpoint. Requests of many goroutines meet here, so the register is
// guarded by a lock; requests that are no suspects only read its view.
type suspects struct {
	view   atomic.Pointer[suspect.Snapshot]
	tell   func()        // peers, before a suspect runs again
	settle time.Duration // from a claim until it can be confirmed

	mu       sync.Mutex
	register *suspect.Registry
	running  map[string]map[suspect.ContentHash]int // requests by endpoint and content
}

func newSuspects(s suspect.Settings) *suspects {
	u := &suspects{settle: s.ClaimDelay, register: suspect.New(s), running: map[string]map[suspect.ContentHash]int{}}
	u.view.Store(u.register.Snapshot())
	return u
}

// treatments maps verdicts to treatments.
var treatments = map[suspect.Verdict]answer.Treatment{
	suspect.RunAnywhere: answer.Run, suspect.RunExclusively: answer.Alone, suspect.Refuse: answer.Refuse,
}

// Judge says how a request may run.
func (u *suspects) Judge(digest uint64) answer.Treatment {
	return treatments[u.view.Load().Verdict(time.Now(), suspect.ContentHash(digest))]
}

// Occupied reports whether a suspect runs on an endpoint, here or at a peer.
func (u *suspects) Occupied(endpoint string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.HasLease(time.Now(), endpoint)
}

// Start notes a request on an endpoint. It returns false if the request is a suspect that can't run there alone.
// A suspect starts only after peers had time to object to its claim.
func (u *suspects) Start(digest uint64, endpoint string) bool {
	c := suspect.ContentHash(digest)
	started, alone := u.start(c, endpoint)
	if !alone {
		return started
	}
	claimed := time.Now()
	u.tell()
	time.Sleep(time.Until(claimed.Add(u.settle)))
	started = u.confirm(c, endpoint)
	u.tell() // that it started, or that the claim is gone
	return started
}

// start counts a request in, or claims the endpoint for a suspect.
func (u *suspects) start(c suspect.ContentHash, endpoint string) (started, alone bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.register.Verdict(now, c) == suspect.RunExclusively {
		return false, u.register.AcquireLease(now, c, endpoint)
	}
	u.count(c, endpoint)
	return true, false
}

func (u *suspects) confirm(c suspect.ContentHash, endpoint string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.register.ConfirmLease(time.Now(), c) {
		return false
	}
	u.count(c, endpoint)
	return true
}

// count notes that a content runs on an endpoint; u.mu is held.
func (u *suspects) count(c suspect.ContentHash, endpoint string) {
	m := u.running[endpoint]
	if m == nil {
		m = map[suspect.ContentHash]int{}
		u.running[endpoint] = m
	}
	m[c]++
}

// End notes that a request left an endpoint.
func (u *suspects) End(digest uint64, endpoint string, finished bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := suspect.ContentHash(digest)
	m := u.running[endpoint]
	if m[c]--; m[c] <= 0 {
		delete(m, c)
	}
	if len(m) == 0 {
		delete(u.running, endpoint)
	}
	u.register.ReleaseLease(time.Now(), c, finished)
	u.view.Store(u.register.Snapshot())
}

// Died marks the contents that run on an endpoint and returns when peers know of them.
func (u *suspects) Died(endpoint string) {
	u.mark(endpoint)
	u.tell()
}

func (u *suspects) mark(endpoint string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := make([]suspect.ContentHash, 0, len(u.running[endpoint]))
	for c := range u.running[endpoint] {
		l = append(l, c)
	}
	u.register.RecordDeath(time.Now(), endpoint, l...)
	u.view.Store(u.register.Snapshot())
}

// expire drops what no longer counts.
func (u *suspects) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.register.DropExpired(time.Now())
	u.view.Store(u.register.Snapshot())
}

// report returns what peers need to know.
func (u *suspects) report() suspect.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.Report()
}

// merge takes over a peer's report and tells whether it held news.
func (u *suspects) merge(r suspect.Report) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.register.Snapshot()
	u.register.MergeReport(time.Now(), r)
	u.view.Store(u.register.Snapshot())
	return u.register.Snapshot() != old
}
