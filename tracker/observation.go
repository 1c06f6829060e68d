package tracker

import (
	"github.com/garnetworks/garnetworks"
)

// Observation is an input to State.Step.
type Observation interface{ observation() }

// Observations.
type (
	// Ticked reports that time has passed.
	Ticked struct{}
	// Answered reports that From responded to a heartbeat sent to Node.
	Answered struct {
		Node, From garnetworks.NodeInfo
		// Indirect is true if the heartbeat carried indirect probes.
		Indirect   bool
		Alive      []garnetworks.AliveNode
		Introduced []garnetworks.NodeInfo
	}
	// Unanswered reports that a heartbeat to Node failed.
	Unanswered struct {
		Node   garnetworks.NodeInfo
		Kind   garnetworks.Kind
		Detail string
	}
	// RosterLearned carries a zone's roster, read from the object API or distributed.
	RosterLearned struct{ Roster garnetworks.Roster }
	// OwnRosterStored carries the version of the own zone's roster in the object API, 0 if there
	// is none, and the era in which it was read.
	OwnRosterStored struct {
		Version uint64
		Era     garnetworks.Era
	}
	// EraBegan reports that the object API has come back from an older copy.
	EraBegan struct{}
	// RostersRead reports that all rosters have been read once.
	RostersRead struct{}
	// RosterWritten reports the result of a roster write.
	RosterWritten struct {
		Patch  Patch
		Roster garnetworks.Roster
		Err    error
	}
	// ReadySet sets whether this node takes calls.
	ReadySet struct{ Ready bool }
	// Leave reports that this node is stopping.
	Leave struct{}
)

func (Ticked) observation() {}

func (Answered) observation() {}

func (Unanswered) observation() {}

func (RosterLearned) observation() {}

func (OwnRosterStored) observation() {}

func (EraBegan) observation() {}

func (RostersRead) observation() {}

func (RosterWritten) observation() {}

func (ReadySet) observation() {}

func (Leave) observation() {}

// Probe is a heartbeat to send.
type Probe struct {
	// Node is the receiver; only its address is known if ID is empty.
	Node           garnetworks.NodeInfo
	From           garnetworks.NodeInfo
	IndirectProbes []garnetworks.NodeInfo
	// Leaving announces that the sender is stopping.
	Leaving bool
}

// Decisions are the actions that a step requests.
type Decisions struct {
	Probes []Probe
	Write  garnetworks.Option[Patch]
	// Reread requests that the rosters be listed again.
	Reread bool
	Events []garnetworks.Event
	// Changed is true if the view has changed.
	Changed bool
	// Superseded is set once, when another process has taken this node's name.
	Superseded bool
}

// Reply is the tracker's part of the response to a heartbeat.
type Reply struct {
	Alive      []garnetworks.AliveNode
	Introduced []garnetworks.NodeInfo
	// Refusal is non-nil if the heartbeat is refused.
	Refusal error
}

// View is what a node knows of the site. It is immutable.
type View struct {
	Self garnetworks.NodeInfo
	// Rosters are the last known rosters.
	Rosters map[garnetworks.ZoneID]garnetworks.Roster
	// Peers are all nodes not known to be lost, except Self, sorted by ID within each zone;
	// the own zone comes first.
	Peers []garnetworks.NodeInfo
	// Ready are the Peers that take calls, and Self if it does.
	Ready []garnetworks.NodeInfo
	// Listed is true if the roster lists this node with its current description.
	Listed bool
	// Suspected are the nodes of the own zone that this node suspects, sorted.
	Suspected []garnetworks.NodeID
}
