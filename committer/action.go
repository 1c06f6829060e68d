package committer

import (
	"github.com/garnetworks/garnetworks"
)

// Action is what a State asks its adapter to do. An action that fails needs no
// answer: Step asks again when it is due.
type Action interface{ action() }

// Publish hands an update to the distribution.
type Publish struct{ Update garnetworks.Update }

// SendReport sends the node's report to the node that gathers them.
type SendReport struct {
	To     garnetworks.NodeInfo
	Report garnetworks.NodeReport
}

// Accept makes a staged proposal the newest generation.
type Accept struct {
	Number   uint64
	CommitID string
}

// Refuse ends a proposal that a node refuses.
type Refuse struct {
	Number   uint64
	CommitID string
	Reason   string
}

// FetchBody reads a commit's manifest from the object API.
type FetchBody struct {
	CommitID string
	Hash     string
}

// RecordEvent records an event on the time line.
type RecordEvent struct{ Event garnetworks.Event }

func (Publish) action() {}

func (SendReport) action() {}

func (Accept) action() {}

func (Refuse) action() {}

func (FetchBody) action() {}

func (RecordEvent) action() {}
