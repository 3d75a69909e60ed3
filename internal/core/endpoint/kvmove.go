package endpoint

import (
	"math"
	"time"
)

// MoveSettings describe the cost of moving a KV cache and of recomputing it.
type MoveSettings struct {
	TokenBytes float64       // size of the KV cache per token, in bytes
	Bandwidth  float64       // bytes per second of one move, with export and import overlapping
	Setup      time.Duration // time for export, connection and import before the first byte
	Prefill    float64       // prompt tokens per second that an engine computes for short prompts
	Quadratic  float64       // seconds of attention per squared prompt token
}

// DefaultMove returns the assumptions that docs/measurements/endpoint.md states.
func DefaultMove() MoveSettings {
	return MoveSettings{TokenBytes: 160 << 10, Bandwidth: 2.5e9, Setup: 120 * time.Millisecond, Prefill: 8000, Quadratic: 1e-9}
}

// KVMoveEstimate compares two ways to continue a request on another endpoint when its endpoint leaves.
type KVMoveEstimate struct {
	Export    time.Duration // time to export and import the KV cache
	Recompute time.Duration // time to compute the prompt on the new endpoint
	Cached    bool          // whether moving the KV cache is faster and ends in time
}

// MoveCost compares moving the KV cache of a prompt with recomputing it. cached is the number of tokens that the new
// endpoint already caches. available is the time until the old endpoint stops, by which the move must be complete.
func MoveCost(s MoveSettings, tokens, cached int, available time.Duration) KVMoveEstimate {
	missing := float64(max(0, tokens-cached))
	estimate := KVMoveEstimate{
		Export:    s.Setup + seconds(missing*s.TokenBytes/s.Bandwidth),
		Recompute: seconds(missing/s.Prefill + s.Quadratic*missing*float64(tokens)),
	}
	estimate.Cached = missing > 0 && estimate.Export < estimate.Recompute && estimate.Export <= available
	return estimate
}

// BreakEven returns the length in tokens of the shortest prompt for which a move without cached tokens is faster, or 0
// if there is none.
func BreakEven(s MoveSettings) int {
	savingPerToken := 1/s.Prefill - s.TokenBytes/s.Bandwidth // seconds saved per token, without attention
	setupSeconds := s.Setup.Seconds()
	if s.Quadratic == 0 {
		if savingPerToken <= 0 {
			return 0
		}
		return int(math.Floor(setupSeconds/savingPerToken)) + 1
	}
	return int(math.Floor((math.Sqrt(savingPerToken*savingPerToken+4*s.Quadratic*setupSeconds)-
		savingPerToken)/(2*s.Quadratic))) + 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
