package endpoint

import (
	"math/bits"
	"sync/atomic"
)

const hintWays = 4 // maximum number of endpoints remembered per prefix

// cacheHints remember which endpoints reported that they cache a prefix. Each word holds the upper half of the prefix
// hash and a handle. The memory is fixed: a new hint replaces an old one of the same bucket.
type cacheHints struct {
	words        []atomic.Uint64
	mask         uint64
	nextReplaced uint64
}

func newCacheHints(minSize int) *cacheHints {
	size := max(hintWays, 1<<bits.Len(uint(max(1, minSize)-1)))
	return &cacheHints{words: make([]atomic.Uint64, size), mask: uint64(size/hintWays - 1)}
}

func (h *cacheHints) bucket(prefix uint64) []atomic.Uint64 {
	start := (prefix & h.mask) * hintWays
	return h.words[start : start+hintWays]
}

func hintWord(prefix uint64, e Handle) uint64 { return prefix&^0xffffffff | uint64(e) }

// lookup returns the handles of endpoints that reported that they cache the prefix. Unused entries are 0.
func (h *cacheHints) lookup(prefix uint64) (handles [hintWays]Handle) {
	for i := range h.bucket(prefix) {
		if word := h.bucket(prefix)[i].Load(); word>>32 == prefix>>32 {
			handles[i] = Handle(word)
		}
	}
	return handles
}

func (h *cacheHints) add(prefix uint64, e Handle) {
	bucket, word := h.bucket(prefix), hintWord(prefix, e)
	free := -1
	for i := range bucket {
		switch bucket[i].Load() {
		case word:
			return
		case 0:
			free = i
		}
	}
	if free < 0 {
		h.nextReplaced++
		free = int(h.nextReplaced % hintWays)
	}
	bucket[free].Store(word)
}

func (h *cacheHints) remove(prefix uint64, e Handle) {
	bucket, word := h.bucket(prefix), hintWord(prefix, e)
	for i := range bucket {
		if bucket[i].Load() == word {
			bucket[i].Store(0)
		}
	}
}

// removeEndpoint removes all hints for an endpoint.
func (h *cacheHints) removeEndpoint(e Handle) {
	for i := range h.words {
		if Handle(h.words[i].Load()) == e {
			h.words[i].Store(0)
		}
	}
}
