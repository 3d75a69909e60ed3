package attributes

import "time"

// ClientRequest holds the attributes of a client's request.
type ClientRequest struct {
	ID              string
	Timeout         time.Duration // time for which the client waits; 0 if not stated
	APIKey          string        // API key
	Session         string
	Model           string // AnyModel leaves the choice to the router
	PromptTokens    int
	MaxOutputTokens int          // upper limit
	PromptParts     []PromptPart // parts of the prompt in order; the last one belongs to the request or its session
	LastEventID     string       // identifier of the last event that the client has received
}

// AnyModel lets the router choose the model.
const AnyModel = "*"

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// SharedPrefix returns the parts of the prefix that other requests may share.
func (r *ClientRequest) SharedPrefix() []PromptPart {
	if len(r.PromptParts) < 2 {
		return nil
	}
	return r.PromptParts[:len(r.PromptParts)-1]
}

// EndpointRequest holds the attributes that the router adds to a request when it sends it to an endpoint.
type EndpointRequest struct {
	Endpoint     string // identifier; another endpoint at the same address refuses the request
	Organisation string
	Timeout      time.Duration // time left
	Model        string        // replaces the client's value if not empty
	LastEventID  string        // replaces the client's value if not empty
	Urgency      int           // 0 is the most urgent
}

// Response holds the attributes of an endpoint's response.
type Response struct {
	RequestID           string
	Signed              bool // the response carries the endpoint's signature
	NotExecuted         bool // the request has not run and will not run
	Confidence          int  // the model's rating of its answer, 0 to 100, or NoConfidence
	Load                *Load
	UnrequestedEncoding bool // the body has a content encoding, although none was requested
	IdleTimeout         time.Duration
	CloseConnection     bool // the endpoint closes the connection after this response
	Leaving             bool // the endpoint is about to stop
	// RetryAfter is how long an endpoint that refuses a request wants no further ones from this instance; 0 if not stated.
	RetryAfter time.Duration
	// RequestLimit is how many requests a second the endpoint takes from all instances together, 0 if it states no limit, or
	// UnknownRequestLimit.
	RequestLimit float64
	// WarmUpRemaining is for how much longer the endpoint is cold; negative if not stated.
	WarmUpRemaining time.Duration
	// UnknownHeaders holds names of the protocol's headers that the protocol's decoder does not know, at most a few.
	UnknownHeaders []string
}

// UnknownWarmUp is the WarmUpRemaining of a response that states none.
const UnknownWarmUp = time.Duration(-1)

// Limits below MinRequestLimit count as MinRequestLimit, as an endpoint without any request could not say that its limit is over. A limit
// above MaxRequestLimit has no effect.
const (
	MinRequestLimit = 0.1
	MaxRequestLimit = 100_000
)

// UnknownRequestLimit is the RequestLimit of a response that states a limit that can't be read.
const UnknownRequestLimit = -1.0

// NoConfidence is the confidence of an answer without a rating.
const NoConfidence = -1

// Load is the load that an endpoint reports.
type Load struct {
	Running int // requests in a slot
	Waiting int // requests that wait for a slot
	Slots   int
	// WorkTime is how long work takes at the endpoint now, relative to the usual time; 0 if not stated. It changes many times a
	// second, as other programs use the same machine.
	WorkTime float64
}
