package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	workers     = 4                       // clients of one instance, each with a connection that it keeps
	thinkMost   = 40 * time.Millisecond   // of a client of up to thinkFleet instances; longer in proportion in a larger fleet
	thinkFleet  = 10                      // whose clients one machine serves beside the stand-ins
	clientWait  = 2 * time.Second         // stated in the requests
	answerSlack = 1500 * time.Millisecond // for an answer after that; the machine may be busy
	downWait    = 20 * time.Millisecond   // until an instance that is down is tried again
)

// request is one request of a client and what came of it.
type request struct {
	standin.Request
	instance *instance
	run      int // of the instance's processes
	sent     time.Time
	end      time.Time
	answer   standin.Response
	move     int // index of the prefix, -1 if the path does not move
	key      int // index of the key, -1 for the one that stays
}

// client sends requests to one instance on a connection that it uses until it breaks.
func (f *fleet) client(ctx context.Context, n *instance, number int) {
	g := rand.New(rand.NewPCG(f.options.Seed, uint64(n.index*workers+number)+100))
	think := thinkMost * time.Duration(max(thinkFleet, len(f.instances))) / thinkFleet
	var conn *standin.Conn
	last := 0
	for i := 0; ctx.Err() == nil; i++ {
		a, run, up := n.up()
		if conn != nil && (run != last || !up && g.IntN(4) == 0) {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			c, err := standin.Dial(a)
			if !up || err != nil {
				time.Sleep(downWait)
				continue
			}
			conn, last = c, run
		}
		q := f.draw(g, n, fmt.Sprintf("%d-%d-%d", n.index, number, i))
		q.run = run
		if f.send(conn, q); q.answer.Err != nil || q.answer.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(g.Int64N(int64(think))))
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// send makes one request on a connection and records it.
func (f *fleet) send(c *standin.Conn, q *request) {
	q.sent = time.Now()
	f.mu.Lock()
	f.requests = append(f.requests, q)
	f.mu.Unlock()
	err := c.SetDeadline(q.sent.Add(clientWait + answerSlack))
	a := standin.Response{Err: err}
	if err == nil {
		a = c.Do(q.Request)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	q.answer, q.end = a, time.Now()
}

// draw picks a kind of request; some use a prefix or a key that was replaced lately.
func (f *fleet) draw(g *rand.Rand, n *instance, id string) *request {
	q := &request{instance: n, move: -1, key: -1}
	q.ID, q.Deadline = id, clientWait
	f.mu.Lock()
	defer f.mu.Unlock()
	older := func(l []change) int { return len(l) - 1 - min(g.IntN(3)/2, len(l)-1) }
	switch g.IntN(6) {
	case 0, 1:
		q.Path = standin.PathOnce
	case 2:
		q.move = older(f.moves)
		q.Path = f.moves[q.move].now
	case 3:
		q.Path, q.Model = standin.PathResumable, standin.Models[0]
	case 4:
		q.Path, q.Model = standin.PathSingleStream, standin.Models[0]
	default:
		q.Path = standin.PathOnce
		q.key = older(f.keys)
		q.Key = f.keys[q.key].now
	}
	if q.Model != "" {
		q.PromptPrefix = fmt.Sprintf("%x:60,%x:40", g.IntN(50)+1, g.Uint32())
	}
	q.Body = "body of " + id
	return q
}

// late reports whether a client has waited in vain.
func (q *request) late() bool {
	var t net.Error
	return errors.As(q.answer.Err, &t) && t.Timeout()
}
