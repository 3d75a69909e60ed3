package composed

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	queueWait   = 5 * time.Second // for an endpoint
	reserveWait = 2 * time.Second // for a grant
	orderPrice  = 10
	inputTokens = 10
)

// call is what a caller wants, over all its attempts.
type call struct {
	org, profile, key, content string
	order, honours, poison     bool
	issued                     time.Time // of the key
	chain                      *chain    // session, if any
}

// chain is a session as its caller keeps it.
type chain struct {
	token string // empty before the first answer
}

// task is one attempt at a call on an instance.
type task struct {
	n         *node
	c         *call
	id        string
	do        func() bool // the current phase; false while it waits
	done      bool
	deadline  time.Time
	since     time.Time // of the phase
	reserved  *entitlement.Reservation
	wallet    *entitlement.Wallet // of the reservation
	index     map[record.Duration]int64
	worst     entitlement.Amounts
	used      entitlement.Amounts
	sent      bool
	attempts  endpoint.Attempts
	exclude   [6]endpoint.Handle
	failed    int
	job       *job
	token     *session.Token
	pinned    bool
	moved     string
	plans, at int
	steps     []cascade.Step
	after     string
	buffer    []string
	delivered []string
	cost      record.Micros
	version   string
	started   string // version under which the answer began
	bill      *record.Bill
	billed    bool // the log has the bill

	claim  *claim.Claimant
	ruling *claim.Ruling
}

// serve mirrors gateway.serve.
func (n *node) serve(c *call) {
	t := &task{n: n, c: c, id: n.w.name("attempt"), deadline: n.w.now.Add(deadline)}
	if n.closed() || !n.fresh() || n.holder.Admit() != nil {
		return
	}
	n.tasks = append(n.tasks, t)
	t.begin()
}

// fresh mirrors instance.serving. The model asks it right before each send as well, as the design page demands;
// internal/answer and internal/order ask it only when a request arrives.
func (n *node) fresh() bool { return n.members.Fresh(n.w.now).Ready }

func (n *node) stepTasks() {
	for _, t := range slices.Clone(n.tasks) {
		for !t.done && t.do() {
			continue
		}
	}
	n.tasks = slices.DeleteFunc(n.tasks, func(t *task) bool { return t.done })
}

func (t *task) now() time.Time { return t.n.w.now }

func (t *task) then(do func() bool) bool {
	t.do, t.since = do, t.now()
	return true
}

// end closes a task; a refusal that says "not run" must be true.
func (t *task) end(notRun bool) bool {
	t.done = true
	if t.job != nil {
		t.leave(false)
	}
	if t.reserved != nil {
		t.wallet.Settle(t.n.grantTime(), *t.reserved, t.used)
	}
	t.n.holder.Cancel()
	if notRun {
		t.n.w.checkNotRun(t)
	}
	return true
}

// begin mirrors gateway.chat and gateway.service up to the reservation.
func (t *task) begin() {
	if t.c.order {
		t.worst = entitlement.Amounts{Cost: orderPrice, Requests: 1}
		t.then(t.reserve)
		return
	}
	if t.c.chain != nil && t.c.chain.token != "" {
		k, err := t.n.w.signer.Verify(t.c.chain.token, t.c.org, t.now())
		if err != nil {
			t.n.w.t.Fatalf("session token: %v", err)
		}
		t.token = &k
	}
	if !t.plan() {
		t.end(true)
		return
	}
	for _, s := range t.steps {
		t.worst.Cost += price(t, s.Version, tokens)
	}
	t.worst.Tokens, t.worst.Requests = int64(len(t.steps)*(inputTokens+tokens)), 1
	t.then(t.reserve)
}

func price(t *task, version string, output int) record.Micros {
	p := t.n.catalog.Versions[version].Price
	return record.Micros((int64(p.Input)*inputTokens + int64(p.Output)*int64(output) + 999) / 1000)
}

func (t *task) reserve() bool {
	r, s := t.n.reserve(t.c.org, t.worst)
	switch {
	case s == entitlement.Reserved:
		t.reserved, t.wallet, t.index = &r, t.n.wallets[t.c.org], map[record.Duration]int64{}
		for _, l := range t.n.catalog.Organisations[t.c.org].Limits {
			t.index[l.Period] = entitlement.Index(t.n.grantTime(), l.Period)
		}
		if t.c.order {
			return t.then(t.claiming)
		}
		t.attempts = t.n.retries.First()
		return t.then(t.choose)
	case s == entitlement.Exhausted || t.now().Sub(t.since) >= reserveWait:
		return t.end(true)
	}
	return false
}

// plan mirrors Maker.plan and Maker.choosePlan.
func (t *task) plan() bool {
	n, c := t.n, t.n.catalog
	p := c.Profiles[t.c.profile]
	pin := session.Resolve(c, t.c.org, t.c.profile, t.token)
	t.pinned = pin.Outcome == session.OutcomeKept && !n.driver.Stopped(pin.Version)
	q := &cascade.Request{
		Class: t.c.profile, Quality: p.Quality, Weights: p.Weights, RaterUp: n.ratings < 3 || !t.now().Before(n.rateAt),
		MaxCost: p.MaxCost, Deadline: t.deadline.Sub(t.now()), Input: inputTokens, MaxOutput: tokens,
		Session: t.c.chain != nil || len(t.delivered) > 0,
	}
	switch {
	case pin.Outcome == session.OutcomeRefused:
		return false
	case t.pinned:
		q.Pinned, q.Candidates = pin.Version, cascade.Pinned(c, t.c.profile, pin.Version)
	default:
		t.moved = string(pin.Reason)
		if pin.Outcome == session.OutcomeKept {
			t.moved = string(session.ReasonHalted)
		}
		for _, d := range cascade.Candidates(c, t.c.profile) {
			if !n.driver.Stopped(d.Version) && n.driver.Open(d.Version) {
				q.Candidates = append(q.Candidates, d)
			}
		}
	}
	l := n.beliefs.View(t.now()).Plan(q, n.w.draw())
	t.steps, t.at = l.Steps, 0
	t.plans++
	return l.Problem == ""
}

// fail mirrors run.fail: "not run" is said only when nothing was sent.
func (t *task) fail() bool { return t.end(!t.sent) }

// runs mirrors attempt.runs.
func (t *task) runs() bool {
	v := t.steps[t.at].Version
	return t.n.catalog.Allows(t.c.profile, v) && !t.n.driver.Stopped(v)
}

func (t *task) digest() suspect.ContentHash { return suspect.HashContent("chat", []byte(t.c.content)) }

// choose mirrors attempt.choose and the part of attempt.once up to the send.
func (t *task) choose() bool {
	n, now, s := t.n, t.now(), t.steps[t.at]
	verdict := n.suspects.Verdict(now, t.digest())
	if verdict == suspect.Refuse || !now.Before(t.deadline) {
		return t.fail()
	}
	q := endpoint.Query{Version: s.Version, Zone: n.zone, Exclude: t.exclude, Draws: [2]float64{n.w.draw(), n.w.draw()}, Now: now}
	c, ok := endpoint.Choice{}, false
	if verdict == suspect.RunExclusively {
		c, ok = n.table.View().ChooseAlone(q, func(id string) bool { return n.suspects.HasLease(now, id) })
	} else {
		c, ok = n.table.View().Choose(q)
	}
	if ok && n.fresh() && (verdict != suspect.RunExclusively || n.suspects.AcquireLease(now, t.digest(), c.ID)) {
		if verdict == suspect.RunExclusively {
			n.tell()
		}
		c.Begin(now)
		if !c.Barred() {
			return t.send(c)
		}
		n.suspects.ReleaseLease(now, t.digest(), false)
		c.End()
	}
	switch {
	case now.Sub(t.since) > queueWait:
		return t.stepFailed()
	case !t.runs():
		return t.replan()
	case !ok && t.failed > 0:
		t.exclude = [6]endpoint.Handle{}
	}
	return false
}

// send mirrors attempt.once: the version is checked last.
func (t *task) send(c endpoint.Choice) bool {
	n, s := t.n, t.steps[t.at]
	have := t.delivered
	if s.Rate {
		have = t.buffer
	}
	t.job = &job{e: n.w.engine(c.ID), choice: c, at: t.now(), last: t.now(), next: len(have)}
	t.job.epoch = t.job.e.epoch
	if n.running[c.ID] == nil {
		n.running[c.ID] = map[suspect.ContentHash]int{}
	}
	n.running[c.ID][t.digest()]++
	if !t.runs() || !n.fresh() {
		t.leave(false)
		return t.replan()
	}
	if t.job.e.dead {
		return t.connectionFailed(endpoint.FailRefused)
	}
	t.sent = true
	n.w.checkSend(t, t.job.e, s.Version)
	return t.then(t.stream)
}

// leave mirrors Suspects.End and Choice.End.
func (t *task) leave(whole bool) {
	if m := t.n.running[t.job.choice.ID]; m != nil {
		if m[t.digest()]--; m[t.digest()] <= 0 {
			delete(m, t.digest())
		}
	}
	t.n.suspects.ReleaseLease(t.now(), t.digest(), whole)
	t.job.choice.End()
	t.job = nil
}

// stream mirrors engine.Client.Stream with the callback of attempt.once.
func (t *task) stream() bool {
	j, s, now := t.job, t.steps[t.at], t.now()
	if !now.After(j.at) {
		return false
	}
	if t.c.poison && j.e.epoch == j.epoch && !j.silent() {
		j.e.die(now)
	}
	if k := j.failure(now, s.Version); k != "" {
		return t.connectionFailed(k)
	}
	if !now.Before(t.deadline) {
		return t.fail()
	}
	if j.silent() {
		return false
	}
	j.last = now
	for range 3 {
		if j.next == tokens {
			break
		}
		text := fmt.Sprintf("%s/%d@%s", t.c.key, j.next, s.Version)
		j.next++
		if s.Rate {
			t.buffer = append(t.buffer, text)
		} else {
			t.deliver(text, s.Version)
		}
	}
	switch {
	case j.next == tokens:
		t.n.ownLeft[j.e.id] = j.e.leaving
		t.n.pool(endpoint.Answered{Endpoint: j.choice.Endpoint, Started: j.at, Report: endpoint.Report{Time: now, Slots: 4, Leaving: j.e.leaving}})
		t.leave(true)
		return t.whole()
	case j.e.truncate > 0:
		j.e.truncate--
		return t.connectionFailed(endpoint.FailStatus)
	}
	return false
}

func (t *task) deliver(text, version string) {
	if len(t.delivered) == 0 {
		t.started = version
	}
	t.delivered = append(t.delivered, text)
}

// connectionFailed mirrors attempt.fail and attempt.untilWhole.
func (t *task) connectionFailed(k endpoint.FailKind) bool {
	n, j := t.n, t.job
	if k == endpoint.FailDied {
		var l []suspect.ContentHash
		for c := range n.running[j.choice.ID] {
			l = append(l, c)
		}
		slices.Sort(l)
		n.suspects.RecordDeath(t.now(), j.choice.ID, l...)
		n.tell()
	}
	n.pool(endpoint.Failed{Endpoint: j.choice.Endpoint, Started: j.at, Kind: k, Version: t.steps[t.at].Version})
	t.exclude[t.failed%len(t.exclude)] = j.choice.Endpoint
	t.failed++
	more := j.last.After(j.at)
	t.leave(false)
	if more || n.retries.Take(t.now(), &t.attempts, t.deadline, 0) {
		return t.then(t.choose)
	}
	return t.stepFailed()
}

// replan mirrors the loop of Maker.run.
func (t *task) replan() bool {
	if t.plans > 4 || !t.plan() {
		return t.fail()
	}
	t.buffer = nil
	return t.then(t.choose)
}

// stepFailed mirrors Maker.runSteps: only a rated step has a next one.
func (t *task) stepFailed() bool {
	t.cost += price(t, t.steps[t.at].Version, len(t.buffer))
	t.observe(cascade.Outcome{Failed: true})
	if !t.steps[t.at].Rate || t.at == len(t.steps)-1 {
		return t.fail()
	}
	t.at++
	t.buffer = nil
	return t.then(t.choose)
}

func (t *task) observe(o cascade.Outcome) {
	o.Class, o.Version, o.After = t.c.profile, t.steps[t.at].Version, t.after
	o.Prior, o.MinScore = 0.8, t.n.catalog.Profiles[t.c.profile].Quality.MinScore
	t.n.beliefs.Observe(t.now(), o)
	t.n.judge(sample(o))
}

// whole mirrors the end of Maker.step and Maker.rated.
func (t *task) whole() bool {
	s := t.steps[t.at]
	c := price(t, s.Version, tokens)
	t.cost += c
	o := cascade.Outcome{Done: true, Cost: c, Latency: t.now().Sub(t.since)}
	if !s.Rate {
		t.observe(o)
		t.version = s.Version
		return t.charge()
	}
	o.Score, o.Rated = t.n.w.rate(t.n, s.Version)
	t.observe(o)
	if !o.Rated || o.Score < t.n.catalog.Profiles[t.c.profile].Quality.MinScore {
		if t.at == len(t.steps)-1 {
			return t.fail()
		}
		t.after = s.Version
		t.at++
		t.buffer = nil
		return t.then(t.choose)
	}
	for _, x := range t.buffer {
		t.deliver(x, s.Version)
	}
	t.version = s.Version
	return t.charge()
}

// charge mirrors gateway.bill: the last byte waits until a witness or the log has the bill.
func (t *task) charge() bool {
	t.bill = &record.Bill{
		Organisation: t.c.org, Key: t.c.key, Version: t.version, Cost: min(t.cost, t.worst.Cost), Issued: t.now(), Instance: t.n.id,
		Input: inputTokens, Output: tokens,
	}
	t.used = entitlement.Amounts{Cost: t.bill.Cost, Tokens: inputTokens + tokens, Requests: 1}
	if t.c.order {
		t.bill.Cost, t.bill.Version, t.bill.Service = orderPrice, "", "order"
	}
	t.n.w.issued[t.bill.ID()] = true
	held := t.n.hold(*t.bill)
	return t.then(func() bool {
		if !held && !t.billed {
			return false
		}
		t.n.w.release(t)
		return t.end(false)
	})
}
