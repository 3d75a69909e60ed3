package load

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"
)

// Upper bounds for the options of a run.
const (
	maxRequests    = 10_000_000
	maxDuration    = time.Hour
	maxConcurrency = 10_000
)

// Options configure a run. Sending stops after MaxRequests or SendDuration, whichever comes first; the run then waits for
// the answers that are outstanding.
type Options struct {
	BaseURL        string // base URL of the callers' API
	APIKey         string // API key of the organisation
	Profile        string
	Prompt         string
	MaxTokens      int           // 0 applies the profile's limit
	Rate           float64       // requests per second, independent of earlier answers; 0 keeps Concurrency requests outstanding
	Concurrency    int           // outstanding requests; with a rate, requests due above this number are not sent
	MaxRequests    int           // maximum number of requests to send
	SendDuration   time.Duration // how long requests are sent
	RequestTimeout time.Duration // for one request and its answer
	AllowRemote    bool          // allows a BaseURL that is not a loopback address
}

func (o Options) validate() error {
	invalid := func(format string, a ...any) error {
		return &Error{Op: "check", Kind: ErrOptions, Err: fmt.Errorf(format, a...)}
	}
	switch {
	case o.Profile == "":
		return invalid("profile is required")
	case o.Rate < 0 || o.Concurrency < 1 || o.Concurrency > maxConcurrency:
		return invalid("rate must not be negative, and concurrency must be between 1 and %d", maxConcurrency)
	case o.MaxRequests < 1 || o.MaxRequests > maxRequests:
		return invalid("number of requests must be between 1 and %d", maxRequests)
	case o.SendDuration <= 0 || o.SendDuration > maxDuration || o.RequestTimeout <= 0 || o.RequestTimeout > maxDuration:
		return invalid("sending time and request timeout must be above 0 and at most %v", maxDuration)
	}
	u, err := url.Parse(o.BaseURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return invalid("%q is not an http or https URL with a host", o.BaseURL)
	}
	// Host names are refused too, even localhost, because they may resolve to another address later.
	if a, err := netip.ParseAddr(u.Hostname()); !o.AllowRemote && (err != nil || !a.IsLoopback()) {
		return &Error{Op: "check", Kind: ErrNotLoopback, Err: errors.New("host is not a loopback IP address, and other hosts are not allowed by the options")}
	}
	return nil
}
