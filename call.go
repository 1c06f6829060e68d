package garnetworks

import "time"

// CallRequest is a call to a model, after it was checked and admitted.
type CallRequest struct {
	ID        CallID
	Workspace WorkspaceName
	Model     ModelName
	Adapter   AdapterName
	Priority  int
	// Prompt is the text (or the joined messages) that the engine continues.
	Prompt string
	// MaxTokens bounds the answer; above 0.
	MaxTokens int
	// Temperature is passed through to the engine.
	Temperature float64
	Stop        []string
	// Received is when the node read the request.
	Received time.Time
	// FirstTokenBy is the deadline of the first token.
	FirstTokenBy time.Time
	// Deadline is the deadline of the whole answer.
	Deadline time.Time
}

// EngineCall is one attempt of a call at one replica group.
type EngineCall struct {
	CallRequest
	// Attempt is unique to the attempt; the engine echoes it on each part of
	// the answer (rule G7).
	Attempt CallID
	Group   GroupID
	Token   FencingToken
	// ResumeFrom is the number of tokens already delivered; the engine goes on
	// after them.
	ResumeFrom int
	// Delivered is the text already delivered, so that another group can resume
	// without the first one's state.
	Delivered string
}

// Chunk is one part of an engine's answer.
type Chunk struct {
	// Attempt echoes EngineCall.Attempt.
	Attempt CallID
	// Index is the position of the first token of the chunk in the whole answer,
	// from 0.
	Index int
	Text  string
	// Tokens is the number of tokens in Text.
	Tokens int
	// End marks the last chunk; without it an answer is not whole.
	End bool
	// FinishReason is set on the last chunk: stop, length or error.
	FinishReason string
	// Load is the engine's load carried back on the answer.
	Load Option[EngineLoad]
}

// EngineLoad is a group's load, as the engine reports it.
type EngineLoad struct {
	// Running and Waiting are requests in the batch and in the engine's queue.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Capacity is the number of requests that the engine batches.
	Capacity int `json:"capacity"`
	// CacheUsed is the used share of the KV cache, 0 to 1.
	CacheUsed float64 `json:"cache-used"`
	// At is when the engine measured it, by the receiver's clock at the latest.
	At time.Time `json:"at"`
}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	ID        CallID
	Workspace WorkspaceName
	Service   ServiceName
	Method    string
	// Path is the part after /services/{service}, with the query.
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's idempotency key; empty if there was none.
	IdempotencyKey string
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	// ID echoes ServiceCall.ID (rule G7).
	ID          CallID
	Status      int
	ContentType string
	Body        []byte
}

// CallPhase says how far an attempt had come when it failed.
type CallPhase string

const (
	// PhaseConnect: no connection; no byte of the call was sent.
	PhaseConnect CallPhase = "connect"
	// PhaseWrite: some bytes of the call may have reached the server.
	PhaseWrite CallPhase = "write"
	// PhaseWait: the call was sent; no byte of the answer came.
	PhaseWait CallPhase = "wait"
	// PhaseRefused: the server answered that it did not begin the call.
	PhaseRefused CallPhase = "refused"
	// PhaseHeaders: the answer broke off in its headers.
	PhaseHeaders CallPhase = "headers"
	// PhaseBody: the answer broke off in its body.
	PhaseBody CallPhase = "body"
	// PhaseMismatched: the answer belonged to another call.
	PhaseMismatched CallPhase = "crossed"
	// PhaseDone: the whole answer came.
	PhaseDone CallPhase = "done"
)

// Interrupted reports whether an attempt that ended in the phase was with its server and got
// no whole answer, so that the server may have ended under it.
func (p CallPhase) Interrupted() bool {
	switch p {
	case PhaseWrite, PhaseWait, PhaseHeaders, PhaseBody:
		return true
	}
	return false
}

// AttemptError is the failure of one attempt; adapters of EngineCaller and
// ServiceCaller return it and nothing else.
type AttemptError struct {
	Phase CallPhase
	// Stalled says that the attempt ended because the connection made no
	// progress.
	Stalled bool
	// RetryAfter is the server's own word on a refusal.
	RetryAfter time.Duration
	Cause      error
}

// Error names the phase and the cause.
func (e *AttemptError) Error() string {
	if e.Cause == nil {
		return "attempt failed in phase " + string(e.Phase)
	}
	return "attempt failed in phase " + string(e.Phase) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }
