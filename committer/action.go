package committer

import (
	"github.com/garnetworks/garnetworks"
)

// Action is something that a State asks its adapter to do. The adapter does not report
// failed actions; Step returns them again when they are due.
type Action interface{ action() }

// Publish publishes an update to all nodes.
type Publish struct{ Update garnetworks.Update }

// SendReport sends the node's report to another node of its zone.
type SendReport struct {
	To     garnetworks.NodeInfo
	Report garnetworks.NodeReport
}

// Accept makes a staged proposal the newest generation in the head.
type Accept struct {
	Number   uint64
	CommitID string
}

// Refuse ends a proposal that a node has refused.
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

// RecordEvent records an event on the timeline.
type RecordEvent struct{ Event garnetworks.Event }

func (Publish) action() {}

func (SendReport) action() {}

func (Accept) action() {}

func (Refuse) action() {}

func (FetchBody) action() {}

func (RecordEvent) action() {}
