package endpoint

import (
	"math"
	"time"
)

// MoveSettings state what a KV-cache move and a recomputation cost.
type MoveSettings struct {
	TokenBytes float64       // KV cache of one token, in bytes
	Bandwidth  float64       // bytes per second of one move, export and import overlapped
	Setup      time.Duration // export, connection and import before the first byte
	Prefill    float64       // prompt tokens per second that an engine computes, at short prompts
	Quadratic  float64       // seconds for each squared prompt token (attention)
}

// DefaultMove returns the assumptions of docs/measurements/endpoint.md.
func DefaultMove() MoveSettings {
	return MoveSettings{TokenBytes: 160 << 10, Bandwidth: 2.5e9, Setup: 120 * time.Millisecond, Prefill: 8000, Quadratic: 1e-9}
}

// Move compares the two ways to continue a request elsewhere when its endpoint leaves.
type Move struct {
	Export    time.Duration // export and import of the KV cache
	Recompute time.Duration // prefill at the new endpoint
	Cached    bool          // true when the move is the cheaper way
}

// MoveCost compares moving the KV cache of a prompt with computing it anew. hit is how many of its tokens the new
// endpoint caches already; left is the time until the old endpoint stops, within which the move must end.
func MoveCost(s MoveSettings, tokens, hit int, left time.Duration) Move {
	missing := float64(max(0, tokens-hit))
	m := Move{
		Export:    s.Setup + seconds(missing*s.TokenBytes/s.Bandwidth),
		Recompute: seconds(missing/s.Prefill + s.Quadratic*missing*float64(tokens)),
	}
	m.Cached = missing > 0 && m.Export < m.Recompute && m.Export <= left
	return m
}

// BreakEven returns the shortest prompt for which a move without cached tokens is cheaper, 0 if none is.
func BreakEven(s MoveSettings) int {
	gain := 1/s.Prefill - s.TokenBytes/s.Bandwidth // seconds saved for each token, without attention
	c := s.Setup.Seconds()
	if s.Quadratic == 0 {
		if gain <= 0 {
			return 0
		}
		return int(math.Floor(c/gain)) + 1
	}
	return int(math.Floor((math.Sqrt(gain*gain+4*s.Quadratic*c)-gain)/(2*s.Quadratic))) + 1
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
