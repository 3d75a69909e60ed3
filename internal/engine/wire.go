package engine

// Header names between the router and endpoints.
const (
	HeaderLoad     = "Endpoint-Load"     // "outstanding/slots" at the time of the engine's last report
	HeaderWait     = "Endpoint-Wait"     // how long a request waits for a slot now, as text such as "15ms"
	HeaderLeaving  = "Endpoint-Leaving"  // "true" once the endpoint takes no new work
	HeaderVersions = "Endpoint-Versions" // versions that the engine serves, separated by commas
	HeaderRequest  = "Cassiaspoke-Request"
	HeaderKey      = "Idempotency-Key"
	HeaderFence    = "Fencing-Token"
)

// DataDone is the data of the event that ends a stream.
const DataDone = "[DONE]"

// Reasons why an answer ended.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat completion; Model is a profile's name from callers and a version's name to engines.
type ChatRequest struct {
	Model     string         `json:"model"`
	Messages  []Message      `json:"messages"`
	Stream    bool           `json:"stream,omitempty"`
	MaxTokens int            `json:"max_tokens,omitempty"`
	Priority  int            `json:"priority,omitempty"`
	Options   *StreamOptions `json:"stream_options,omitempty"`

	// ContinueFinal asks the engine to continue the last message, which is the part already delivered.
	ContinueFinal bool `json:"continue_final_message,omitempty"`
}

// StreamOptions asks for the usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	Input  int64 `json:"prompt_tokens"`
	Output int64 `json:"completion_tokens"`
	Total  int64 `json:"total_tokens"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// Choice is the only choice of a completion or chunk.
type Choice struct {
	Index   int      `json:"index"`
	Delta   *Delta   `json:"delta,omitempty"`
	Message *Message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

// Completion is an answer, or one chunk of a streamed answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Load is an engine's reply to a probe.
type Load struct {
	ID          string   `json:"id"`
	Outstanding int      `json:"outstanding"`
	Wait        string   `json:"wait,omitempty"` // as in HeaderWait
	Slots       int      `json:"slots"`
	Versions    []string `json:"versions"`
	Leaving     bool     `json:"leaving,omitempty"`
	Role        string   `json:"role,omitempty"`
}

// Command orders an engine to load or unload a version or to change its role.
type Command struct {
	Action  string `json:"action"` // "load", "unload", "role"
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
	Fence   uint64 `json:"fencing-token"`
}
