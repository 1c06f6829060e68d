package recorder

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// NodeEvents holds the events read from one node.
type NodeEvents struct {
	Node garnetworks.NodeID
	// Events are in sequence order.
	Events []garnetworks.Event
	// Lost is the number of events between the last one the reader had and the first of
	// Events that the node no longer holds.
	Lost uint64
	// Err is why the node could not be read; Events is then empty.
	Err error
}

// Timeline is the merged timeline of several nodes.
type Timeline struct {
	// Events are in causal order: by timestamp, then node, then sequence.
	Events []garnetworks.Event `json:"events"`
	// Gaps are sorted by Before and node.
	Gaps []Gap `json:"gaps,omitempty"`
	// Unreachable lists the nodes whose events may be missing, sorted by node.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
}

// Gap marks events that were overwritten in a node's ring before they were read.
type Gap struct {
	Node garnetworks.NodeID `json:"node"`
	// Before is the timestamp of the first event after the gap; zero if there is none yet.
	Before garnetworks.Timestamp `json:"before"`
	Lost   uint64                `json:"lost"`
}

// Unreachable names a node whose events could not be read.
type Unreachable struct {
	Node   garnetworks.NodeID `json:"node"`
	Reason string             `json:"reason"`
}

// Merge merges the events of several nodes into one timeline.
func Merge(nodes []NodeEvents) Timeline {
	var t Timeline
	for _, n := range nodes {
		t.add(n)
	}
	slices.SortFunc(t.Events, compareEvents)
	slices.SortFunc(t.Gaps, func(a, b Gap) int {
		return cmp.Or(compareTimestamps(a.Before, b.Before), cmp.Compare(a.Node, b.Node))
	})
	slices.SortFunc(t.Unreachable, func(a, b Unreachable) int { return cmp.Compare(a.Node, b.Node) })
	return t
}

func (t *Timeline) add(n NodeEvents) {
	if n.Err != nil {
		t.Unreachable = append(t.Unreachable, Unreachable{Node: n.Node, Reason: n.Err.Error()})
		return
	}
	t.Events = append(t.Events, n.Events...)
	if n.Lost == 0 {
		return
	}
	gap := Gap{Node: n.Node, Lost: n.Lost}
	if len(n.Events) > 0 {
		gap.Before = n.Events[0].At
	}
	t.Gaps = append(t.Gaps, gap)
}

func compareEvents(a, b garnetworks.Event) int {
	return cmp.Or(
		compareTimestamps(a.At, b.At),
		cmp.Compare(a.Node, b.Node),
		cmp.Compare(a.Sequence, b.Sequence),
	)
}

func compareTimestamps(a, b garnetworks.Timestamp) int {
	return cmp.Or(cmp.Compare(a.Wall, b.Wall), cmp.Compare(a.Logical, b.Logical))
}

// Filter selects events. Fields that are set must all match; empty fields match all events.
type Filter struct {
	Node     garnetworks.NodeID
	Zone     garnetworks.ZoneID
	Group    garnetworks.GroupID
	Instance garnetworks.InstanceID
	Call     garnetworks.CallID
	Kinds    garnetworks.Set[garnetworks.EventKind]
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e garnetworks.Event) bool {
	return matches(f.Node, e.Node) &&
		matches(f.Zone, e.Zone) &&
		matches(f.Group, e.Group) &&
		matches(f.Instance, e.Instance) &&
		matches(f.Call, e.Call) &&
		(len(f.Kinds) == 0 || f.Kinds.Has(e.Kind))
}

func matches[T ~string](want, got T) bool { return want == "" || want == got }

// Apply returns the timeline with only the events that the filter selects. It keeps all gaps
// and unreachable nodes, since the missing events might match.
func (f Filter) Apply(t Timeline) Timeline {
	t.Events = slices.DeleteFunc(slices.Clone(t.Events), func(e garnetworks.Event) bool { return !f.Match(e) })
	return t
}
