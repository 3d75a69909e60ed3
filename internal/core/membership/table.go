package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a peer as an instance believes it to be. Within an incarnation, reports by other instances only
// move it to a later constant; an answer to a probe makes it alive again.
type State uint8

// States of a peer.
const (
	Alive   State = iota + 1
	Suspect       // an instance got no answer, neither directly nor through helpers
	Silent        // enough reporters got no answer; the peer may still be running
	Gone          // its host refuses connections, or another instance answers at its address
	Left          // it announced a planned stop
)

// String returns the name of the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Silent:
		return "silent"
	case Gone:
		return "gone"
	case Left:
		return "left"
	}
	return "unknown"
}

// Settings configures a Table.
type Settings struct {
	Self               Member
	Incarnation        uint64        // higher than that of every earlier process with the same ID
	FreshnessWindow    time.Duration // time for which a read of the log or a peer's answer counts as recent
	SuspicionTimeout   time.Duration // time from the first report until a confirmed suspect is declared silent
	ForgetAfter        time.Duration // time from the loss of an unlisted peer until it is removed
	RotationInterval   time.Duration // time between replacements of one random partner
	MaxPartners        int           // largest number of peers probed regularly, which bounds the open connections
	RingPartners       int           // partners that are successors in the hash ring, so that every peer is probed by some instance
	ProbesPerPeriod    int           // direct probes of partners in each period
	ProbesWithoutLog   int           // direct probes of partners in each period while this instance can't read the log
	MaxHelpers         int           // largest number of peers asked for an indirect probe
	MaxDeltaBytes      int           // largest encoded size of the deltas in a message
	MaxDirectAppenders int           // largest number of instances at which each one appends its own records
}

// DefaultSettings returns the settings used in production.
func DefaultSettings(self Member, incarnation uint64) Settings {
	return Settings{
		Self: self, Incarnation: incarnation,
		FreshnessWindow:  5 * time.Second, // required by invariant 10 of the design page
		SuspicionTimeout: 5 * time.Second,
		ForgetAfter:      10 * time.Minute,
		RotationInterval: 30 * time.Second,
		MaxPartners:      12, RingPartners: 4, ProbesPerPeriod: 3, MaxHelpers: 3,
		// Probing 12 partners in two periods leaves 3 s of the window for a retry and an indirect probe.
		ProbesWithoutLog:   6,
		MaxDeltaBytes:      512,
		MaxDirectAppenders: 9,
	}
}

// Member identifies an instance; Leaving reports that the platform is about to stop it.
type Member struct {
	ID      string
	Zone    string
	Address netip.AddrPort
	Leaving bool
}

// Delta is a change of a peer's state. Reporters are the IDs of the instances that got no answer, or were refused for Gone;
// at most two are sent, because two confirm the change.
type Delta struct {
	Member
	State       State
	Incarnation uint64
	Reporters   []string
}

// Message is the content of a probe and of its answer.
type Message struct {
	From        Member
	Incarnation uint64
	Stopping    bool          // whether the sender has announced its stop
	ConfigNext  uint64        // highest known end of the config stream
	HasLogRead  bool          // whether LogReadAge and LogReadNext are set
	LogReadAge  time.Duration // age of the latest known read of the log by any instance
	LogReadNext uint64        // end of the config stream at that read
	Deltas      []Delta
}

type peer struct {
	Member
	state        State
	incarnation  uint64
	hash         uint64
	stateSince   time.Time // when the state was entered
	lastAnswered time.Time // when the latest answered probe was sent
	lastProbed   time.Time // when the latest regular probe was requested
	partnerSince time.Time // when it became a partner; zero if it isn't one
	reporters    []string  // IDs of instances that got no answer
	refusers     []string  // IDs of instances that were refused, or found another instance at the address
	listed       bool      // whether it is on the platform's list
	delisted     bool      // whether it was on the platform's list and no longer is
	sendsLeft    int       // number of messages that still have to carry its state
}

// Table is the peer table of one instance. It isn't safe for concurrent use.
type Table struct {
	settings       Settings
	incarnation    uint64
	left           bool // whether this instance has announced its stop
	peers          map[string]*peer
	ring           []*peer // peers by hash, then ID
	randomPartners []string
	lastRotation   time.Time
	started        time.Time
	tickCount      uint64
	version        uint64
	listRead       bool // whether a list has been received
	listedAlone    bool // whether the latest list names no other instance

	appliedNext       uint64    // end of the applied config records
	knownNext         uint64    // highest known end of the config stream
	lastOwnRead       time.Time // latest read of the log by this instance
	lastRead          time.Time // latest known read of the log by any instance
	lastReadNext      uint64    // end of the config stream at lastRead
	lastConfirmedRead time.Time // latest known read of the log whose records are all applied
}

// NewTable returns a table without peers.
func NewTable(now time.Time, s Settings) *Table {
	return &Table{settings: s, incarnation: s.Incarnation, peers: map[string]*peer{}, lastRotation: now, started: now}
}

// Revision returns a counter that grows with each change of a peer or its state.
func (t *Table) Revision() uint64 { return t.version }

// ConfigNext returns the highest known end of the config stream, as read from the log or told by peers.
func (t *Table) ConfigNext() uint64 { return t.knownNext }

// Step processes an event and returns the actions to perform.
func (t *Table) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Tick:
		return t.handleTick(now, e.Seed)
	case InstancesListed:
		return t.handleList(now, e.Instances)
	case ProbeReceived:
		return t.mergeMessage(now, e.Message)
	case ProbeAnswered:
		return t.handleAnswered(now, e)
	case ProbeFailed:
		return t.handleFailed(now, e)
	case IndirectProbeFinished:
		return t.handleHelped(now, e)
	case ConfigLogRead:
		t.handleLogRead(e)
	case ConfigApplied:
		t.handleApplied(e.ConfigNext)
	case StopPlanned:
		return t.handleLeave()
	}
	return nil
}

// handleLeave marks this instance as stopping under a new incarnation and returns probes that tell its partners.
func (t *Table) handleLeave() []Action {
	t.left = true
	t.incarnation++
	t.version++
	var l []Action
	for _, p := range t.partners() {
		if p.state == Alive {
			l = append(l, Probe{p.Member})
		}
	}
	return l
}

func (t *Table) addPeer(now time.Time, m Member) *peer {
	p := &peer{Member: m, state: Alive, hash: xxhash.Sum64String(m.ID), stateSince: now}
	t.peers[m.ID] = p
	t.insertPeer(p)
	t.version++
	return p
}

// setState changes a peer's state and schedules the change to be spread.
func (t *Table) setState(now time.Time, p *peer, s State) []Action {
	if p.state == s {
		return nil
	}
	a := StateChanged{Peer: p.Member, From: p.state, To: s}
	p.state, p.stateSince = s, now
	t.scheduleSpread(p)
	t.version++
	return []Action{a}
}
