package memory

import (
	"io"
	"time"
)

const (
	// stallTime is how long a transfer may pause while others need its bytes. A lost packet is sent again within 0.4 s.
	stallTime = time.Second
	// minTransferRate is the rate in bytes a second below which a transfer is ended while others need its bytes. A body of 4 MiB
	// takes 16 s at this rate.
	minTransferRate = 256 << 10
)

// progressReader reads a body and notes its progress.
type progressReader struct {
	io.Reader
	reservation *Reservation
}

// Read reads and notes the time.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	if n > 0 {
		r := p.reservation
		r.budget.mu.Lock()
		r.received += int64(n)
		r.lastRead = time.Now()
		r.budget.mu.Unlock()
	}
	return n, err
}

// TrackProgress returns a reader of the body for which bytes are reserved. When others need its bytes and it makes the least
// progress, cancel is called; it must not block. The returned function ends that and must be called when the body is read.
func (r *Reservation) TrackProgress(body io.Reader, cancel func()) (io.Reader, func()) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.senders == nil {
		b.senders = map[*Reservation]struct{}{}
	}
	b.senders[r] = struct{}{}
	r.cancel, r.begun = cancel, time.Now()
	r.lastRead = r.begun
	return progressReader{body, r}, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.senders, r)
		r.cancel = nil
	}
}

// cancelSlowest ends the transfers that hold bytes and have stopped, or else the slowest one below minTransferRate. The caller must
// hold the lock.
func (b *Budget) cancelSlowest(except *Reservation, now time.Time) {
	var slowest *Reservation
	lowest := float64(minTransferRate)
	for r := range b.senders {
		age := now.Sub(r.begun)
		if r == except || r.reserved == 0 || age < stallTime {
			continue
		}
		if now.Sub(r.lastRead) >= stallTime {
			b.cancelTransfer(r)
			continue
		}
		if rate := float64(r.received) / age.Seconds(); rate < lowest {
			slowest, lowest = r, rate
		}
	}
	if slowest != nil {
		b.cancelTransfer(slowest)
	}
}

// cancelTransfer ends a transfer. The caller must hold the lock.
func (b *Budget) cancelTransfer(r *Reservation) {
	delete(b.senders, r)
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}
