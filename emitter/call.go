package emitter

import "github.com/garnetworks/garnetworks"

// CallEnded is the message of the log line written when a call ends.
const CallEnded = "call-ended"

// Attempt describes one attempt in a call's log line.
type Attempt struct {
	Group    garnetworks.GroupID    `json:"group,omitempty"`
	Instance garnetworks.InstanceID `json:"instance,omitempty"`
	// Phase is how far the attempt got; PhaseDone for a complete answer.
	Phase garnetworks.CallPhase `json:"phase,omitempty"`
	// Why is the reason for the attempt; empty for a call's first one.
	Why AttemptReason `json:"why,omitempty"`
	// PlacedMS is the time from the end of the previous attempt to the start of this one.
	PlacedMS int64 `json:"placed-ms,omitempty"`
	// FirstMS is the time until its first event, TookMS the time until its end.
	FirstMS int64 `json:"first-ms,omitempty"`
	TookMS  int64 `json:"took-ms,omitempty"`
	Events  int   `json:"events,omitempty"`
	// PauseMS is the longest pause between two events. SilentMS is the time from the last
	// event, or from the start if there was none, to the end of a failed attempt.
	PauseMS  int64 `json:"pause-ms,omitempty"`
	SilentMS int64 `json:"silent-ms,omitempty"`
	// Calls is the number of calls that the group already had, including those last reported
	// by other nodes. Reading is the number of prompt tokens of this node that the group
	// had not processed yet.
	Calls   int `json:"calls,omitempty"`
	Reading int `json:"reading,omitempty"`
	// RetryAfterMS is how long the server that refused wants no further call.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Reused says that the attempt went over a connection that had carried another one, Unnamed
	// that the server's answer did not carry the call's identifier.
	Reused  bool `json:"reused,omitempty"`
	Unnamed bool `json:"unnamed,omitempty"`
	// Limit is the number of calls per second that the server named in its answer; nil if it
	// named none.
	Limit *float64 `json:"limit,omitempty"`
	Cause string   `json:"cause,omitempty"`
}

// AttemptReason is the reason for a later attempt of a call.
type AttemptReason string

const (
	// AttemptMoved attempts use a place that was reserved for them while the previous group
	// was stalled.
	AttemptMoved AttemptReason = "moved"
	// AttemptRepeated attempts follow an attempt that ended.
	AttemptRepeated AttemptReason = "repeated"
)
