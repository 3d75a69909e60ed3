package call

import "time"

// Request holds the attributes of a client's request.
type Request struct {
	ID           string
	Deadline     time.Duration // time for which the client waits; 0 if not stated
	Key          string        // API key
	Session      string
	Model        string // AnyModel leaves the choice to the router
	PromptTokens int
	OutputTokens int    // upper limit
	Prefix       []Part // parts of the prompt in order; the last one belongs to the request or its session
	LastEvent    string // identifier of the last event that the client has received
}

// AnyModel lets the router choose the model.
const AnyModel = "*"

// Part is a part of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// SharedPrefix returns the parts of the prefix that other requests may share.
func (r *Request) SharedPrefix() []Part {
	if len(r.Prefix) < 2 {
		return nil
	}
	return r.Prefix[:len(r.Prefix)-1]
}

// Send holds the attributes that the router adds to a request when it sends it to an endpoint.
type Send struct {
	Endpoint     string // identifier; another endpoint at the same address refuses the request
	Organisation string
	Deadline     time.Duration // time left
	Model        string        // replaces the client's value if not empty
	LastEvent    string        // replaces the client's value if not empty
	Urgency      int           // 0 is the most urgent
}

// Answer holds the attributes of an endpoint's response.
type Answer struct {
	RequestID   string
	Sealed      bool // the response carries the endpoint's signature
	NotExecuted bool // the request has not run and will not run
	Confidence  int  // the model's rating of its answer, 0 to 100, or NoConfidence
	Load        *Load
	Encoded     bool // the body has a content encoding, although none was requested
	IdleTimeout time.Duration
	Close       bool // the endpoint closes the connection after this response
}

// NoConfidence is the confidence of an answer without a rating.
const NoConfidence = -1

// Load is the load that an endpoint reports.
type Load struct {
	Running int // requests in a slot
	Waiting int // requests that wait for a slot
	Slots   int
}
