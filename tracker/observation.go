package tracker

import (
	"github.com/garnetworks/garnetworks"
)

// Observation is something that happened at a node.
type Observation interface{ observation() }

// The observations.
type (
	// Ticked says that time has passed.
	Ticked struct{}
	// Answered says that a heartbeat to Node was answered by From.
	Answered struct {
		Node, From garnetworks.NodeInfo
		// Indirect says that the heartbeat asked about nodes.
		Indirect bool
		Alive    []garnetworks.AliveNode
	}
	// Unanswered says that a heartbeat to Node failed.
	Unanswered struct {
		Node   garnetworks.NodeInfo
		Kind   garnetworks.Kind
		Detail string
	}
	// RosterLearned brings a zone's roster, read or distributed.
	RosterLearned struct{ Roster garnetworks.Roster }
	// RostersRead says that all rosters were read once.
	RostersRead struct{}
	// RosterWritten says how a roster write went.
	RosterWritten struct {
		Patch  Patch
		Roster garnetworks.Roster
		Err    error
	}
	// ReadySet says whether this node takes calls from now on.
	ReadySet struct{ Ready bool }
	// Leave says that this node stops.
	Leave struct{}
)

func (Ticked) observation() {}

func (Answered) observation() {}

func (Unanswered) observation() {}

func (RosterLearned) observation() {}

func (RostersRead) observation() {}

func (RosterWritten) observation() {}

func (ReadySet) observation() {}

func (Leave) observation() {}

// Probe is a heartbeat to be sent.
type Probe struct {
	// Node is the receiver; only its address is known if ID is empty.
	Node           garnetworks.NodeInfo
	From           garnetworks.NodeInfo
	IndirectProbes []garnetworks.NodeInfo
	// Leaving says goodbye.
	Leaving bool
}

// Decisions are what a step decided.
type Decisions struct {
	Probes []Probe
	Write  garnetworks.Option[Patch]
	// Reread asks to list the rosters again.
	Reread bool
	Events []garnetworks.Event
	// Changed says that the view has changed.
	Changed bool
	// Superseded is set once, when another process took this node's name.
	Superseded bool
}

// Reply is the state's part of the answer to a heartbeat.
type Reply struct {
	Alive []garnetworks.AliveNode
	// Refusal is not nil if the heartbeat is refused.
	Refusal error
}

// View is what a node knows of the site. It is never changed once made.
type View struct {
	Self garnetworks.NodeInfo
	// Rosters are the last known ones.
	Rosters map[garnetworks.ZoneID]garnetworks.Roster
	// Peers are all nodes that are not known to be lost, without Self, sorted by
	// zone and name.
	Peers []garnetworks.NodeInfo
	// Ready are those of Peers that take calls, and Self if it does.
	Ready []garnetworks.NodeInfo
	// Listed says that the roster lists this node as it is.
	Listed bool
	// Suspected are nodes of the own zone that this node suspects, sorted.
	Suspected []garnetworks.NodeID
}
