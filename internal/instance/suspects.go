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
	view   atomic.Pointer[suspect.View]
	tell   func()        // peers, before a suspect runs again
	settle time.Duration // from a claim until it can be confirmed

	mu       sync.Mutex
	register *suspect.Register
	running  map[string]map[suspect.Content]int // requests by endpoint and content
}

func newSuspects(s suspect.Settings) *suspects {
	u := &suspects{settle: s.Settle, register: suspect.New(s), running: map[string]map[suspect.Content]int{}}
	u.view.Store(u.register.View())
	return u
}

// treatments maps verdicts to treatments.
var treatments = map[suspect.Verdict]answer.Treatment{
	suspect.Run: answer.Run, suspect.Alone: answer.Alone, suspect.Refuse: answer.Refuse,
}

// Judge says how a request may run.
func (u *suspects) Judge(digest uint64) answer.Treatment {
	return treatments[u.view.Load().Judge(time.Now(), suspect.Content(digest))]
}

// Occupied reports whether a suspect runs on an endpoint, here or at a peer.
func (u *suspects) Occupied(endpoint string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.Occupied(time.Now(), endpoint)
}

// Start notes a request on an endpoint. It returns false if the request is a suspect that can't run there alone.
// A suspect starts only after peers had time to object to its claim.
func (u *suspects) Start(digest uint64, endpoint string) bool {
	c := suspect.Content(digest)
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
func (u *suspects) start(c suspect.Content, endpoint string) (started, alone bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if u.register.Judge(now, c) == suspect.Alone {
		return false, u.register.Acquire(now, c, endpoint)
	}
	u.count(c, endpoint)
	return true, false
}

func (u *suspects) confirm(c suspect.Content, endpoint string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.register.Confirm(time.Now(), c) {
		return false
	}
	u.count(c, endpoint)
	return true
}

// count notes that a content runs on an endpoint; u.mu is held.
func (u *suspects) count(c suspect.Content, endpoint string) {
	m := u.running[endpoint]
	if m == nil {
		m = map[suspect.Content]int{}
		u.running[endpoint] = m
	}
	m[c]++
}

// End notes that a request left an endpoint.
func (u *suspects) End(digest uint64, endpoint string, finished bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := suspect.Content(digest)
	m := u.running[endpoint]
	if m[c]--; m[c] <= 0 {
		delete(m, c)
	}
	if len(m) == 0 {
		delete(u.running, endpoint)
	}
	u.register.Release(time.Now(), c, finished)
	u.view.Store(u.register.View())
}

// Died marks the contents that run on an endpoint and returns when peers know of them.
func (u *suspects) Died(endpoint string) {
	u.mark(endpoint)
	u.tell()
}

func (u *suspects) mark(endpoint string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := make([]suspect.Content, 0, len(u.running[endpoint]))
	for c := range u.running[endpoint] {
		l = append(l, c)
	}
	u.register.Death(time.Now(), endpoint, l...)
	u.view.Store(u.register.View())
}

// expire drops what no longer counts.
func (u *suspects) expire() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.register.Expire(time.Now())
	u.view.Store(u.register.View())
}

// report returns what peers need to know.
func (u *suspects) report() suspect.Report {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.register.Digest()
}

// merge takes over a peer's report and tells whether it held news.
func (u *suspects) merge(r suspect.Report) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.register.View()
	u.register.Merge(time.Now(), r)
	u.view.Store(u.register.View())
	return u.register.View() != old
}
