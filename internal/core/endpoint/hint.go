package endpoint

import (
	"math/bits"
	"sync/atomic"
)

const hintWays = 4 // endpoints remembered for one prefix at most

// hints remembers which endpoints said that they cache a prefix. Each word holds the upper half of the prefix
// hash and a handle. The memory is fixed; a new hint replaces an old one of the same bucket.
type hints struct {
	words []atomic.Uint64
	mask  uint64
	next  uint64
}

func newHints(n int) *hints {
	size := max(hintWays, 1<<bits.Len(uint(max(1, n)-1)))
	return &hints{words: make([]atomic.Uint64, size), mask: uint64(size/hintWays - 1)}
}

func (h *hints) bucket(prefix uint64) []atomic.Uint64 {
	b := (prefix & h.mask) * hintWays
	return h.words[b : b+hintWays]
}

func hintWord(prefix uint64, e Handle) uint64 { return prefix&^0xffffffff | uint64(e) }

// get returns the handles of endpoints that said that they cache the prefix; 0 entries are empty.
func (h *hints) get(prefix uint64) (l [hintWays]Handle) {
	for i := range h.bucket(prefix) {
		if w := h.bucket(prefix)[i].Load(); w>>32 == prefix>>32 {
			l[i] = Handle(w)
		}
	}
	return l
}

func (h *hints) add(prefix uint64, e Handle) {
	b, w := h.bucket(prefix), hintWord(prefix, e)
	free := -1
	for i := range b {
		switch b[i].Load() {
		case w:
			return
		case 0:
			free = i
		}
	}
	if free < 0 {
		h.next++
		free = int(h.next % hintWays)
	}
	b[free].Store(w)
}

func (h *hints) remove(prefix uint64, e Handle) {
	b, w := h.bucket(prefix), hintWord(prefix, e)
	for i := range b {
		if b[i].Load() == w {
			b[i].Store(0)
		}
	}
}

// forget drops all hints of an endpoint; a restarted engine has an empty cache.
func (h *hints) forget(e Handle) {
	for i := range h.words {
		if Handle(h.words[i].Load()) == e {
			h.words[i].Store(0)
		}
	}
}
