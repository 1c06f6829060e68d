package garnetworks

import (
	"context"
	"time"
)

// ManifestSource provides the manifest in force at the node.
type ManifestSource interface {
	// Manifest returns the newest manifest in force, which must not be modified, or
	// false if there is none yet. Every call reads it, so it takes no lock that a writer
	// holds for long.
	Manifest() (*AcceptedManifest, bool)
}

// AttemptResult describes how an attempt at a group or a backend server ended.
type AttemptResult struct {
	// Phase is PhaseDone if the response is complete.
	Phase CallPhase
	// Stalled says that the connection made no progress although a probe over a new
	// connection found the engine alive.
	Stalled bool
	// StaleToken says that the engine refused the attempt's fencing token, so the
	// chooser's view of the group is outdated.
	StaleToken bool
	// Leaving says that the server refused the attempt because it is leaving.
	Leaving bool
	// RetryAfter is how long the server that refused the attempt wants no further one.
	RetryAfter time.Duration
	// Cancelled says that the caller or the node ended the attempt, so that its result
	// tells nothing about the backend server.
	Cancelled bool
	// FirstToken is the time from the start of the attempt to its first token;
	// 0 if there was none.
	FirstToken time.Duration
	// Elapsed is the time from the start of the attempt to its end.
	Elapsed time.Duration
	// Tokens is the number of tokens that the attempt delivered.
	Tokens int
}

// GroupChooser chooses the replica group for an attempt. It is safe for concurrent
// use and does no I/O.
type GroupChooser interface {
	// Choose returns a serving group that is not in tried, or an error of kind
	// KindNoGroup. It does not count an attempt; the caller does with AttemptStarted.
	Choose(now time.Time, call *CallRequest, tried []GroupID) (GroupView, error)
	// AttemptStarted counts an attempt as in flight. Each AttemptStarted is followed by
	// exactly one AttemptFinished.
	AttemptStarted(now time.Time, call *CallRequest, group GroupID)
	// AttemptFinished counts an attempt as ended.
	AttemptFinished(now time.Time, call *CallRequest, group GroupID, result AttemptResult)
	// ReportLoad updates a group's load with the one reported in a response.
	ReportLoad(now time.Time, group GroupID, load EngineLoad)
}

// ServerChooser chooses the backend server of a plain service. It is safe for
// concurrent use and does no I/O.
type ServerChooser interface {
	// ChooseServer returns a server that may get new work and is not in tried, or an
	// error of kind KindNoBackend.
	ChooseServer(now time.Time, service ServiceName, tried []InstanceID) (ServerView, error)
	// ServerCallStarted counts a call as in flight. Each ServerCallStarted is followed
	// by exactly one ServerCallFinished.
	ServerCallStarted(now time.Time, service ServiceName, instance InstanceID)
	// ServerCallFinished counts a call as ended.
	ServerCallFinished(now time.Time, service ServiceName, instance InstanceID, result AttemptResult)
}

// AdmitRequest asks for the admission of a call under its workspace's limits.
type AdmitRequest struct {
	Workspace WorkspaceName
	// Model is the model that the call needs; empty for calls to plain services,
	// which use no model capacity.
	Model ModelName
	// Priority is the workspace's priority; higher ones are shed later.
	Priority int
	// Tokens is the estimated total of prompt and output; 0 for calls to plain services.
	Tokens int
	// Received is when the node read the request.
	Received time.Time
	// FirstTokenBy is the deadline of the first token; a call that can't meet it is
	// refused immediately.
	FirstTokenBy time.Time
}

// ModelCapacity is a node's view of the groups that may serve a model now.
type ModelCapacity struct {
	Model ModelName
	// Slots is the number of calls that the model's eligible groups can batch, over the
	// whole site as far as the node knows.
	Slots int
	// InUse is the estimated number of calls running in those groups, from all nodes.
	InUse float64
	// FirstToken is the typical time from the start of an attempt to its first token, as
	// measured by the node; 0 if it has no measurement.
	FirstToken time.Duration
}

// Admitter enforces the limits of workspaces and the capacity of the node.
type Admitter interface {
	// Admit returns a ticket, immediately or after waiting in a bounded queue, or an
	// error of kind KindOverLimit, KindOverloaded, KindDeadlineUnreachable (each with a
	// RetryAfter), KindShuttingDown or, if ctx ended, KindCancelled. A call that is not
	// admitted does not run.
	Admit(ctx context.Context, request AdmitRequest) (Ticket, error)
}

// Ticket is the admission of a call.
type Ticket interface {
	// Done returns the ticket with the number of tokens that the call used. It must be
	// called exactly once.
	Done(tokens int)
}

// ClaimRequest asks for the exclusive right to forward a call with an idempotency
// key.
type ClaimRequest struct {
	Workspace WorkspaceName
	Service   ServiceName
	// Key is the caller's idempotency key; not empty.
	Key string
	// BodyHash covers method, path and body; a claim with the same key and a different
	// hash is refused.
	BodyHash [32]byte
	// Call is the claiming call; it identifies the claim on reading back after a lost response.
	Call CallID
	// Until is the latest time at which the call ends. From then on, a claim without a
	// recorded response is answered with KindOutcomeUnknown; it is never given to
	// another call.
	Until time.Time
}

// Claim is the exclusive right to forward one call with an idempotency key.
type Claim struct {
	ClaimRequest
}

// ClaimResult is either a claim or the recorded response of an earlier call.
type ClaimResult struct {
	// Claim is valid only if Recorded is absent.
	Claim Claim
	// Recorded is the complete response of the call that first used the key.
	Recorded Option[ServiceResponse]
}

// Claimer enforces rule G6 across all nodes for calls with an idempotency key.
type Claimer interface {
	// Claim returns a claim if the key is unused, so that no other call gets one
	// for it, or the recorded response. Errors are of kind KindKeyReused,
	// KindInProgress, KindOutcomeUnknown, KindClaimsUnavailable (the object API is
	// unavailable or its response stays unknown) or KindCancelled; after any of them
	// the caller must not forward the call.
	Claim(ctx context.Context, request ClaimRequest) (ClaimResult, error)
	// Complete records the complete response of a claimed call.
	Complete(ctx context.Context, claim Claim, response *ServiceResponse) error
	// Abandon ends a claim without a response. OutcomeNotRun, which must be proven,
	// frees the key; with OutcomeUnknown, later calls get KindOutcomeUnknown.
	Abandon(ctx context.Context, claim Claim, outcome Outcome) error
}
