package call

import "time"

// Request is what a client says of one request.
type Request struct {
	ID           string
	Deadline     time.Duration // for which the client waits; 0 if it does not say
	Key          string        // API key
	Session      string
	Model        string // AnyModel leaves the choice to the router
	PromptTokens int
	OutputTokens int    // at most
	Prefix       []Part // parts of the prompt in order; the last one belongs to the request or its session
	LastEvent    string // identifier of the last event that the client has
}

// AnyModel stands for a model that the router chooses.
const AnyModel = "*"

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// SharedPrefix returns the parts that other requests may have in common with this one.
func (r *Request) SharedPrefix() []Part {
	if len(r.Prefix) < 2 {
		return nil
	}
	return r.Prefix[:len(r.Prefix)-1]
}

// Send is what an endpoint is told beside the client's request.
type Send struct {
	Endpoint     string // identifier; another endpoint at its address refuses
	Organisation string
	Deadline     time.Duration // what is left
	Model        string        // replaces the client's if not empty
	LastEvent    string        // replaces the client's if not empty
	Urgency      int           // 0 is the most urgent
}

// Answer is what an endpoint says of its answer.
type Answer struct {
	RequestID   string
	Sealed      bool // carries the endpoint's signature
	NotExecuted bool // the request has not run and never will
	Confidence  int  // the model's opinion of its answer, 0 to 100; NoConfidence if it has none
	Load        *Load
	Encoded     bool // the body has an encoding that was not asked for
	IdleTimeout time.Duration
	Close       bool // the endpoint ends the connection after this answer
}

// NoConfidence is the confidence of an answer that states none.
const NoConfidence = -1

// Load is an endpoint's own count of its requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
