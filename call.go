package garnetworks

import "time"

// CallRequest is a call to a model that has been validated and admitted.
type CallRequest struct {
	ID        CallID
	Workspace WorkspaceName
	Model     ModelName
	Adapter   AdapterName
	Priority  int
	// Prompt is the text (or the joined messages) for the engine to continue.
	Prompt string
	// SharedParts identify the parts of the prompt that other calls may share, in order, at most
	// MaxSharedParts of them; the last part belongs to the call.
	SharedParts []PromptPart
	// MaxTokens limits the number of generated tokens; above 0.
	MaxTokens int
	// Temperature is passed to the engine unchanged.
	Temperature float64
	Stop        []string
	// Received is when the node read the request.
	Received time.Time
	// FirstTokenBy is the deadline for the first token.
	FirstTokenBy time.Time
	// Deadline is the deadline for the complete response.
	Deadline time.Time
}

// EngineCall is one attempt to run a call on one replica group.
type EngineCall struct {
	CallRequest
	// Attempt is unique to the attempt; the engine echoes it in each chunk of the
	// response (rule G7).
	Attempt CallID
	Group   GroupID
	Token   FencingToken
	// ResumeFrom is the number of tokens already delivered to the caller; the engine
	// continues after them.
	ResumeFrom int
	// Delivered is the text already delivered, so that another group can resume
	// without the state of the first one.
	Delivered string
}

// Chunk is one part of an engine's response stream.
type Chunk struct {
	// Attempt echoes EngineCall.Attempt.
	Attempt CallID
	// Index is the position of the chunk's first token in the complete response,
	// counted from 0.
	Index int
	Text  string
	// Tokens is the number of tokens in Text.
	Tokens int
	// End marks the last chunk; a response without it is incomplete.
	End bool
	// FinishReason is set on the last chunk: stop, length or error.
	FinishReason string
	// Load is the engine's load, reported along with the response.
	Load Option[EngineLoad]
}

// EngineLoad is a group's load as reported by its engine.
type EngineLoad struct {
	// Running and Waiting count the requests in the batch and in the engine's queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Capacity is the number of requests that fit into the engine's batch.
	Capacity int `json:"capacity"`
	// CacheUsed is the fraction of the KV cache in use, 0 to 1.
	CacheUsed float64 `json:"cache-used"`
	// At is when the engine measured the load.
	At time.Time `json:"at"`
}

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	ID        CallID
	Workspace WorkspaceName
	Service   ServiceName
	Method    string
	// Path is the part after /services/{service}, including the query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's idempotency key; empty if it sent none.
	IdempotencyKey string
}

// ServiceResponse is the complete response of a plain service.
type ServiceResponse struct {
	// ID echoes ServiceCall.ID (rule G7).
	ID          CallID
	Status      int
	ContentType string
	Body        []byte
}

// CallPhase is the phase that an attempt had reached when it ended.
type CallPhase string

const (
	// PhaseConnect: no connection was made, so no byte of the call was sent.
	PhaseConnect CallPhase = "connect"
	// PhaseWrite: part of the call may have reached the server.
	PhaseWrite CallPhase = "write"
	// PhaseWait: the call was sent, but no byte of the response arrived.
	PhaseWait CallPhase = "wait"
	// PhaseRefused: the server responded that it did not start the call.
	PhaseRefused CallPhase = "refused"
	// PhaseHeaders: the response ended within its headers.
	PhaseHeaders CallPhase = "headers"
	// PhaseBody: the response ended within its body.
	PhaseBody CallPhase = "body"
	// PhaseMismatched: the response belongs to another call.
	PhaseMismatched CallPhase = "crossed"
	// PhaseDone: the complete response arrived.
	PhaseDone CallPhase = "done"
)

// Interrupted reports whether an attempt that ended in phase p may have been running on its
// server without a complete response, so that the server may have crashed while running it.
func (p CallPhase) Interrupted() bool {
	switch p {
	case PhaseWrite, PhaseWait, PhaseHeaders, PhaseBody:
		return true
	}
	return false
}

// AttemptError is the failure of one attempt. Implementations of EngineCaller and
// ServiceCaller return no other error type.
type AttemptError struct {
	Phase CallPhase
	// Stalled is set if the attempt was ended because its connection made no
	// progress.
	Stalled bool
	// RetryAfter is the delay that the server asked for when it refused the call.
	RetryAfter time.Duration
	// Reused says that the connection had carried another attempt before.
	Reused bool
	Cause  error
}

// Error returns the phase and the cause.
func (e *AttemptError) Error() string {
	if e.Cause == nil {
		return "attempt failed in phase " + string(e.Phase)
	}
	return "attempt failed in phase " + string(e.Phase) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }
