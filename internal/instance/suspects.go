package instance

import (
	"strconv"
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

	mu       sync.Mutex // guards the fields below
	registry *suspect.Registry
	parts    *suspect.PartRegistry
	running  map[string]map[suspect.ContentHash]*runningContent // by endpoint
}

// runningContent is a content that an endpoint is running.
type runningContent struct {
	requests     int
	parts        []string
	firstTokenAt time.Time // zero until the endpoint begins an answer
}

const (
	// harmlessDelay is how long an endpoint has to live on after it began an answer, to show that the prompt is harmless.
	harmlessDelay = 250 * time.Millisecond
	// deathInterval is the time in which the deaths of one endpoint count once, as peers report them one after the other.
	deathInterval = 30 * time.Second
)

func newSuspects(s suspect.Settings) *suspects {
	r := &suspects{
		claimDelay: s.ClaimDelay, registry: suspect.New(s), running: map[string]map[suspect.ContentHash]*runningContent{},
		parts: suspect.NewPartRegistry(suspect.DefaultPartSettings(s.Instance)),
	}
	r.snapshot.Store(r.registry.Snapshot())
	return r
}

// suspectPolicies maps the verdicts of the registry to the policies for requests.
var suspectPolicies = map[suspect.Verdict]answer.SuspectPolicy{
	suspect.RunAnywhere: answer.RunAnywhere, suspect.RunExclusively: answer.RunExclusively, suspect.Refuse: answer.RefuseRequest,
}

// Policy returns how a request may run.
func (s *suspects) Policy(c answer.Content) answer.SuspectPolicy {
	now := time.Now()
	s.mu.Lock()
	s.parts.Evaluate(now)
	v, _ := s.parts.Verdict(now, c.Parts)
	s.mu.Unlock()
	switch v {
	case suspect.PartsRefused:
		return answer.RefuseRequest
	case suspect.PartsPending:
		return answer.AwaitDecision
	}
	return suspectPolicies[s.snapshot.Load().Verdict(now, suspect.ContentHash(c.Digest))]
}

// RunsSuspect reports whether a suspect of this instance or of a peer runs on an endpoint.
func (s *suspects) RunsSuspect(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.HasLease(time.Now(), endpoint)
}

// StartRequest records that a request starts on an endpoint. It returns false if the request is a suspect that cannot
// run there exclusively, or has a part that is refused. A suspect starts only after peers had time to report a conflicting
// claim.
func (s *suspects) StartRequest(c answer.Content, endpoint string) bool {
	started, claimed, trial := s.startOrClaim(c, endpoint)
	if trial {
		s.notifyPeers()
	}
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

// startOrClaim counts a request that may run anywhere, or claims the endpoint for a suspect. Trial tells that the request tries
// a part that was refused.
func (s *suspects) startOrClaim(c answer.Content, endpoint string) (started, claimed, trial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch v, m := s.parts.Verdict(now, c.Parts); v {
	case suspect.PartsRefused, suspect.PartsPending:
		return false, false, false
	case suspect.PartsOnTrial:
		if _, trial = s.parts.StartTrial(now, m.Part); !trial {
			return false, false, false
		}
	}
	if s.registry.Verdict(now, suspect.ContentHash(c.Digest)) == suspect.RunExclusively {
		return false, s.registry.AcquireLease(now, suspect.ContentHash(c.Digest), endpoint), trial
	}
	s.countRequest(c, endpoint)
	return true, false, trial
}

// confirmClaim counts the request of a suspect if its claim of the endpoint is still valid.
func (s *suspects) confirmClaim(c answer.Content, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.registry.ConfirmLease(time.Now(), suspect.ContentHash(c.Digest)) {
		return false
	}
	s.countRequest(c, endpoint)
	return true
}

// countRequest counts a request on an endpoint. The caller holds the mutex.
func (s *suspects) countRequest(c answer.Content, endpoint string) {
	contents := s.running[endpoint]
	if contents == nil {
		contents = map[suspect.ContentHash]*runningContent{}
		s.running[endpoint] = contents
	}
	r := contents[suspect.ContentHash(c.Digest)]
	if r == nil {
		r = &runningContent{parts: c.Parts}
		contents[suspect.ContentHash(c.Digest)] = r
	}
	r.requests++
}

// RecordFirstToken records that an endpoint began the answer to a request.
func (s *suspects) RecordFirstToken(c answer.Content, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.running[endpoint][suspect.ContentHash(c.Digest)]; r != nil && r.firstTokenAt.IsZero() {
		r.firstTokenAt = time.Now()
	}
}

// EndRequest records that a request on an endpoint ended; finished means that it received its whole answer.
func (s *suspects) EndRequest(c answer.Content, endpoint string, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, content := time.Now(), suspect.ContentHash(c.Digest)
	contents := s.running[endpoint]
	if r := contents[content]; r != nil {
		if r.requests--; r.requests <= 0 {
			delete(contents, content)
		}
	}
	if len(contents) == 0 {
		delete(s.running, endpoint)
	}
	if finished {
		s.parts.RecordResponse(now, c.Parts)
	}
	s.registry.ReleaseLease(now, content, finished)
	s.snapshot.Store(s.registry.Snapshot())
}

// EndpointCrashed records the death of an endpoint against the contents that run on it, and sends them to peers before
// it returns.
func (s *suspects) EndpointCrashed(endpoint string) {
	s.recordDeath(endpoint)
	s.notifyPeers()
}

// recordDeath records the death of an endpoint against the contents that it was running, and against the parts of those to
// which it had not begun an answer.
func (s *suspects) recordDeath(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	process := suspect.ProcessHash(endpoint, now.Truncate(deathInterval).UnixMilli())
	contents := make([]suspect.ContentHash, 0, len(s.running[endpoint]))
	for c, r := range s.running[endpoint] {
		contents = append(contents, c)
		if r.firstTokenAt.IsZero() || now.Sub(r.firstTokenAt) < harmlessDelay {
			s.parts.RecordDeath(now, process, strconv.FormatUint(uint64(c), 16), r.parts)
		}
	}
	s.registry.RecordDeath(now, endpoint, contents...)
	s.snapshot.Store(s.registry.Snapshot())
}

// partMarks returns the marks of prompt parts to send to peers, the most important ones first.
func (s *suspects) partMarks() []suspect.PartMark {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts.Evidence()
}

// mergePartMarks applies a peer's marks of prompt parts.
func (s *suspects) mergePartMarks(l []suspect.PartMark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, m := range l {
		s.parts.Merge(now, m)
	}
}

// dropExpired removes expired marks and leases from the registry.
func (s *suspects) dropExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.DropExpired(time.Now())
	s.parts.DropExpired(time.Now())
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
