package connlimit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/memory"
)

// maxMemoryWait is how long a body waits for memory that others hold.
const maxMemoryWait = 250 * time.Millisecond

// errSlow states that a body was ended because others needed its memory.
var errSlow = errors.New("connlimit: the body arrives more slowly than others that need its memory")

// BodyReader reads the bodies of requests into a budget.
type BodyReader struct {
	Limiter  *Limiter       // counts clients that meet a limit; may be nil
	Listener string         // name in logs
	Budget   *memory.Budget // for all bodies; nil for no limit
}

// Body is the body of a request, or a larger form of it, with its memory.
type Body struct {
	Bytes       []byte
	reservation *memory.Reservation
	reader      BodyReader
	remote      string
}

// Read reads a body of at most limit bytes. The body must be released, also after an error. If others need its memory and it
// makes the least progress, its connection's read deadline ends the transfer.
func (b BodyReader) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	out := &Body{reader: b, remote: r.RemoteAddr}
	limited := http.MaxBytesReader(w, r.Body, limit)
	if b.Budget == nil {
		var err error
		out.Bytes, err = io.ReadAll(limited)
		return out, err
	}
	out.reservation = b.Budget.NewReservation()
	var slow atomic.Bool
	body, stop := out.reservation.TrackProgress(limited, func() {
		slow.Store(true)
		_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // without deadlines the limits of the server apply
	})
	limit = min(limit, b.Budget.MaxBodySize())
	var err error
	out.Bytes, err = memory.ReadAll(body, limit, func(n int64) error { return out.Reserve(r.Context(), n) })
	stop()
	switch {
	case slow.Load():
		// If the body is complete, the deadline has failed net/http's background read, after which it cancels this request and all later
		// ones of the connection. HTTP/2 has a deadline for each request.
		if r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		out.count(ReasonSlowBody)
		err = &memory.Error{Op: "read", Kind: memory.ErrBudgetExceeded, Err: errors.Join(errSlow, err)}
	case errors.Is(err, os.ErrDeadlineExceeded):
		out.count(ReasonBodyTime)
	}
	return out, err
}

// Reserve reserves n more bytes for what is made of a body, and waits a short time for them.
func (b *Body) Reserve(ctx context.Context, n int64) error {
	if b.reservation == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxMemoryWait)
	defer cancel()
	err := b.reservation.GrowWait(ctx, n)
	if err != nil {
		b.count(ReasonBodyMemory)
	}
	return err
}

// Release releases the memory of the body.
func (b *Body) Release() {
	if b.reservation != nil {
		b.reservation.Release()
	}
}

func (b *Body) count(r Reason) {
	if b.reader.Limiter != nil {
		b.reader.Limiter.Count(r, b.reader.Listener, b.remote)
	}
}
