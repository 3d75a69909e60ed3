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

// exitAtOnce is the exit code after a second signal, see docs/operations/install.md.
const exitAtOnce = 130

const ordersPath = "/v1/services/booking/orders"

// reply is what a caller got.
type reply struct {
	key, text string
	status    int
	refused   client.ErrorDetail
	err       error // a transport error, or a stream that ended early
}

// send sends a request under a key.
func send(base, path, key string, body string) reply {
	r := reply{key: key}
	req, err := http.NewRequest(http.MethodPost, base+path, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.GetBody = nil // only the test decides what is sent again
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

// ask sends a streamed chat request and checks that the answer is whole.
func ask(base, key string, tokens int) reply {
	prompt := fmt.Sprintf("Depot tokens=%d ", tokens)
	r := send(base, "/v1/chat/completions", key, fmt.Sprintf(`{"model":"depot","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt))
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

// traffic sends chats and orders to an instance until stop closes, and returns the replies.
func traffic(i *instanceProcess, stop <-chan struct{}) (chats, orders []reply) {
	for {
		select {
		case <-stop:
			return chats, orders
		default:
		}
		c, o := ask(i.callers, newKey(), 20), send(i.callers, ordersPath, newKey(), "{}")
		chats, orders = append(chats, c), append(orders, o)
		if len(answered([]reply{c, o})) < 2 {
			time.Sleep(50 * time.Millisecond) // the instance stops or is gone
		}
	}
}

// load is traffic on an instance in the background.
type load struct {
	stop          chan struct{}
	wg            sync.WaitGroup
	mu            sync.Mutex
	chats, orders []reply
}

func newLoad(i *instanceProcess, workers int) *load {
	l := &load{stop: make(chan struct{})}
	for range workers {
		l.wg.Go(func() {
			c, o := traffic(i, l.stop)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.chats, l.orders = append(l.chats, c...), append(l.orders, o...)
		})
	}
	return l
}

func (l *load) end() { close(l.stop); l.wg.Wait() }

// answered returns the keys that got a whole answer.
func answered(l ...[]reply) (keys []string) {
	for _, p := range l {
		for _, r := range p {
			if r.err == nil && r.status < http.StatusMultipleChoices {
				keys = append(keys, r.key)
			}
		}
	}
	return keys
}

func (w *world) publish(i *instanceProcess) {
	w.t.Helper()
	w.run(i, "version", "add", w.write("m1.json", `{"name": "m@1", "price": {"input": 10, "output": 30}, "prior": 0.9}`))
	w.run(i, "version", "roll-out", "m@1", "--base", "1", "--at-once")
	w.run(i, "profile", "publish", w.write("depot.json", `{"base": 0, "allow": ["m@*"], "safe": "m@*", "name": "depot",
		"quality": {"min-score": 0.5, "share": 0.5}, "max-cost": 100000000, "weights": {"cost": 1}, "deadline": "2m", "max-tokens": 20000}`))
	w.run(i, "organisation", "publish", w.write("org.json", fmt.Sprintf(
		`{"base": 0, "name": "org", "key-hashes": [%q], "profiles": ["depot"], "services": ["booking"], "limits": []}`, certificate.HashKey(callerKey))))
}

// bills exports the bills through the command line and returns how often each key is billed.
func (w *world) bills(i *instanceProcess) map[string]int {
	w.t.Helper()
	m := map[string]int{}
	d := json.NewDecoder(bytes.NewBufferString(w.run(i, "--json", "bill", "export")))
	for {
		var b record.Bill
		if err := d.Decode(&b); err != nil {
			return m
		}
		m[b.Key]++
	}
}

// startFleet starts the stand-ins and three instances. The second and the third keep their bills for a long time, so
// that only a witness can have them in the log after a crash.
func startFleet(t *testing.T) (*world, []*instanceProcess) {
	w := newWorld(t)
	for _, z := range []string{"za", "zb"} {
		w.start("standin", "engine", "--listen", w.listed("engine", "engine-"+z, z, ""), "--id", "engine-"+z,
			"--versions", "m@1", "--slots", "64", "--per-token", "2ms", "--first-token", "5ms")
	}
	w.start("standin", "service", "--listen", w.listed("service", "booking-za", "za", "booking"), "--id", "booking-za")
	var peers []string
	for n := range 3 {
		peers = append(peers, w.listed("router", fmt.Sprintf("r%d", n), "z"+string(rune('a'+n)), ""))
	}
	base := w.address()
	args := []string{"standin", "platform", "--listen", base, "--versions", "m@1", "--pass-shares", "m@1=1"}
	for _, l := range w.list {
		args = append(args, "--list", l)
	}
	w.start(args...)
	var l []*instanceProcess
	for n, p := range peers {
		adjust := map[string]any{}
		if n == 2 {
			adjust["bills"] = map[string]any{"flush": "10s"}
		}
		l = append(l, w.serve(fmt.Sprintf("r%d", n), "z"+string(rune('a'+n)), "http://"+base, p, adjust))
	}
	for _, i := range l {
		w.await(i.id+" is ready", func() bool { return w.ready(i) })
	}
	w.publish(l[0])
	for _, i := range l {
		w.await("the configuration on "+i.id, func() bool { return ask(i.callers, newKey(), 4).status == http.StatusOK })
	}
	return w, l
}

// Guards the invariants over real processes: one instance crashes and another one stops under traffic. Answers that
// callers got are whole and billed once, no order runs twice, and the exit codes are those of the documentation.
func TestProcesses(t *testing.T) {
	w, l := startFleet(t)
	stays, stops, crashes := newLoad(l[0], 2), newLoad(l[1], 2), newLoad(l[2], 2)
	w.await("answers before the crash", func() bool { return len(w.bills(l[0])) > 40 })
	final := ask(l[2].callers, newKey(), 20) // its bill is in no log when the instance is killed
	_ = l[2].cmd.Process.Kill()
	w.exit(l[2].proc)
	crashes.end()

	long := w.stream(l[1], 2000)
	_ = l[1].cmd.Process.Signal(syscall.SIGTERM)
	if code := w.exit(l[1].proc); code != command.ExitSuccess {
		t.Errorf("the planned stop ended with exit code %d", code)
	}
	stops.end()
	stays.end()
	if r := <-long; r.err != nil || r.status != http.StatusOK {
		t.Errorf("the long stream: status %d, %v", r.status, r.err)
	}
	if len(answered([]reply{final})) == 0 {
		t.Errorf("before the crash: status %d, %v", final.status, final.err)
	}
	crashes.chats = append(crashes.chats, final)
	checkReplies(t, append(stays.chats, stays.orders...), false)
	checkReplies(t, append(stops.chats, stops.orders...), true)
	keys := answered(stays.chats, stays.orders, stops.chats, stops.orders, crashes.chats, crashes.orders)
	w.checkBills(l[0], keys)
	w.checkOrders(l[0], append(stays.orders, stops.orders...), crashes.orders)
	w.secondSignal(l[0])
}

// stream asks for a long answer and returns when its first token has arrived at the instance.
func (w *world) stream(i *instanceProcess, tokens int) <-chan reply {
	w.t.Helper()
	out, key := make(chan reply, 1), newKey()
	go func() { out <- ask(i.callers, key, tokens) }()
	w.await("the first token of a long answer", func() bool {
		return strings.Contains(w.run(i, "timeline", "--request", key, filepath.Join(w.dir, i.id+".jsonl")), "first-token")
	})
	return out
}

// checkReplies checks that nothing was cut off: each reply is whole or a refusal; an instance that stops may also
// refuse connections at its end.
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

// checkBills waits until each answered request is billed; the witness appends the crashed instance's bills.
func (w *world) checkBills(i *instanceProcess, keys []string) {
	w.t.Helper()
	w.await("one bill for each answer", func() bool {
		m := w.bills(i)
		for _, k := range keys {
			if m[k] == 0 {
				return false
			}
		}
		return true
	})
	for k, n := range w.bills(i) {
		if n != 1 {
			w.t.Errorf("request %s has %d bills", k, n)
		}
	}
}

// checkOrders sends all orders again, which must run none of them twice: the service numbers its orders, so a further
// one gets at most the number of keys. The outcome of an order at the crashed instance may be unknown.
func (w *world) checkOrders(i *instanceProcess, orders, crashed []reply) {
	w.t.Helper()
	var wg sync.WaitGroup
	free := make(chan struct{}, 16)
	for n, o := range append(orders, crashed...) {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			r := send(i.callers, ordersPath, o.key, "{}")
			unknown := n >= len(orders) && (r.refused.Code == client.CodeOutcomeUnknown || r.refused.Code == client.CodeInProgress)
			if o.err == nil && o.status == http.StatusCreated && r.text != o.text && !unknown {
				w.t.Errorf("order %s: got %d %q, then %d %q", o.key, o.status, o.text, r.status, r.text)
			}
		})
	}
	wg.Wait()
	keys := len(orders) + len(crashed) + 1
	var last struct {
		Order int `json:"order"`
	}
	r := send(i.callers, ordersPath, newKey(), "{}")
	if err := json.Unmarshal([]byte(r.text), &last); err != nil || last.Order < 1 || last.Order > keys {
		w.t.Errorf("%d orders ran for %d keys (%v)", last.Order, keys, err)
	}
}

// secondSignal checks that a second signal ends an instance at once while a request runs.
func (w *world) secondSignal(i *instanceProcess) {
	w.t.Helper()
	done := w.stream(i, 20_000) // 40 s or more
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	w.await("readiness to go off", func() bool { return !w.ready(i) })
	_ = i.cmd.Process.Signal(syscall.SIGTERM)
	if code := w.exit(i.proc); code != exitAtOnce {
		w.t.Errorf("the second signal ended the instance with exit code %d", code)
	}
	if r := <-done; r.err == nil {
		w.t.Error("the instance finished its request after the second signal")
	}
}
