package endpoint

import (
	"math"
	"time"
)

// KVMoveSettings describe the cost of moving a KV cache and of recomputing it.
type KVMoveSettings struct {
	TokenBytes    float64       // size of the KV cache per token, in bytes
	Bandwidth     float64       // bytes per second of one move, with export and import overlapping
	SetupTime     time.Duration // time for export, connection and import before the first byte
	PrefillRate   float64       // prompt tokens per second that an engine computes for short prompts
	AttentionCost float64       // seconds of attention per squared prompt token
}

// DefaultKVMoveSettings returns the assumptions that docs/measurements/endpoint.md states.
func DefaultKVMoveSettings() KVMoveSettings {
	return KVMoveSettings{TokenBytes: 160 << 10, Bandwidth: 2.5e9, SetupTime: 120 * time.Millisecond, PrefillRate: 8000, AttentionCost: 1e-9}
}

// KVMoveEstimate compares two ways to continue a request on another endpoint when its endpoint leaves.
type KVMoveEstimate struct {
	MoveTime      time.Duration // time to export and import the KV cache
	RecomputeTime time.Duration // time to compute the prompt on the new endpoint
	PreferMove    bool          // whether moving the KV cache is faster and ends in time
}

// EstimateKVMove compares moving the KV cache of a prompt with recomputing it. cached is the number of tokens that the new
// endpoint already caches. available is the time until the old endpoint stops, by which the move must be complete.
func EstimateKVMove(s KVMoveSettings, tokens, cached int, available time.Duration) KVMoveEstimate {
	missing := float64(max(0, tokens-cached))
	estimate := KVMoveEstimate{
		MoveTime:      s.SetupTime + seconds(missing*s.TokenBytes/s.Bandwidth),
		RecomputeTime: seconds(missing/s.PrefillRate + s.AttentionCost*missing*float64(tokens)),
	}
	estimate.PreferMove = missing > 0 && estimate.MoveTime < estimate.RecomputeTime && estimate.MoveTime <= available
	return estimate
}

// KVMoveBreakEvenTokens returns the length in tokens of the shortest prompt for which a move without cached tokens is
// faster, or 0 if there is none.
func KVMoveBreakEvenTokens(s KVMoveSettings) int {
	savingPerToken := 1/s.PrefillRate - s.TokenBytes/s.Bandwidth // seconds saved per token, without attention
	setupSeconds := s.SetupTime.Seconds()
	if s.AttentionCost == 0 {
		if savingPerToken <= 0 {
			return 0
		}
		return int(math.Floor(setupSeconds/savingPerToken)) + 1
	}
	return int(math.Floor((math.Sqrt(savingPerToken*savingPerToken+4*s.AttentionCost*setupSeconds)-
		savingPerToken)/(2*s.AttentionCost))) + 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
