//go:build review

package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engine is the state of the process of an engine.
type engine struct {
	id       string
	gap      time.Duration // before each event
	work     time.Duration // before an answer that is not a stream
	unframed bool          // streams have neither a length nor chunks and end with their connection
	answers  sync.WaitGroup

	mu sync.Mutex // of the output
}

// runEngine runs an engine until SIGTERM, at which it serves on until it has no answers to write, and exits.
func runEngine(args []string) error {
	var e engine
	f := flag.NewFlagSet("engine", flag.ContinueOnError)
	f.StringVar(&e.id, "id", "", "identifier")
	f.DurationVar(&e.gap, "gap", 50*time.Millisecond, "time before each event")
	f.DurationVar(&e.work, "work", 15*time.Millisecond, "time before other answers")
	f.BoolVar(&e.unframed, "unframed", false, "streams end with their connection")
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.print("%s", l.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		e.print("exits after its answers")
		e.answers.Wait()
		_ = l.Close()
	}()
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		go e.serve(c)
	}
}

func (e *engine) print(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Printf(format+"\n", a...)
}

// serve answers the requests of a connection.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		e.answers.Add(1)
		again := e.answer(c, q)
		e.answers.Done()
		if !again {
			return
		}
	}
}

// answer writes the answer to a request and reports whether the connection stays open.
func (e *engine) answer(c net.Conn, q *http.Request) bool {
	id := q.Header.Get(names.AttemptID)
	head := names.AttemptID + ": " + id + "\r\n" + names.Load + ": 1,0,48\r\n"
	if x := q.Header.Get(names.ExpectedInstance); x != "" && x != e.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	head += names.Seal + ": seal-of-" + e.id + "\r\n"
	model := q.Header.Get(names.Model)
	e.print("runs %s for tenant %q with model %q", id, q.Header.Get(names.TenantName), model)
	if model == "" {
		time.Sleep(e.work)
		body := "answer to " + id
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		e.print("answered %s", id)
		return err == nil
	}
	head += names.Confidence + ": 95\r\n"
	return e.stream(c, q, id, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\n")
}

const tokensPerEvent = 3

// stream writes a stream of as many events as the request allows.
func (e *engine) stream(c net.Conn, q *http.Request, id, head string) bool {
	framing := "Transfer-Encoding: chunked\r\n\r\n"
	if e.unframed {
		framing = "Connection: close\r\n\r\n"
	}
	if _, err := io.WriteString(c, head+framing); err != nil {
		return false
	}
	_, output, _ := strings.Cut(q.Header.Get(names.TokenCounts), ",")
	tokens, _ := strconv.Atoi(output)
	events := tokens / tokensPerEvent
	first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= events; n++ {
		time.Sleep(e.gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, events)
		if !e.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			e.print("could not write event %d of %s", n, id)
			return false
		}
	}
	if !e.unframed {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}
	e.print("answered %s with all %d events", id, events)
	return !e.unframed
}
