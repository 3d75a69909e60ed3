package load

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Bounds of a run.
const (
	maxRequests = 10_000_000
	maxTime     = time.Hour
	maxRunning  = 10_000
)

// Options describe a run. It ends after Requests or Time, whichever comes first, and when its answers have ended.
type Options struct {
	Base        string // URL of the callers' API
	Key         string // API key of the organisation
	Profile     string
	Prompt      string
	MaxTokens   int           // 0 leaves the bound to the profile
	Rate        float64       // requests per second, sent whether or not earlier ones have ended; 0 sends by Concurrency
	Concurrency int           // requests under way; with a rate, the bound above which none is sent
	Requests    int           // sent at most
	Time        time.Duration // in which requests are sent
	Timeout     time.Duration // of one request
	Remote      bool          // allows an address that is not a loopback one
}

func (o Options) check() error {
	bad := func(format string, a ...any) error {
		return &Error{Op: "check", Kind: ErrOptions, Err: fmt.Errorf(format, a...)}
	}
	switch {
	case o.Profile == "":
		return bad("no profile is named")
	case o.Rate < 0 || o.Concurrency < 1 || o.Concurrency > maxRunning:
		return bad("the rate is negative, or the concurrency is not 1 to %d", maxRunning)
	case o.Requests < 1 || o.Requests > maxRequests:
		return bad("the requests are not 1 to %d", maxRequests)
	case o.Time <= 0 || o.Time > maxTime || o.Timeout <= 0 || o.Timeout > maxTime:
		return bad("a time is not above 0 and up to %v", maxTime)
	}
	u, err := url.Parse(o.Base)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return bad("%q is not the URL of a callers' API", o.Base)
	}
	// A name is refused too: what it resolves to may change.
	if a, err := netip.ParseAddr(u.Hostname()); !o.Remote && (err != nil || !a.IsLoopback()) {
		return &Error{Op: "check", Kind: ErrNotLoopback, Err: errors.New("load goes to a loopback address unless it is allowed elsewhere")}
	}
	return nil
}
