package escalation

import (
	"testing"
	"time"
)

// TestNext guards against larger models for answers that are good enough or can't be in time, and against answers that
// are too poor when there is room.
func TestNext(t *testing.T) {
	models := []string{"small", "middle", "large"}
	base := Case{Confidence: 40, Models: models, Model: "small", Attempts: 2, Remaining: time.Second, Start: 100 * time.Millisecond, Busy: 0.2}
	cases := map[string]struct {
		change func(c *Case)
		want   string
	}{
		"not sure":                     {func(*Case) {}, "large"},
		"sure":                         {func(c *Case) { c.Confidence = 60 }, ""},
		"no opinion":                   {func(c *Case) { c.Confidence = -1 }, ""},
		"no attempt left":              {func(c *Case) { c.Attempts = 0 }, ""},
		"largest already":              {func(c *Case) { c.Model = "large" }, ""},
		"one model":                    {func(c *Case) { c.Models = models[:1] }, ""},
		"would be late":                {func(c *Case) { c.Start = 2 * time.Second }, ""},
		"would be late, very unsure":   {func(c *Case) { c.Start, c.Confidence = 2*time.Second, 10 }, "large"},
		"would take most of the time":  {func(c *Case) { c.Start, c.Confidence = 800*time.Millisecond, 40 }, ""},
		"would take some of the time":  {func(c *Case) { c.Start, c.Confidence = 300*time.Millisecond, 49 }, "large"},
		"engines busy":                 {func(c *Case) { c.Busy = 1.4 }, ""},
		"engines busy, very unsure":    {func(c *Case) { c.Busy, c.Confidence = 1.4, 10 }, "large"},
		"engines filling, less unsure": {func(c *Case) { c.Busy, c.Confidence = 1.0, 45 }, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			x := base
			c.change(&x)
			if got := DefaultSettings().Next(x); got != c.want {
				t.Errorf("asks %q, want %q", got, c.want)
			}
		})
	}
}
