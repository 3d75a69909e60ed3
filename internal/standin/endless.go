package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// EndlessForm is a form of bytes that are no answer, which an endpoint sends until the caller closes the connection.
type EndlessForm string

// Forms of a head, which any endpoint may send. Those that are stalled stop before they are invalid, and hold the connection.
const (
	EndlessStatusLine EndlessForm = "status line"
	EndlessField      EndlessForm = "field"
	EndlessFields     EndlessForm = "fields"
	EndlessInterim    EndlessForm = "interim responses"
	StalledFields     EndlessForm = "stalled fields" // the shortest fields, as many as fit into 31 KiB
)

// Forms of a body that is not a stream.
const (
	EndlessBody      EndlessForm = "body"           // without a length
	EndlessLength    EndlessForm = "stated length"  // with a length of 1 TiB
	EndlessChunks    EndlessForm = "chunks"         // of a chunked body
	EndlessExtension EndlessForm = "extension"      // of a chunk
	EndlessTrailer   EndlessForm = "trailer"        // of a chunked body
	EndlessError     EndlessForm = "error body"     // of status 500
	StalledBody      EndlessForm = "stalled body"   // a little less than 8 MiB
	StalledMiddle    EndlessForm = "stalled middle" // 1 MiB
)

// Forms of a stream of events.
const (
	EndlessLine     EndlessForm = "line"           // of an event
	EndlessText     EndlessForm = "events of text" // 1 KiB each
	EndlessLarge    EndlessForm = "large events"   // a little less than 1 MiB each
	EndlessTiny     EndlessForm = "events without text"
	EndlessChoices  EndlessForm = "empty choices" // a little less than 1 MiB of them in each event
	EndlessComments EndlessForm = "comments"
	StalledLine     EndlessForm = "stalled line" // a little less than 1 MiB
)

// Lists of the forms.
var (
	EndlessHeads   = []EndlessForm{EndlessStatusLine, EndlessField, EndlessFields, EndlessInterim, StalledFields}
	EndlessBodies  = []EndlessForm{EndlessBody, EndlessLength, EndlessChunks, EndlessExtension, EndlessTrailer, EndlessError, StalledBody, StalledMiddle}
	EndlessStreams = []EndlessForm{EndlessLine, EndlessText, EndlessLarge, EndlessTiny, EndlessChoices, EndlessComments, StalledLine}
)

// EndlessEndpoint answers probes as an endpoint without load, and all other requests with bytes without end.
type EndlessEndpoint struct {
	version string
	forms   []EndlessForm
	pieces  map[EndlessForm]endlessPiece

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	next  int // index of the form of the next request
	sent  map[EndlessForm]int64

	requests      map[EndlessForm]int
	running, most int // requests that get bytes at a time
}

// NewEndlessEndpoint returns an endpoint that takes the forms in turn. Its events name a version.
func NewEndlessEndpoint(version string, forms ...EndlessForm) *EndlessEndpoint {
	return &EndlessEndpoint{
		version: version, forms: forms, pieces: newEndlessPieces(version), conns: map[net.Conn]struct{}{}, sent: map[EndlessForm]int64{}, requests: map[EndlessForm]int{},
	}
}

// Sent returns the number of bytes sent in each form.
func (e *EndlessEndpoint) Sent() map[EndlessForm]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.sent)
}

// Requests returns the number of requests that got each form.
func (e *EndlessEndpoint) Requests() map[EndlessForm]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.requests)
}

// MostConns returns the largest number of requests that got bytes at a time.
func (e *EndlessEndpoint) MostConns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.most
}

// Serve accepts connections until the listener is closed, and then closes them.
func (e *EndlessEndpoint) Serve(l net.Listener) {
	var w sync.WaitGroup
	defer w.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			e.closeConns()
			return
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		w.Go(func() {
			defer e.forget(c)
			e.serveConn(c)
		})
	}
}

func (e *EndlessEndpoint) closeConns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

func (e *EndlessEndpoint) forget(c net.Conn) {
	_ = c.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c)
}

// serveConn answers the requests of a connection until one of them gets bytes without end.
func (e *EndlessEndpoint) serveConn(c net.Conn) {
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/v1/load" {
			e.sendEndless(c, b, r)
			return
		}
		body := fmt.Sprintf(`{"id":"endless","slots":%d,"versions":[%q]}`, endlessSlots, e.version)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// endlessSlots is the number of slots that the endpoint states, so that many requests at once reach it.
const endlessSlots = 1000

// sendEndless sends the next form until the caller closes the connection.
func (e *EndlessEndpoint) sendEndless(c net.Conn, b *bufio.Reader, r *http.Request) {
	e.mu.Lock()
	f := e.forms[e.next%len(e.forms)]
	e.next++
	e.requests[f]++
	e.running++
	e.most = max(e.most, e.running)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	send := func(piece []byte) bool {
		n, err := c.Write(piece)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sent[f] += int64(n)
		return err == nil
	}
	p := e.pieces[f]
	if p.head != "" && !send([]byte(strings.Replace(p.head, requestID, r.Header.Get(engine.HeaderRequestID), 1))) || !send(p.first) {
		return
	}
	for p.repeated != nil && send(p.repeated) {
	}
	_, _ = io.Copy(io.Discard, b) // until the caller closes
}

// requestID stands for the identifier of the request in a head.
const requestID = "{request}"

// endlessPiece is what is sent in a form: a head, then first, then repeated again and again. A form without repeated stalls.
type endlessPiece struct {
	head            string
	first, repeated []byte
}

// newEndlessPieces returns what is sent in each form. Events name the version.
func newEndlessPieces(version string) map[EndlessForm]endlessPiece {
	const (
		status     = "HTTP/1.1 200 OK\r\n" + engine.HeaderRequestID + ": " + requestID + "\r\n"
		failed     = "HTTP/1.1 500 Internal Server Error\r\n" + engine.HeaderRequestID + ": " + requestID + "\r\n"
		toEnd      = "Connection: close\r\n\r\n"
		chunked    = "Transfer-Encoding: chunked\r\n\r\n"
		length     = "Content-Length: 8388608\r\n\r\n"
		events     = status + "Content-Type: text/event-stream\r\n" + toEnd
		manyBytes  = 1 << 14
		lineBytes  = 1<<20 - 1<<10
		bodyBytes  = 8<<20 - 1<<10
		headBytes  = 31 << 10
		fieldBytes = 7
	)
	many := func(n int, s string) []byte { return bytes.Repeat([]byte(s), n) }
	chunk := func(b []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(b), b) }
	event := func(choices []byte) []byte {
		return fmt.Appendf(nil, `data: {"model":%q,"choices":[%s]}`+"\n\n", version, choices)
	}
	text := func(n int) []byte { return event(fmt.Appendf(nil, `{"delta":{"content":"%s"}}`, many(n, "x"))) }
	x := many(manyBytes, "x")
	return map[EndlessForm]endlessPiece{
		EndlessStatusLine: {"", []byte("HTTP/1.1 200 OK"), x},
		EndlessField:      {status, []byte("X-Line: "), x},
		EndlessFields:     {status, nil, shortFields(manyBytes / fieldBytes)},
		EndlessInterim:    {"", nil, []byte("HTTP/1.1 102 Processing\r\n\r\n")},
		StalledFields:     {status, shortFields(headBytes / fieldBytes), nil},
		EndlessBody:       {status + toEnd, nil, x},
		EndlessLength:     {status + "Content-Length: 1099511627776\r\n\r\n", nil, x},
		EndlessChunks:     {status + chunked, nil, chunk(x)},
		EndlessExtension:  {status + chunked, []byte("5;"), x},
		EndlessTrailer:    {status + chunked, append(chunk([]byte("body")), "0\r\n"...), many(1<<9, "X-Trailer: more\r\n")},
		EndlessError:      {failed + toEnd, nil, x},
		StalledBody:       {status + length, many(bodyBytes, "x"), nil},
		StalledMiddle:     {status + length, many(lineBytes, "x"), nil},
		EndlessLine:       {events, []byte("data: "), x},
		EndlessText:       {events, nil, text(1 << 10)},
		EndlessLarge:      {events, nil, text(lineBytes)},
		EndlessTiny:       {events, nil, bytes.Repeat(event(nil), 1<<6)},
		EndlessChoices:    {events, nil, event(bytes.TrimSuffix(many(lineBytes/3, "{},"), []byte(",")))},
		EndlessComments:   {events, nil, many(1<<10, ":\n\n")},
		StalledLine:       {events, append([]byte("data: "), many(lineBytes, "x")...), nil},
	}
}

// shortFields returns n header fields with different names, of 7 bytes each as long as n is not above 50,653.
func shortFields(n int) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789-"
	var b []byte
	for i := range n {
		b = append(b, letters[i%len(letters)], letters[i/len(letters)%len(letters)], letters[i/len(letters)/len(letters)%len(letters)], ':', ' ', '\r', '\n')
	}
	return b
}
