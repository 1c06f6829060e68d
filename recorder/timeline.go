package recorder

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// NodeEvents is what a reader got from one node.
type NodeEvents struct {
	Node garnetworks.NodeID
	// Events are in sequence order.
	Events []garnetworks.Event
	// Lost is the number of events before the first of Events, and after what
	// the reader had, that the node no longer holds.
	Lost uint64
	// Err says why the node could not be read; Events is then empty.
	Err error
}

// Timeline is the joined time line of several nodes.
type Timeline struct {
	// Events are in causal order: by timestamp, then node, then sequence.
	Events []garnetworks.Event `json:"events"`
	// Gaps are sorted by the timestamp before which events are missing.
	Gaps []Gap `json:"gaps,omitempty"`
	// Unreachable nodes may have events that are not shown; sorted by node.
	Unreachable []Unreachable `json:"unreachable,omitempty"`
}

// Gap marks events that a node's ring no longer held.
type Gap struct {
	Node garnetworks.NodeID `json:"node"`
	// Before is the timestamp of the first event after the gap; zero if there is
	// none yet.
	Before garnetworks.Timestamp `json:"before"`
	Lost   uint64                `json:"lost"`
}

// Unreachable names a node whose events could not be read.
type Unreachable struct {
	Node   garnetworks.NodeID `json:"node"`
	Reason string             `json:"reason"`
}

// Merge joins the events of several nodes.
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

// Filter selects events. Empty fields select all; fields that are set must all
// match.
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

// Apply returns the time line with only the events that the filter selects.
// Gaps and unreachable nodes stay: what they hide may have been selected.
func (f Filter) Apply(t Timeline) Timeline {
	t.Events = slices.DeleteFunc(slices.Clone(t.Events), func(e garnetworks.Event) bool { return !f.Match(e) })
	return t
}
