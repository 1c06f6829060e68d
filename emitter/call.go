package emitter

import "github.com/garnetworks/garnetworks"

// CallEnded is the message of the line that tells of a call.
const CallEnded = "call-ended"

// Attempt is one attempt in a call's line, as it is written and read.
type Attempt struct {
	Group    garnetworks.GroupID    `json:"group,omitempty"`
	Instance garnetworks.InstanceID `json:"instance,omitempty"`
	// Phase is how far the attempt came; done for a whole answer.
	Phase garnetworks.CallPhase `json:"phase,omitempty"`
	// Why says what the attempt is for; empty for a call's first one.
	Why AttemptReason `json:"why,omitempty"`
	// PlacedMS is the time from the end of the attempt before to this one's start.
	PlacedMS int64 `json:"placed-ms,omitempty"`
	// FirstMS is the time to its first event, TookMS that to its end.
	FirstMS int64 `json:"first-ms,omitempty"`
	TookMS  int64 `json:"took-ms,omitempty"`
	Events  int   `json:"events,omitempty"`
	// PauseMS is the longest pause between two of its events. SilentMS is the time
	// from its last event, or from its start, to its end, if it failed.
	PauseMS  int64 `json:"pause-ms,omitempty"`
	SilentMS int64 `json:"silent-ms,omitempty"`
	// Calls is the number of calls that the group had before this one, those of other
	// nodes as last heard; Reading the prompt tokens of this node that it had not
	// read yet.
	Calls   int    `json:"calls,omitempty"`
	Reading int    `json:"reading,omitempty"`
	Cause   string `json:"cause,omitempty"`
}

// AttemptReason says what a later attempt of a call is for.
type AttemptReason string

const (
	// AttemptMoved attempts have a place that was taken for them while the group
	// before stood still.
	AttemptMoved AttemptReason = "moved"
	// AttemptRepeated attempts follow one that ended.
	AttemptRepeated AttemptReason = "repeated"
)
