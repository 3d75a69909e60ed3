package membership

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what an instance believes about a peer; a later constant wins over an earlier one of the same incarnation.
type State uint8

// States of a peer.
const (
	Alive   State = iota + 1
	Suspect       // somebody got no answer, directly or through helpers
	Silent        // at least two reporters got no answer; the peer may still be running
	Gone          // its host refuses connections, or another instance has its address
	Left          // it announced a planned stop
)

// String returns the state in lower case.
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

// Settings are the constants of a table.
type Settings struct {
	Self        Member
	Incarnation uint64 // above that of every earlier process with the same ID
	Window      time.Duration
	Suspicion   time.Duration // from the first report until a suspect counts as silent
	Forget      time.Duration // from the loss of a peer that is not on the list until its entry is dropped
	Rotate      time.Duration // between replacements of one random partner
	Partners    int           // peers that are probed regularly; bounds the open connections
	Ring        int           // partners that are the next ones in hash order, so that somebody probes every peer
	Fanout      int           // direct probes in each period
	Doubt       int           // direct probes in each period while the own log reads fail
	Helpers     int           // peers asked to probe for us
	DeltaBytes  int           // bound on the deltas in a message
	Batch       int           // largest fleet in which each instance appends for itself
}

// Default returns the settings used in service.
func Default(self Member, incarnation uint64) Settings {
	return Settings{
		Self: self, Incarnation: incarnation,
		Window:    5 * time.Second, // design page, invariant 10
		Suspicion: 5 * time.Second,
		Forget:    10 * time.Minute,
		Rotate:    30 * time.Second,
		Partners:  12, Ring: 4, Fanout: 3, Helpers: 3,
		// 12 partners in two periods leave 3 s of the window for a retry and an indirect probe.
		Doubt:      6,
		DeltaBytes: 512,
		Batch:      9,
	}
}

// Member names an instance; Leaving is the platform's word for it.
type Member struct {
	ID      string
	Zone    string
	Address netip.AddrPort
	Leaving bool
}

// Delta is one change of the table; Reporters got no answer, or for Gone were refused. Two are enough to confirm.
type Delta struct {
	Member
	State       State
	Incarnation uint64
	Reporters   []string
}

// Message is what a probe and its answer carry.
type Message struct {
	From        Member
	Incarnation uint64
	Left        bool
	Next        uint64        // highest end of the config stream that anybody is known to have seen
	Read        bool          // whether ReadAge and ReadNext are set
	ReadAge     time.Duration // age of the latest known successful read of the log
	ReadNext    uint64        // end of the config stream at that read
	Deltas      []Delta
}

type peer struct {
	Member
	state       State
	incarnation uint64
	hash        uint64
	since       time.Time // of the state
	heard       time.Time // when the probe that was answered last was sent
	probed      time.Time // when the last probe was due
	partner     time.Time // since when it is a partner; zero if it is none
	reporters   []string  // got no answer
	refusers    []string  // were refused a connection, or found another instance at the address
	listed      bool
	delisted    bool // was on the platform's list and no longer is
	unsent      int  // messages that still have to carry the entry
}

// Table is the peer table of one instance; it belongs to one goroutine.
type Table struct {
	s           Settings
	incarnation uint64
	left        bool
	peers       map[string]*peer
	order       []*peer // by hash, then ID
	random      []string
	rotated     time.Time
	started     time.Time
	ticks       uint64
	version     uint64
	listRead    bool
	alone       bool // the last list named no other instance

	applied   uint64
	next      uint64
	ownRead   time.Time
	read      time.Time
	readNext  uint64
	confirmed time.Time
}

// NewTable returns a table that knows no peer.
func NewTable(now time.Time, s Settings) *Table {
	return &Table{s: s, incarnation: s.Incarnation, peers: map[string]*peer{}, rotated: now, started: now}
}

// Version changes whenever a peer or its state does.
func (t *Table) Version() uint64 { return t.version }

// Next returns the highest end of the config stream known from the log or from peers.
func (t *Table) Next() uint64 { return t.next }

// Step folds one event and returns what has to be done.
func (t *Table) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Tick:
		return t.tick(now, e.Draw)
	case List:
		return t.list(now, e.Members)
	case Received:
		return t.receive(now, e.Message)
	case Answered:
		return t.answered(now, e)
	case Failed:
		return t.failed(now, e)
	case Helped:
		return t.helped(now, e)
	case LogRead:
		t.logRead(e)
	case Applied:
		t.apply(e.Next)
	case Leave:
		return t.leave()
	}
	return nil
}

func (t *Table) leave() []Action {
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

func (t *Table) add(now time.Time, m Member) *peer {
	p := &peer{Member: m, state: Alive, hash: xxhash.Sum64String(m.ID), since: now}
	t.peers[m.ID] = p
	t.insert(p)
	t.version++
	return p
}

func (t *Table) set(now time.Time, p *peer, s State) []Action {
	if p.state == s {
		return nil
	}
	a := Changed{Peer: p.Member, From: p.state, To: s}
	p.state, p.since = s, now
	t.spread(p)
	t.version++
	return []Action{a}
}
