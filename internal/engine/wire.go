package engine

// Names of the headers that the router and endpoints exchange.
const (
	HeaderLoad           = "Endpoint-Load"     // "outstanding/slots" at the time of the engine's last report
	HeaderWait           = "Endpoint-Wait"     // how long a request waits for a slot now, as a Go duration such as "15ms"
	HeaderLeaving        = "Endpoint-Leaving"  // "true" once the endpoint accepts no new work
	HeaderVersions       = "Endpoint-Versions" // versions that the engine serves, separated by commas
	HeaderRequestID      = "Cassiaspoke-Request"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencingToken   = "Fencing-Token"
)

// DataDone is the data of the last event of a stream.
const DataDone = "[DONE]"

// Finish reasons of an answer.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion request. Model is the name of a profile in requests of callers, and the name
// of a version in requests to engines.
type ChatRequest struct {
	Model     string         `json:"model"`
	Messages  []Message      `json:"messages"`
	Stream    bool           `json:"stream,omitempty"`
	MaxTokens int            `json:"max_tokens,omitempty"`
	Priority  int            `json:"priority,omitempty"`
	Options   *StreamOptions `json:"stream_options,omitempty"`

	// ContinueFinal asks the engine to continue the last message, which holds the text generated so far.
	ContinueFinal bool `json:"continue_final_message,omitempty"`
}

// StreamOptions requests the token usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	Input  int64 `json:"prompt_tokens"`
	Output int64 `json:"completion_tokens"`
	Total  int64 `json:"total_tokens"`
}

// Delta is the text that a chunk appends to the answer.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is the single choice of a completion or a chunk.
type Choice struct {
	Index   int      `json:"index"`
	Delta   *Delta   `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// Completion is a complete answer or one chunk of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ProbeReply is the reply of an endpoint to a load probe.
type ProbeReply struct {
	ID          string   `json:"id"`
	Outstanding int      `json:"outstanding"`
	Wait        string   `json:"wait,omitempty"` // as in HeaderWait
	Slots       int      `json:"slots"`
	Versions    []string `json:"versions"`
	Leaving     bool     `json:"leaving,omitempty"`
	Role        string   `json:"role,omitempty"`
}

// Command tells an engine to load or unload a version, or to change its role.
type Command struct {
	Action       string `json:"action"` // "load", "unload", "role"
	Version      string `json:"version,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing-token"`
}
