package instance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// suspects tracks which request contents run on which endpoint, so that requests that may crash endpoints are isolated. It
// may be used by several goroutines. Policy reads a snapshot without a lock.
type suspects struct {
	snapshot    atomic.Pointer[suspect.Snapshot]
	notifyPeers func()        // sends the suspects to peers
	claimDelay  time.Duration // time from a claim of an endpoint until it can be confirmed

	mu       sync.Mutex // guards registry and running
	registry *suspect.Registry
	running  map[string]map[suspect.ContentHash]int // number of requests by endpoint and content
}

func newSuspects(s suspect.Settings) *suspects {
	r := &suspects{claimDelay: s.ClaimDelay, registry: suspect.New(s), running: map[string]map[suspect.ContentHash]int{}}
	r.snapshot.Store(r.registry.Snapshot())
	return r
}

// suspectPolicies maps the verdicts of the registry to the policies for requests.
var suspectPolicies = map[suspect.Verdict]answer.SuspectPolicy{
	suspect.RunAnywhere: answer.RunAnywhere, suspect.RunExclusively: answer.RunExclusively, suspect.Refuse: answer.RefuseRequest,
}

// Policy returns how a request may run.
func (s *suspects) Policy(digest uint64) answer.SuspectPolicy {
	return suspectPolicies[s.snapshot.Load().Verdict(time.Now(), suspect.ContentHash(digest))]
}

// RunsSuspect reports whether a suspect of this instance or of a peer runs on an endpoint.
func (s *suspects) RunsSuspect(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.HasLease(time.Now(), endpoint)
}

// StartRequest records that a request starts on an endpoint. It returns false if the request is a suspect that cannot
// run there exclusively. A suspect starts only after peers had time to report a conflicting claim.
func (s *suspects) StartRequest(digest uint64, endpoint string) bool {
	c := suspect.ContentHash(digest)
	started, claimed := s.startOrClaim(c, endpoint)
	if !claimed {
		return started
	}
	claimedAt := time.Now()
	s.notifyPeers()
	time.Sleep(time.Until(claimedAt.Add(s.claimDelay)))
	started = s.confirmClaim(c, endpoint)
	s.notifyPeers() // of the start, or of the withdrawn claim
	return started
}

// startOrClaim counts a request that may run anywhere, or claims the endpoint for a suspect.
func (s *suspects) startOrClaim(c suspect.ContentHash, endpoint string) (started, claimed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.registry.Verdict(now, c) == suspect.RunExclusively {
		return false, s.registry.AcquireLease(now, c, endpoint)
	}
	s.countRequest(c, endpoint)
	return true, false
}

// confirmClaim counts the request of a suspect if its claim of the endpoint is still valid.
func (s *suspects) confirmClaim(c suspect.ContentHash, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.ConfirmLease(time.Now(), c) {
		return false
	}
	s.countRequest(c, endpoint)
	return true
}

// countRequest records that a request with a content runs on an endpoint. The caller holds s.mu.
func (s *suspects) countRequest(c suspect.ContentHash, endpoint string) {
	counts := s.running[endpoint]
	if counts == nil {
		counts = map[suspect.ContentHash]int{}
		s.running[endpoint] = counts
	}
	counts[c]++
}

// EndRequest records that a request on an endpoint ended; finished means that it received its whole answer.
func (s *suspects) EndRequest(digest uint64, endpoint string, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := suspect.ContentHash(digest)
	counts := s.running[endpoint]
	if counts[c]--; counts[c] <= 0 {
		delete(counts, c)
	}
	if len(counts) == 0 {
		delete(s.running, endpoint)
	}
	s.registry.ReleaseLease(time.Now(), c, finished)
	s.snapshot.Store(s.registry.Snapshot())
}

// EndpointCrashed records the death of an endpoint against the contents that run on it, and sends them to peers before
// it returns.
func (s *suspects) EndpointCrashed(endpoint string) {
	s.recordDeath(endpoint)
	s.notifyPeers()
}

// recordDeath records the death of an endpoint in the registry.
func (s *suspects) recordDeath(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	contents := make([]suspect.ContentHash, 0, len(s.running[endpoint]))
	for c := range s.running[endpoint] {
		contents = append(contents, c)
	}
	s.registry.RecordDeath(time.Now(), endpoint, contents...)
	s.snapshot.Store(s.registry.Snapshot())
}

// dropExpired removes expired marks and leases from the registry.
func (s *suspects) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.DropExpired(time.Now())
	s.snapshot.Store(s.registry.Snapshot())
}

// report returns the suspects to send to peers.
func (s *suspects) report() suspect.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Report()
}

// mergeReport applies a peer's report and reports whether it changed the snapshot.
func (s *suspects) mergeReport(r suspect.Report) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.registry.Snapshot()
	s.registry.MergeReport(time.Now(), r)
	s.snapshot.Store(s.registry.Snapshot())
	return s.registry.Snapshot() != old
}
