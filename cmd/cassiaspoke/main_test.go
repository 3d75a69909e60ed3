package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/command"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// exitSecondSignal is the exit code after a second signal, see docs/operations/install.md.
const exitSecondSignal = 130

const ordersPath = "/v1/services/booking/orders"

// reply is the result of a request of a caller.
type reply struct {
	key, text string
	status    int
	refused   client.ErrorDetail
	err       error // a transport error, or a stream that ended early
}

// sendRequest sends a request with an idempotency key.
func sendRequest(base, path, key string, body string) reply {
	r := reply{key: key}
	req, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil // prevents retries by the HTTP client
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(client.HeaderIdempotencyKey, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		r.err = err
		return r
	}
	defer res.Body.Close()
	r.status = res.StatusCode
	b, err := io.ReadAll(res.Body)
	r.text, r.err = string(b), err
	if r.status >= http.StatusMultipleChoices {
		var e client.ErrorBody
		if json.Unmarshal(b, &e) == nil {
			r.refused = e.Error
		}
	}
	return r
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// sendChat sends a streamed chat request and checks that the answer is complete.
func sendChat(base, key string, tokens int) reply {
	prompt := fmt.Sprintf("Depot tokens=%d ", tokens)
	r := sendRequest(base, "/v1/chat/completions", key, fmt.Sprintf(`{"model":"depot","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt))
	if r.err != nil || r.status != http.StatusOK {
		return r
	}
	text, done := "", false
	for l := range strings.Lines(r.text) {
		data, ok := strings.CutPrefix(strings.TrimSpace(l), "data: ")
		var c client.ChatReply
		switch {
		case data == "[DONE]":
			done = true
		case ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 && c.Choices[0].Delta != nil:
			text += c.Choices[0].Delta.Content
		}
	}
	if want := standin.AnswerText("m@1", prompt, tokens); !done || text != want {
		r.err = fmt.Errorf("the answer has %d of %d bytes, end %v", len(text), len(want), done)
	}
	return r
}

// sendTraffic sends chats and orders to an instance until stop closes, and returns the replies.
func sendTraffic(i *instanceProcess, stop <-chan struct{}) (chats, orders []reply) {
	for {
		select {
		case <-stop:
			return chats, orders
		default:
		}
		c, o := sendChat(i.callers, newKey(), 20), sendRequest(i.callers, ordersPath, newKey(), "{}")
		chats, orders = append(chats, c), append(orders, o)
		if len(answeredKeys([]reply{c, o})) < 2 {
			time.Sleep(50 * time.Millisecond) // the instance is stopping or has exited
		}
	}
}

// backgroundLoad sends traffic to an instance in background goroutines.
type backgroundLoad struct {
	stop          chan struct{}
	wg            sync.WaitGroup
	mu            sync.Mutex
	chats, orders []reply
}

// startLoad starts workers that send traffic to an instance until finish is called.
func startLoad(i *instanceProcess, workers int) *backgroundLoad {
	l := &backgroundLoad{stop: make(chan struct{})}
	for range workers {
		l.wg.Go(func() {
			c, o := sendTraffic(i, l.stop)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.chats, l.orders = append(l.chats, c...), append(l.orders, o...)
		})
	}
	return l
}

// finish stops the workers and waits for them.
func (l *backgroundLoad) finish() { close(l.stop); l.wg.Wait() }

// answeredKeys returns the keys of the requests with a complete, successful answer.
func answeredKeys(l ...[]reply) (keys []string) {
	for _, p := range l {
		for _, r := range p {
			if r.err == nil && r.status < http.StatusMultipleChoices {
				keys = append(keys, r.key)
			}
		}
	}
	return keys
}

// publishConfiguration publishes a version, a profile and an organisation through the command line.
func (env *testEnv) publishConfiguration(i *instanceProcess) {
	env.t.Helper()
	env.runCommand(i, "version", "add", env.writeFile("m1.json", `{"name": "m@1", "price": {"input": 10, "output": 30}, "prior": 0.9}`))
	env.runCommand(i, "version", "roll-out", "m@1", "--base", "1", "--at-once")
	env.runCommand(i, "profile", "publish", env.writeFile("depot.json", `{"base": 0, "allow": ["m@*"], "safe": "m@*", "name": "depot",
		"quality": {"min-score": 0.5, "share": 0.5}, "max-cost": 100000000, "weights": {"cost": 1}, "deadline": "2m", "max-tokens": 20000}`))
	env.runCommand(i, "organisation", "publish", env.writeFile("org.json", fmt.Sprintf(
		`{"base": 0, "name": "org", "key-hashes": [%q], "profiles": ["depot"], "services": ["booking"], "limits": []}`, certificate.HashKey(callerKey))))
}

// countBills exports the bills through the command line and returns the number of bills per key.
func (env *testEnv) countBills(i *instanceProcess) map[string]int {
	env.t.Helper()
	m := map[string]int{}
	d := json.NewDecoder(bytes.NewBufferString(env.runCommand(i, "--json", "bill", "export")))
	for {
		var b record.Bill
		if err := d.Decode(&b); err != nil {
			return m
		}
		m[b.Key]++
	}
}

// startFleet starts the stand-ins and three instances. The third one flushes its bills only every 10 s, so that after its
// crash only a witness can append them to the log.
func startFleet(t *testing.T) (*testEnv, []*instanceProcess) {
	env := newTestEnv(t)
	for _, z := range []string{"za", "zb"} {
		env.start("standin", "engine", "--listen", env.addInstance("engine", "engine-"+z, z, ""), "--id", "engine-"+z,
			"--versions", "m@1", "--slots", "64", "--per-token", "2ms", "--first-token", "5ms")
	}
	env.start("standin", "service", "--listen", env.addInstance("service", "booking-za", "za", "booking"), "--id", "booking-za")
	var peers []string
	for n := range 3 {
		peers = append(peers, env.addInstance("router", fmt.Sprintf("r%d", n), "z"+string(rune('a'+n)), ""))
	}
	base := env.freeAddress()
	args := []string{"standin", "platform", "--listen", base, "--versions", "m@1", "--pass-shares", "m@1=1"}
	for _, l := range env.instanceList {
		args = append(args, "--list", l)
	}
	env.start(args...)
	var l []*instanceProcess
	for n, p := range peers {
		overrides := map[string]any{}
		if n == 2 {
			overrides["bills"] = map[string]any{"flush": "10s"}
		}
		l = append(l, env.startInstance(fmt.Sprintf("r%d", n), "z"+string(rune('a'+n)), "http://"+base, p, overrides))
	}
	for _, i := range l {
		env.waitFor(i.id+" is ready", func() bool { return env.ready(i) })
	}
	env.publishConfiguration(l[0])
	for _, i := range l {
		env.waitFor("the configuration on "+i.id, func() bool { return sendChat(i.callers, newKey(), 4).status == http.StatusOK })
	}
	return env, l
}

// TestProcesses checks the invariants with real processes while one instance crashes and another one stops under traffic:
// answers are complete and billed once, no order runs twice, and the exit codes are the documented ones.
func TestProcesses(t *testing.T) {
	env, l := startFleet(t)
	stays, stops, crashes := startLoad(l[0], 2), startLoad(l[1], 2), startLoad(l[2], 2)
	env.waitFor("answers before the crash", func() bool { return len(env.countBills(l[0])) > 40 })
	final := sendChat(l[2].callers, newKey(), 20) // its bill is not in the log yet when the instance is killed
	_ = l[2].cmd.Process.Kill()
	env.waitForExit(l[2].process)
	crashes.finish()

	long := env.startStream(l[1], 2000)
	_ = l[1].cmd.Process.Signal(syscall.SIGTERM)
	if code := env.waitForExit(l[1].process); code != command.ExitSuccess {
		t.Errorf("planned stop: exit code %d", code)
	}
	stops.finish()
	stays.finish()
	if r := <-long; r.err != nil || r.status != http.StatusOK {
		t.Errorf("long stream: status %d, %v", r.status, r.err)
	}
	if len(answeredKeys([]reply{final})) == 0 {
		t.Errorf("before the crash: status %d, %v", final.status, final.err)
	}
	crashes.chats = append(crashes.chats, final)
	checkReplies(t, append(stays.chats, stays.orders...), false)
	checkReplies(t, append(stops.chats, stops.orders...), true)
	keys := answeredKeys(stays.chats, stays.orders, stops.chats, stops.orders, crashes.chats, crashes.orders)
	env.checkBills(l[0], keys)
	env.checkOrders(l[0], append(stays.orders, stops.orders...), crashes.orders)
	env.checkSecondSignal(l[0])
}

// startStream requests a long answer and returns when the first token has arrived at the instance.
func (env *testEnv) startStream(i *instanceProcess, tokens int) <-chan reply {
	env.t.Helper()
	out, key := make(chan reply, 1), newKey()
	go func() { out <- sendChat(i.callers, key, tokens) }()
	env.waitFor("the first token of a long answer", func() bool {
		return strings.Contains(env.runCommand(i, "timeline", "--request", key, filepath.Join(env.dir, i.id+".jsonl")), "first-token")
	})
	return out
}

// checkReplies checks that each request was answered completely. An instance that stops may also reply that it is not ready
// and finally refuse connections.
func checkReplies(t *testing.T, l []reply, stopped bool) {
	t.Helper()
	for _, r := range l {
		refusedDial := stopped && r.err != nil && r.status == 0
		notReady := stopped && r.refused.Code == client.CodeNotReady && r.refused.NotRun
		if !refusedDial && !notReady && (r.err != nil || r.status >= http.StatusMultipleChoices) {
			t.Errorf("request %s: status %d, code %q, %v", r.key, r.status, r.refused.Code, r.err)
		}
	}
}

// checkBills waits until each answered request is billed, including those whose bills a witness appends after the crash,
// and checks that no request is billed twice.
func (env *testEnv) checkBills(i *instanceProcess, keys []string) {
	env.t.Helper()
	env.waitFor("one bill for each answer", func() bool {
		m := env.countBills(i)
		for _, k := range keys {
			if m[k] == 0 {
				return false
			}
		}
		return true
	})
	for k, n := range env.countBills(i) {
		if n != 1 {
			env.t.Errorf("request %s has %d bills", k, n)
		}
	}
}

// checkOrders sends all orders again and checks that none of them runs twice. The service numbers the orders that it runs,
// so the number of one more order is at most the number of keys. The outcome of an order at the crashed instance may be
// unknown.
func (env *testEnv) checkOrders(i *instanceProcess, orders, crashed []reply) {
	env.t.Helper()
	var wg sync.WaitGroup
	slots := make(chan struct{}, 16)
	for n, o := range append(orders, crashed...) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r := sendRequest(i.callers, ordersPath, o.key, "{}")
			unknown := n >= len(orders) && (r.refused.Code == client.CodeOutcomeUnknown || r.refused.Code == client.CodeInProgress)
			if o.err == nil && o.status == http.StatusCreated && r.text != o.text && !unknown {
				env.t.Errorf("order %s: first reply %d %q, second reply %d %q", o.key, o.status, o.text, r.status, r.text)
			}
		})
	}
	wg.Wait()
	keys := len(orders) + len(crashed) + 1
	var last struct {
		Order int `json:"order"`
	}
	r := sendRequest(i.callers, ordersPath, newKey(), "{}")
	if err := json.Unmarshal([]byte(r.text), &last); err != nil || last.Order < 1 || last.Order > keys {
		env.t.Errorf("%d orders ran for %d keys (%v)", last.Order, keys, err)
	}
}

// checkSecondSignal checks that a second signal ends an instance immediately while a request is running.
func (env *testEnv) checkSecondSignal(i *instanceProcess) {
	env.t.Helper()
	done := env.startStream(i, 20_000) // 40 s or more
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	env.waitFor("the instance to become not ready", func() bool { return !env.ready(i) })
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	if code := env.waitForExit(i.process); code != exitSecondSignal {
		env.t.Errorf("second signal: exit code %d", code)
	}
	if r := <-done; r.err == nil {
		env.t.Error("the instance completed its request after the second signal")
	}
}
