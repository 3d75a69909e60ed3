package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// stallTestGap is the timeout of watchEvents for the routes of newServingIngress.
const stallTestGap = max(eventGapFactor*testObjective, minStallTimeout)

// refusingProtocol is a headerProtocol with refusals, models and ratings. It calls onHead before the head of a response is written to
// the client.
type refusingProtocol struct {
	headerProtocol
	onHead func()
}

func (refusingProtocol) DecodeRequest(h http.Header) (attributes.ClientRequest, error) {
	return attributes.ClientRequest{ID: h.Get("Id"), Timeout: 10 * time.Second, LastEventID: h.Get("Last-Event-Id"), Model: h.Get("Model")}, nil
}

func (p refusingProtocol) DecodeResponse(status int, h http.Header) attributes.Response {
	r := p.headerProtocol.DecodeResponse(status, h)
	r.NotExecuted = h.Get("Refused") != ""
	r.Signed = !r.NotExecuted && h.Get("Unsigned") == ""
	if n, err := strconv.Atoi(h.Get("Confidence")); err == nil {
		r.Confidence = n
	}
	return r
}

func (p refusingProtocol) ClientResponseHeader(h http.Header) http.Header {
	if p.onHead != nil {
		p.onHead()
	}
	return p.headerProtocol.ClientResponseHeader(h)
}

// streamEngines serves streams: the first request gets the events as they are released, further ones are refused unless others is set.
type streamEngines struct {
	release chan int // number of the event to send next
	others  http.HandlerFunc

	mu       sync.Mutex
	requests int
	left     bool // the connection of the first request was closed before its end
}

// ServeHTTP serves one request.
func (e *streamEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.requests++
	first := e.requests == 1
	e.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	if !first && e.others != nil {
		e.others(w, r)
		return
	}
	if !first {
		w.Header().Set("Refused", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range e.release {
		_, _ = io.WriteString(w, testEvent(n))
		_ = http.NewResponseController(w).Flush()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = r.Context().Err() != nil
}

// result is what a client gets.
type result struct {
	status int
	body   string
	err    error
}

// startStream requests a stream and returns a channel with the result and one with the bytes as they arrive.
func startStream(t *testing.T, url string, header ...string) (<-chan result, <-chan string) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/stream/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "host"
	q.Header.Set("Id", "request")
	for i := 0; i < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	done, parts := make(chan result, 1), make(chan string, 100)
	go func() {
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			done <- result{err: err}
			return
		}
		defer resp.Body.Close()
		var all strings.Builder
		b := make([]byte, 1<<10)
		for {
			n, err := resp.Body.Read(b)
			all.Write(b[:n])
			parts <- string(b[:n])
			if err == io.EOF {
				err = nil
			} else if err == nil {
				continue
			}
			done <- result{resp.StatusCode, all.String(), err}
			return
		}
	}()
	return done, parts
}

// expectOneRequest checks that the stream was sent to one endpoint only.
func expectOneRequest(t *testing.T, e *streamEngines) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requests != 1 {
		t.Errorf("%d requests to endpoints, want 1", e.requests)
	}
}

// expectStream checks that a client gets the whole stream from the endpoint that began it.
func expectStream(t *testing.T, done <-chan result, e *streamEngines, events int) {
	t.Helper()
	want := ""
	for n := 1; n <= events; n++ {
		want += testEvent(n)
	}
	got := <-done
	if got.err != nil || got.status != http.StatusOK || got.body != want {
		e.mu.Lock()
		defer e.mu.Unlock()
		t.Errorf("status %d, error %v, %d bytes of %d; the endpoints got %d requests, the first one was broken off: %v",
			got.status, got.err, len(got.body), len(want), e.requests, e.left)
	}
}

// beginStream starts an instance and a stream of which the client has the first event.
func beginStream(t *testing.T, others http.HandlerFunc) (*Ingress, *streamEngines, <-chan result) {
	t.Helper()
	e := &streamEngines{release: make(chan int), others: others}
	i, url := newServingIngress(t, refusingProtocol{headerProtocol: headerProtocol{func() {}}}, e.ServeHTTP)
	done, parts := startStream(t, url)
	e.release <- 1
	<-parts
	return i, e, done
}

// TestSilentStream guards against ending a stream because its endpoint was silent for some time: the connection was closed before another
// endpoint had taken the request, or for an attempt that was certain not to be made.
func TestSilentStream(t *testing.T) {
	for name, prepare := range map[string]func(t *testing.T, i *Ingress){
		"refused elsewhere": func(*testing.T, *Ingress) {},
		"others are known to be unreachable": func(_ *testing.T, i *Ingress) {
			for n := range 2 { // the stream's own endpoint is excluded anyway
				i.balancer.markUnreachable(time.Now().Add(stallTestGap), fmt.Sprint("engine-", n))
			}
		},
		"content was refused since it began": func(t *testing.T, i *Ingress) {
			refuseContent(t, i, contentID(suspect.HashContent("", []byte("/stream/x"), nil)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i, e, done := beginStream(t, nil)
			prepare(t, i)
			time.Sleep(stallTestGap + 300*time.Millisecond)
			e.release <- 2
			close(e.release)
			expectStream(t, done, e, 2)
		})
	}
}

// TestSilentStreamFailsElsewhere guards against ending a stream whose endpoint was silent for some time, for another endpoint that answers
// at once, but with something that can't go on with the stream.
func TestSilentStreamFailsElsewhere(t *testing.T) {
	for name, answer := range map[string]http.HandlerFunc{
		"server error": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"no signature": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Unsigned", "yes") },
		"503 without the mark of a refusal": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"no stream": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Type", "text/plain") },
		"other status": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusCreated)
		},
		"server error without its body": func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, e, done := beginStream(t, answer)
			time.Sleep(stallTestGap + 300*time.Millisecond)
			e.release <- 2
			close(e.release)
			expectStream(t, done, e, 2)
		})
	}
}

// TestEventWhileNextBegins guards against giving up a stream whose next event arrives before another endpoint has begun to respond, and
// against more attempts than the route allows then.
func TestEventWhileNextBegins(t *testing.T) {
	t.Parallel()
	moved, ended := make(chan struct{}, 10), make(chan struct{}, 10)
	_, e, done := beginStream(t, func(_ http.ResponseWriter, r *http.Request) {
		moved <- struct{}{}
		<-r.Context().Done()
		ended <- struct{}{}
	})
	for n := 2; n <= 3; n++ {
		<-moved
		time.Sleep(refusalWindow / 3)
		e.release <- n
		select {
		case <-ended:
		case <-time.After(2 * refusalWindow):
			t.Error("the request goes on at the second endpoint")
		}
	}
	time.Sleep(stallTestGap + 300*time.Millisecond)
	if len(moved) > 0 {
		t.Error("a fourth attempt on a route that allows three")
	}
	e.release <- 4
	close(e.release)
	expectStream(t, done, e, 4)
}

// TestLateRefusal guards against taking a request for accepted when the refusal has arrived, but this process had no processor to read it
// before the time for a refusal was over.
func TestLateRefusal(t *testing.T) {
	i, _ := newServingIngress(t, refusingProtocol{headerProtocol: headerProtocol{func() {}}}, func(http.ResponseWriter, *http.Request) {})
	a := &attempt{exchange: &exchange{handler: i.handler}, sent: make(chan sendResult, 1)}
	time.AfterFunc(10*time.Millisecond, func() {
		a.sent <- sendResult{response: &forward.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Refused": {"full"}}}}
	})
	if !a.failedAtOnce(time.Now().Add(-refusalWindow)) {
		t.Error("the refusal is not noticed")
	}
}

// TestEventCrossesStallTimeout guards against giving up a stream whose next event arrives while the timeout for it is being handled.
func TestEventCrossesStallTimeout(t *testing.T) {
	t.Parallel()
	i, e, done := beginStream(t, nil)
	i.balancer.mu.Lock() // the timeout looks for another endpoint
	time.Sleep(stallTestGap + 50*time.Millisecond)
	e.release <- 2
	time.Sleep(50 * time.Millisecond) // it arrives
	i.balancer.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	close(e.release)
	expectStream(t, done, e, 2)
	expectOneRequest(t, e)
}

// TestEventBeforeStallTimeout guards against giving up a stream whose next event arrived in time, but was not read before the timeout
// because this instance was busy with the event before, as with a client that reads slowly or without a processor. A delay of
// more than stall.Settings.MaxTimerDelay is noticed.
func TestEventBeforeStallTimeout(t *testing.T) {
	t.Parallel()
	e := &streamEngines{release: make(chan int)}
	var once sync.Once
	p := refusingProtocol{headerProtocol{func() {}}, func() { once.Do(func() { time.Sleep(stallTestGap + 40*time.Millisecond) }) }}
	_, url := newServingIngress(t, p, e.ServeHTTP)
	done, _ := startStream(t, url)
	e.release <- 1
	time.Sleep(stallTestGap / 2)
	e.release <- 2
	time.Sleep(stallTestGap)
	close(e.release)
	expectStream(t, done, e, 2)
	expectOneRequest(t, e)
}

// refuseContent makes an instance refuse a content.
func refuseContent(t *testing.T, i *Ingress, id string) {
	t.Helper()
	g := i.coordinator.prompts
	for n := range 6 {
		g.recordDeath(time.Now(), endpointDeath{
			endpoint: routing.Endpoint{ID: "dead-" + strconv.Itoa(n), StartedAtMS: int64(n + 1)}, request: "r" + strconv.Itoa(n), content: id, late: true,
		})
	}
	for range 100 {
		g.evaluate(time.Now())
		if v, _ := g.verdict(time.Now(), []string{id}); v == suspect.PartsRefused {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the content is not refused")
}
