package escalation

import "time"

// Settings say how sure a model must be of its answer.
type Settings struct {
	Confidence int     // below which a larger model is asked while there is room and time
	Late       int     // the same, if the larger model's answer would be late
	EaseFrom   float64 // busy share of the larger model's endpoint above which the confidence asked falls
	EaseTo     float64 // busy share at which it has fallen to Late
	// WaitFrom is the part of the time until the answer is late that the larger model is expected to take for its first
	// event, above which the confidence asked falls; at all of it, it has fallen to Late.
	WaitFrom float64
}

// DefaultSettings returns an instance's settings.
func DefaultSettings() Settings {
	return Settings{Confidence: 50, Late: 25, EaseFrom: 0.7, EaseTo: 1.3, WaitFrom: 0.4}
}

// Case is what is known when the head of an answer is here.
type Case struct {
	Confidence int           // 0 to 100, or negative if the answer states none
	Models     []string      // smallest first
	Model      string        // that gave the answer
	Attempts   int           // further sends that the route allows
	Remaining  time.Duration // until the answer is late
	Start      time.Duration // estimated time to the larger model's first event
	Busy       float64       // share of the slots taken at the endpoint for the larger model
}

// Next returns the largest model if it is to be asked instead of keeping the answer, or "".
func (s Settings) Next(c Case) string {
	if c.Confidence < 0 || c.Attempts < 1 || len(c.Models) < 2 {
		return ""
	}
	largest := c.Models[len(c.Models)-1]
	if c.Model == largest || c.Confidence >= s.threshold(c) {
		return ""
	}
	return largest
}

func (s Settings) threshold(c Case) int {
	if c.Start > c.Remaining {
		return s.Late
	}
	busy := (c.Busy - s.EaseFrom) / (s.EaseTo - s.EaseFrom)
	// Long waits for prompts show a load that the share of the slots does not.
	wait := (float64(c.Start)/float64(max(1, c.Remaining)) - s.WaitFrom) / (1 - s.WaitFrom)
	x := min(max(busy, wait, 0), 1)
	return s.Confidence - int(x*float64(s.Confidence-s.Late))
}
