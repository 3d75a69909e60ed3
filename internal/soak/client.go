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
	clientsPerInstance = 4                       // each keeps one connection to the instance
	maxThinkTime       = 40 * time.Millisecond   // upper bound of a client's pause between requests
	thinkTimeInstances = 10                      // above, the pause grows in proportion, as one machine can't run more clients beside the stand-ins
	requestTimeout     = 2 * time.Second         // deadline that the requests carry
	responseSlack      = 1500 * time.Millisecond // extra time for the response, as the machine may be busy
	reconnectDelay     = 20 * time.Millisecond   // between attempts to connect to an instance that is down
)

// request is one request of a client, with its response.
type request struct {
	standin.Request
	instance      *instance
	processNumber int // number of the instance's process
	sent          time.Time
	end           time.Time
	response      standin.Response
	prefixIndex   int // index in fleet.prefixes, -1 for a path whose prefix does not change
	keyIndex      int // index in fleet.apiKeys, -1 for the key that does not change
}

// runClient sends requests to one instance until ctx ends. It reuses its connection until an error or a restart; one that keeps
// its connection does so until the connection ends, and sends its next request at once while the instance stops.
func (f *fleet) runClient(ctx context.Context, n *instance, client int) {
	rng := rand.New(rand.NewPCG(f.options.Seed, uint64(n.index*clientsPerInstance+client)+100))
	thinkTime := maxThinkTime * time.Duration(max(thinkTimeInstances, len(f.instances))) / thinkTimeInstances
	keeps := f.keepsConnection(client)
	var conn *standin.Conn
	connProcess := 0
	for i := 0; ctx.Err() == nil; i++ {
		addr, processNumber, up := n.requestAddress()
		if conn != nil && !keeps && (processNumber != connProcess || !up && rng.IntN(4) == 0) {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			c, err := standin.Dial(addr)
			if !up || err != nil {
				time.Sleep(reconnectDelay)
				continue
			}
			conn, connProcess = c, processNumber
		}
		q := f.newRequest(rng, n, fmt.Sprintf("%d-%d-%d-%d", f.options.Seed, n.index, client, i))
		q.processNumber = connProcess
		if f.send(conn, q); q.response.Err != nil || q.response.Close && !keeps {
			_ = conn.Close()
			conn = nil
		}
		if d := time.Duration(rng.Int64N(int64(thinkTime))); !keeps || !n.isDisturbed() {
			time.Sleep(d)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// send sends a request on a connection and stores its response.
func (f *fleet) send(c *standin.Conn, q *request) {
	q.sent = time.Now()
	f.mu.Lock()
	f.requests = append(f.requests, q)
	f.mu.Unlock()
	err := c.SetDeadline(q.sent.Add(q.Deadline + responseSlack))
	a := standin.Response{Err: err}
	if err == nil {
		a = c.Do(q.Request)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	q.response, q.end = a, time.Now()
}

// newRequest returns a random request; some use the prefix or API key that was replaced last.
func (f *fleet) newRequest(rng *rand.Rand, n *instance, id string) *request {
	q := &request{instance: n, prefixIndex: -1, keyIndex: -1}
	q.ID, q.Deadline = id, requestTimeout
	f.mu.Lock()
	defer f.mu.Unlock()
	recentIndex := func(l []configChange) int { return len(l) - 1 - min(rng.IntN(3)/2, len(l)-1) }
	switch rng.IntN(6) {
	case 0, 1:
		q.Path = standin.PathOnce
	case 2:
		q.prefixIndex = recentIndex(f.prefixes)
		q.Path = f.prefixes[q.prefixIndex].value
	case 3:
		q.Path, q.Model = standin.PathResumable, standin.Models[0]
	case 4:
		q.Path, q.Model = standin.PathSingleStream, standin.Models[0]
	default:
		q.Path = standin.PathOnce
		q.keyIndex = recentIndex(f.apiKeys)
		q.Key = f.apiKeys[q.keyIndex].value
	}
	if q.Model != "" {
		q.PromptPrefix = fmt.Sprintf("%x:60,%x:40", rng.IntN(50)+1, rng.Uint32())
	}
	if f.options.StopSeries {
		q.makeUnusual(rng)
	}
	q.Body = "body of " + id
	return q
}

// timedOut reports whether the client gave up waiting for the response.
func (q *request) timedOut() bool {
	var t net.Error
	return errors.As(q.response.Err, &t) && t.Timeout()
}
