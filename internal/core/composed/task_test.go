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
	endpointWait = 5 * time.Second // longest wait for an endpoint
	reserveWait  = 2 * time.Second // longest wait for a grant
	orderPrice   = 10
	inputTokens  = 10
)

// call is a caller's request, which may be sent several times.
type call struct {
	org, profile, key, content string
	// An order is sent to the order service, which recognises a repeated key if honoursKey is set.
	// The content of a poison call kills the endpoint that processes it.
	order, honoursKey, poison bool
	issuedAt                  time.Time     // when the key was created
	chain                     *sessionChain // nil outside of sessions
}

// sessionChain is the state of a session that its caller stores.
type sessionChain struct {
	token string // empty until the first answer arrives
}

// task is the processing of one attempt at a call by an instance.
type task struct {
	inst                 *instance
	call                 *call
	id                   string
	phase                func() bool // current phase; returns false while it waits
	done                 bool
	deadline             time.Time
	phaseStart           time.Time
	reserved             *entitlement.Reservation
	balance              *entitlement.Balance // balance that holds the reservation
	periodIndex          map[record.Duration]int64
	reservedAmounts      entitlement.Amounts
	usedAmounts          entitlement.Amounts
	sent                 bool
	attempts             endpoint.AttemptCount
	exclude              [6]endpoint.Handle
	failures             int // failed connections
	request              *request
	token                *session.Token
	pinned               bool
	moveReason           string // why the session changes its version, if it does
	planCount, stepIndex int
	steps                []cascade.Step
	previousVersion      string   // version of the previous rated step, if it was rated too low
	buffer               []string // tokens of a rated step, until the rating
	delivered            []string
	cost                 record.Micros
	version              string
	startVersion         string // version of the first delivered token
	bill                 *record.Bill
	billInLog            bool // whether the log has the bill

	attemptState *claim.AttemptState
	decision     *claim.Decision
}

// serveCall mirrors Gateway.runHandler.
func (inst *instance) serveCall(c *call) {
	t := &task{inst: inst, call: c, id: inst.w.newID("attempt"), deadline: inst.w.now.Add(requestDeadline)}
	if inst.rejectsCalls() || !inst.isFresh() || inst.billBuffer.Reserve() != nil {
		return
	}
	inst.tasks = append(inst.tasks, t)
	t.start()
}

// isFresh mirrors Instance.checkFreshness. It is checked when a request arrives and again right before each send,
// because the process may have been paused in between.
func (inst *instance) isFresh() bool { return inst.members.Freshness(inst.w.now).Ready }

// stepTasks runs each task until it waits or is done.
func (inst *instance) stepTasks() {
	for _, t := range slices.Clone(inst.tasks) {
		for !t.done && t.phase() {
			continue
		}
	}
	inst.tasks = slices.DeleteFunc(inst.tasks, func(t *task) bool { return t.done })
}

func (t *task) now() time.Time { return t.inst.w.now }

// startPhase sets the next phase and returns true, so that it runs at once.
func (t *task) startPhase(phase func() bool) bool {
	t.phase, t.phaseStart = phase, t.now()
	return true
}

// finish ends a task and settles its reservation; notRun says that the caller is told that nothing ran.
func (t *task) finish(notRun bool) bool {
	t.done = true
	if t.request != nil {
		t.endRequest(false)
	}
	if t.reserved != nil {
		t.balance.SettleReservation(t.inst.grantLogTime(), *t.reserved, t.usedAmounts)
	}
	t.inst.billBuffer.ReleaseReservation()
	if notRun {
		t.inst.w.checkReportedNotRun(t)
	}
	return true
}

// start mirrors Gateway.handleChat and Gateway.handleService up to the reservation.
func (t *task) start() {
	if t.call.order {
		t.reservedAmounts = entitlement.Amounts{Cost: orderPrice, Requests: 1}
		t.startPhase(t.reserveEntitlement)
		return
	}
	if t.call.chain != nil && t.call.chain.token != "" {
		k, err := t.inst.w.signer.Verify(t.call.chain.token, t.call.org, t.now())
		if err != nil {
			t.inst.w.t.Fatalf("session token: %v", err)
		}
		t.token = &k
	}
	if !t.planSteps() {
		t.finish(true)
		return
	}
	for _, s := range t.steps {
		t.reservedAmounts.Cost += stepPrice(t, s.Version, answerTokens)
	}
	t.reservedAmounts.Tokens, t.reservedAmounts.Requests = int64(len(t.steps)*(inputTokens+answerTokens)), 1
	t.startPhase(t.reserveEntitlement)
}

// stepPrice returns the cost of a step with a number of output tokens, rounded up.
func stepPrice(t *task, version string, output int) record.Micros {
	p := t.inst.catalog.Versions[version].Price
	return record.Micros((int64(p.Input)*inputTokens + int64(p.Output)*int64(output) + 999) / 1000)
}

// reserveEntitlement waits for a reservation of the amounts that the call uses at most.
func (t *task) reserveEntitlement() bool {
	r, s := t.inst.reserveAmounts(t.call.org, t.reservedAmounts)
	switch {
	case s == entitlement.ReservationDone:
		t.reserved, t.balance, t.periodIndex = &r, t.inst.balances[t.call.org], map[record.Duration]int64{}
		for _, l := range t.inst.catalog.Organisations[t.call.org].Limits {
			t.periodIndex[l.Period] = entitlement.PeriodIndex(t.inst.grantLogTime(), l.Period)
		}
		if t.call.order {
			return t.startPhase(t.awaitClaim)
		}
		t.attempts = t.inst.retries.RecordFirstAttempt()
		return t.startPhase(t.chooseEndpoint)
	case s == entitlement.LimitExhausted || t.now().Sub(t.phaseStart) >= reserveWait:
		return t.finish(true)
	}
	return false
}

// planSteps mirrors Executor.planSteps and Executor.chooseSteps.
func (t *task) planSteps() bool {
	inst, c := t.inst, t.inst.catalog
	p := c.Profiles[t.call.profile]
	pin := session.ResolvePin(c, t.call.org, t.call.profile, t.token)
	t.pinned = pin.Outcome == session.OutcomeKept && !inst.driver.Stopped(pin.Version)
	q := &cascade.Request{
		Class: t.call.profile, Quality: p.Quality, Weights: p.Weights, RaterAvailable: inst.failedRatings < 3 || !t.now().Before(inst.ratingRetryAt),
		MaxCost: p.MaxCost, Deadline: t.deadline.Sub(t.now()), InputTokens: inputTokens, MaxOutputTokens: answerTokens,
		InSession: t.call.chain != nil || len(t.delivered) > 0,
	}
	switch {
	case pin.Outcome == session.OutcomeRefused:
		return false
	case t.pinned:
		q.PinnedVersion, q.Candidates = pin.Version, cascade.PinnedCandidates(c, t.call.profile, pin.Version)
	default:
		t.moveReason = string(pin.Reason)
		if pin.Outcome == session.OutcomeKept {
			t.moveReason = string(session.ReasonHalted)
		}
		for _, d := range cascade.Candidates(c, t.call.profile) {
			if !inst.driver.Stopped(d.Version) && inst.driver.AcceptsNewWork(d.Version) {
				q.Candidates = append(q.Candidates, d)
			}
		}
	}
	l := inst.estimator.Estimates(t.now()).Plan(q, inst.w.drawFloat())
	t.steps, t.stepIndex = l.Steps, 0
	t.planCount++
	return l.Problem == ""
}

// finishFailed mirrors requestState.finalError: a failed call is reported as not run only if nothing was sent.
func (t *task) finishFailed() bool { return t.finish(!t.sent) }

// versionAllowed mirrors attempt.versionAvailable.
func (t *task) versionAllowed() bool {
	v := t.steps[t.stepIndex].Version
	return t.inst.catalog.IsAllowed(t.call.profile, v) && !t.inst.driver.Stopped(v)
}

func (t *task) contentHash() suspect.ContentHash {
	return suspect.HashContent("chat", []byte(t.call.content))
}

// chooseEndpoint mirrors attempt.chooseEndpoint and the part of attempt.runOnEndpoint up to the send.
func (t *task) chooseEndpoint() bool {
	inst, now, s := t.inst, t.now(), t.steps[t.stepIndex]
	verdict := inst.suspects.Verdict(now, t.contentHash())
	if verdict == suspect.Refuse || !now.Before(t.deadline) {
		return t.finishFailed()
	}
	q := endpoint.Query{Version: s.Version, Zone: inst.zone, Excluded: t.exclude, RandomDraws: [2]float64{inst.w.drawFloat(), inst.w.drawFloat()}, Now: now}
	c, ok := endpoint.Choice{}, false
	if verdict == suspect.RunExclusively {
		c, ok = inst.endpointTable.View().ChooseForSuspect(q, func(id string) bool { return inst.suspects.HasLease(now, id) })
	} else {
		c, ok = inst.endpointTable.View().Choose(q)
	}
	if ok && inst.isFresh() && (verdict != suspect.RunExclusively || inst.suspects.AcquireLease(now, t.contentHash(), c.ID)) {
		if verdict == suspect.RunExclusively {
			inst.broadcastSuspects()
		}
		c.BeginRequest(now)
		if !c.EndpointBlocked() {
			return t.sendStep(c)
		}
		inst.suspects.ReleaseLease(now, t.contentHash(), false)
		c.EndRequest()
	}
	switch {
	case now.Sub(t.phaseStart) > endpointWait:
		return t.stepFailed()
	case !t.versionAllowed():
		return t.replan()
	case !ok && t.failures > 0:
		t.exclude = [6]endpoint.Handle{}
	}
	return false
}

// sendStep mirrors the send in attempt.runOnEndpoint: the version is checked last.
func (t *task) sendStep(c endpoint.Choice) bool {
	inst, s := t.inst, t.steps[t.stepIndex]
	received := t.delivered
	if s.RateBeforeDelivery {
		received = t.buffer
	}
	t.request = &request{endpoint: inst.w.endpoint(c.ID), choice: c, sentAt: t.now(), lastProgress: t.now(), nextToken: len(received)}
	t.request.connGeneration = t.request.endpoint.connGeneration
	if inst.runningContent[c.ID] == nil {
		inst.runningContent[c.ID] = map[suspect.ContentHash]int{}
	}
	inst.runningContent[c.ID][t.contentHash()]++
	if !t.versionAllowed() || !inst.isFresh() {
		t.endRequest(false)
		return t.replan()
	}
	if t.request.endpoint.dead {
		return t.connectionFailed(endpoint.FailRefused)
	}
	t.sent = true
	inst.w.checkSend(t, t.request.endpoint, s.Version)
	return t.startPhase(t.readStream)
}

// endRequest mirrors suspects.EndRequest and Choice.EndRequest.
func (t *task) endRequest(complete bool) {
	if m := t.inst.runningContent[t.request.choice.ID]; m != nil {
		if m[t.contentHash()]--; m[t.contentHash()] <= 0 {
			delete(m, t.contentHash())
		}
	}
	t.inst.suspects.ReleaseLease(t.now(), t.contentHash(), complete)
	t.request.choice.EndRequest()
	t.request = nil
}

// readStream mirrors engine.Client.Stream with the callback of attempt.runOnEndpoint.
func (t *task) readStream() bool {
	req, s, now := t.request, t.steps[t.stepIndex], t.now()
	if !now.After(req.sentAt) {
		return false
	}
	if t.call.poison && req.endpoint.connGeneration == req.connGeneration && !req.isSilent() {
		req.endpoint.crash(now)
	}
	if k := req.failureKind(now, s.Version); k != "" {
		return t.connectionFailed(k)
	}
	if !now.Before(t.deadline) {
		return t.finishFailed()
	}
	if req.isSilent() {
		return false
	}
	req.lastProgress = now
	for range 3 {
		if req.nextToken == answerTokens {
			break
		}
		text := fmt.Sprintf("%s/%d@%s", t.call.key, req.nextToken, s.Version)
		req.nextToken++
		if s.RateBeforeDelivery {
			t.buffer = append(t.buffer, text)
		} else {
			t.deliverToken(text, s.Version)
		}
	}
	switch {
	case req.nextToken == answerTokens:
		t.inst.leavingInAnswer[req.endpoint.id] = req.endpoint.leaving
		t.inst.stepEndpoints(endpoint.RequestAnswered{Endpoint: req.choice.Endpoint, Started: req.sentAt, Report: endpoint.Report{Time: now, Slots: 4, Leaving: req.endpoint.leaving}})
		t.endRequest(true)
		return t.finishStep()
	case req.endpoint.truncateAnswers > 0:
		req.endpoint.truncateAnswers--
		return t.connectionFailed(endpoint.FailErrorStatus)
	}
	return false
}

func (t *task) deliverToken(text, version string) {
	if len(t.delivered) == 0 {
		t.startVersion = version
	}
	t.delivered = append(t.delivered, text)
}

// connectionFailed mirrors attempt.recordFailure and attempt.runUntilComplete.
func (t *task) connectionFailed(k endpoint.FailKind) bool {
	inst, req := t.inst, t.request
	if k == endpoint.FailConnectionLost {
		var l []suspect.ContentHash
		for c := range inst.runningContent[req.choice.ID] {
			l = append(l, c)
		}
		slices.Sort(l)
		inst.suspects.RecordDeath(t.now(), req.choice.ID, l...)
		inst.broadcastSuspects()
	}
	inst.stepEndpoints(endpoint.RequestFailed{Endpoint: req.choice.Endpoint, Started: req.sentAt, Kind: k, Version: t.steps[t.stepIndex].Version})
	t.exclude[t.failures%len(t.exclude)] = req.choice.Endpoint
	t.failures++
	progressed := req.lastProgress.After(req.sentAt)
	t.endRequest(false)
	if progressed || inst.retries.TakeRetry(t.now(), &t.attempts, t.deadline, 0) {
		return t.startPhase(t.chooseEndpoint)
	}
	return t.stepFailed()
}

// replan mirrors the loop of Executor.runAndReplan.
func (t *task) replan() bool {
	if t.planCount > 4 || !t.planSteps() {
		return t.finishFailed()
	}
	t.buffer = nil
	return t.startPhase(t.chooseEndpoint)
}

// stepFailed mirrors Executor.runPlan: only a rated step can be followed by another step.
func (t *task) stepFailed() bool {
	t.cost += stepPrice(t, t.steps[t.stepIndex].Version, len(t.buffer))
	t.recordOutcome(cascade.Outcome{Failed: true})
	if !t.steps[t.stepIndex].RateBeforeDelivery || t.stepIndex == len(t.steps)-1 {
		return t.finishFailed()
	}
	t.stepIndex++
	t.buffer = nil
	return t.startPhase(t.chooseEndpoint)
}

func (t *task) recordOutcome(o cascade.Outcome) {
	o.Class, o.Version, o.Predecessor = t.call.profile, t.steps[t.stepIndex].Version, t.previousVersion
	o.Prior, o.MinScore = 0.8, t.inst.catalog.Profiles[t.call.profile].Quality.MinScore
	t.inst.estimator.Observe(t.now(), o)
	t.inst.stepDriver(toSample(o))
}

// finishStep mirrors the end of Executor.runStep and Executor.deliverRated.
func (t *task) finishStep() bool {
	s := t.steps[t.stepIndex]
	c := stepPrice(t, s.Version, answerTokens)
	t.cost += c
	o := cascade.Outcome{Completed: true, Cost: c, Latency: t.now().Sub(t.phaseStart)}
	if !s.RateBeforeDelivery {
		t.recordOutcome(o)
		t.version = s.Version
		return t.billCall()
	}
	o.Score, o.Rated = t.inst.w.rateAnswer(t.inst, s.Version)
	t.recordOutcome(o)
	if !o.Rated || o.Score < t.inst.catalog.Profiles[t.call.profile].Quality.MinScore {
		if t.stepIndex == len(t.steps)-1 {
			return t.finishFailed()
		}
		t.previousVersion = s.Version
		t.stepIndex++
		t.buffer = nil
		return t.startPhase(t.chooseEndpoint)
	}
	for _, x := range t.buffer {
		t.deliverToken(x, s.Version)
	}
	t.version = s.Version
	return t.billCall()
}

// billCall mirrors Gateway.billAnswer: the last byte is held back until a witness or the log has the bill.
func (t *task) billCall() bool {
	t.bill = &record.Bill{
		Organisation: t.call.org, Key: t.call.key, Version: t.version, Cost: min(t.cost, t.reservedAmounts.Cost), Issued: t.now(), Instance: t.inst.id,
		Input: inputTokens, Output: answerTokens,
	}
	t.usedAmounts = entitlement.Amounts{Cost: t.bill.Cost, Tokens: inputTokens + answerTokens, Requests: 1}
	if t.call.order {
		t.bill.Cost, t.bill.Version, t.bill.Service = orderPrice, "", "order"
	}
	t.inst.w.issuedBills[t.bill.ID()] = true
	held := t.inst.holdBill(*t.bill)
	return t.startPhase(func() bool {
		if !held && !t.billInLog {
			return false
		}
		t.inst.w.releaseLastByte(t)
		return t.finish(false)
	})
}
