package garnetworks

import (
	"context"
	"time"
)

// ManifestSource gives the manifest in force at the node.
type ManifestSource interface {
	// Manifest returns the newest manifest in force, which nobody changes, or
	// false before the first one. It takes no lock that a writer holds for long:
	// every call on the path reads it.
	Manifest() (*AcceptedManifest, bool)
}

// AttemptResult says how one attempt at a group or a backend server ended.
type AttemptResult struct {
	// Phase is PhaseDone for a whole answer.
	Phase CallPhase
	// Stalled says that the connection made no progress, and a probe on a new
	// connection found the engine alive.
	Stalled bool
	// StaleToken says that the engine refused the attempt's fencing token: the
	// chooser's view of the group is out of date.
	StaleToken bool
	// Leaving says that the server refused the attempt because it is leaving.
	Leaving bool
	// Cancelled says that the caller or the node ended the attempt, so that it
	// tells nothing about the backend server.
	Cancelled bool
	// FirstToken is the time from the start of the attempt to its first token;
	// 0 if none came.
	FirstToken time.Duration
	// Elapsed is the time from the start of the attempt to its end.
	Elapsed time.Duration
	// Tokens is the number of tokens that the attempt delivered.
	Tokens int
}

// GroupChooser chooses the replica group for an attempt of a call. It is safe
// for concurrent use and does no I/O.
type GroupChooser interface {
	// Choose returns a serving group that is not in tried, or an error of kind
	// KindNoGroup. It counts nothing: the caller reports with AttemptStarted.
	Choose(now time.Time, call *CallRequest, tried []GroupID) (GroupView, error)
	// AttemptStarted counts an attempt as in flight. Each AttemptStarted is followed by
	// exactly one AttemptFinished.
	AttemptStarted(now time.Time, call *CallRequest, group GroupID)
	// AttemptFinished ends an attempt.
	AttemptFinished(now time.Time, call *CallRequest, group GroupID, result AttemptResult)
	// ReportLoad takes the load that an engine sent back on an answer.
	ReportLoad(now time.Time, group GroupID, load EngineLoad)
}

// ServerChooser chooses the backend server of a plain service. It is safe for
// concurrent use and does no I/O.
type ServerChooser interface {
	// ChooseServer returns a server that may get new work and is not in tried,
	// or an error of kind KindNoBackend.
	ChooseServer(now time.Time, service ServiceName, tried []InstanceID) (ServerView, error)
	// ServerCallStarted counts a call as in flight. Each ServerCallStarted is followed
	// by exactly one ServerCallFinished.
	ServerCallStarted(now time.Time, service ServiceName, instance InstanceID)
	// ServerCallFinished ends a call.
	ServerCallFinished(now time.Time, service ServiceName, instance InstanceID, result AttemptResult)
}

// AdmitRequest asks for a call to be admitted under its workspace's limits.
type AdmitRequest struct {
	Workspace WorkspaceName
	// Model is the model that the call needs; empty for calls to plain services,
	// which use no model capacity.
	Model ModelName
	// Priority is the workspace's; a higher one is shed later.
	Priority int
	// Tokens estimates prompt and answer; 0 for calls to plain services.
	Tokens int
	// Received is when the node read the request.
	Received time.Time
	// FirstTokenBy is the deadline of the first token; a call that can't make it
	// is refused at once.
	FirstTokenBy time.Time
}

// ModelCapacity is what a node sees of the groups that may serve a model now.
type ModelCapacity struct {
	Model ModelName
	// Slots is the number of calls that the model's eligible groups batch
	// together, over the whole site as far as the node sees it.
	Slots int
	// InUse is the estimated number of calls in those groups, from all nodes.
	InUse float64
	// FirstToken is the usual time from the start of an attempt to its first
	// token, by the node's own measurements; 0 if it has none.
	FirstToken time.Duration
}

// Admitter holds workspaces to their limits and the node to its capacity.
type Admitter interface {
	// Admit returns a ticket, at once or after a wait in a bounded queue, or an
	// error of kind KindOverLimit, KindOverloaded, KindDeadlineUnreachable (each with a
	// RetryAfter), KindShuttingDown or, if ctx ended, KindCancelled. A call that
	// was not admitted did not run.
	Admit(ctx context.Context, request AdmitRequest) (Ticket, error)
}

// Ticket is the admission of one call.
type Ticket interface {
	// Done gives the ticket back with the tokens that the call really used. It
	// is called once.
	Done(tokens int)
}

// ClaimRequest asks for the sole right to forward a call with an idempotency
// key.
type ClaimRequest struct {
	Workspace WorkspaceName
	Service   ServiceName
	// Key is the caller's idempotency key; not empty.
	Key string
	// BodyHash covers method, path and body: the same key with another hash is
	// refused.
	BodyHash [32]byte
	// Call is the call that claims; a lost answer is read back by it.
	Call CallID
	// Until is when the call has ended at the latest. From then on a claim
	// without a recorded answer is answered as KindOutcomeUnknown; it is never
	// given to another call.
	Until time.Time
}

// Claim is the sole right to forward one keyed call.
type Claim struct {
	ClaimRequest
}

// ClaimResult is either a claim or an earlier call's recorded answer.
type ClaimResult struct {
	// Claim is meaningful if Recorded is absent.
	Claim Claim
	// Recorded is the whole answer of the call that used the key first.
	Recorded Option[ServiceResponse]
}

// Claimer keeps rule G6 for calls with an idempotency key over all nodes.
type Claimer interface {
	// Claim returns a claim if the key is free, so that no other call gets one
	// for it, or the recorded answer. Errors are of kind KindKeyReused,
	// KindInProgress, KindOutcomeUnknown, KindClaimsUnavailable (the object API
	// can't be asked or its answer stays unknown) or KindCancelled; after each
	// of them the caller must not forward the call.
	Claim(ctx context.Context, request ClaimRequest) (ClaimResult, error)
	// Complete records the whole answer of a claimed call.
	Complete(ctx context.Context, claim Claim, response *ServiceResponse) error
	// Abandon ends a claim without an answer: OutcomeNotRun, which must be
	// proven, frees the key; OutcomeUnknown answers later calls with
	// KindOutcomeUnknown.
	Abandon(ctx context.Context, claim Claim, outcome Outcome) error
}
