package committer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// partialReportDelay is how long the reports of a part of a zone's nodes are gathered
	// before they are published. A published report goes to every node of the
	// site, and only a whole one decides anything, so parts are kept rare.
	partialReportDelay = 500 * time.Millisecond
	// turn is how long the next node waits for the one before it to accept or
	// refuse a proposal (rule M8).
	decisionDelay = 500 * time.Millisecond
	// publishDelay is the same for publishing a zone's reports, and relayDelay for
	// passing on what the object API told. Both are above what the distribution
	// takes, or one slow round would make every node publish.
	publishDelay = 1500 * time.Millisecond
	relayDelay   = 500 * time.Millisecond
	// reportResendDelay is how long a node waits for its report, once it was
	// delivered, to be published before it sends it to the next node.
	reportResendDelay = 3 * time.Second
	// reportRetryDelay is the same for a report that was not delivered.
	reportRetryDelay = 200 * time.Millisecond
	// minPublishInterval spaces what a node publishes of its zone. Failure: while rosters
	// differ, two nodes each take themselves for the first and answer each
	// other's joined report with one that differs, as fast as messages travel;
	// the gap bounds that to some messages a second until the rosters agree.
	minPublishInterval = 20 * time.Millisecond
	// fetchRetryDelay spaces reads of a manifest that could not be read.
	fetchRetryDelay = time.Second
	// HoldAfter is the age at which a proposal that a zone has not staged is
	// called held.
	HoldAfter = 5 * time.Second
	// watchers is the number of nodes of each zone that watch the object API.
	watchersPerZone = 2
)

// Identity names a node's process.
type Identity struct {
	Node        garnetworks.NodeID
	Incarnation uint64
	Zone        garnetworks.ZoneID
}

// stagedProposal is the newest proposal that the node has judged.
type stagedProposal struct {
	proposalMessage
	// manifest is nil if the node refuses the proposal.
	manifest *garnetworks.Manifest
	refusal  string
	// zones are the proposal's, also of one that the node refuses: it must still
	// know whose reports count to end the proposal, or one that no node can read
	// would stay pending.
	zones []garnetworks.ZoneSpec
	at    time.Time
}

// zoneState is what the node knows of one zone.
type zoneState struct {
	roster garnetworks.Roster
	// reports joins all that was heard; spread is what the newest published
	// report of the zone holds.
	reports   reports
	published reports
	// version and publishedRoster are of the newest published report.
	version         garnetworks.UpdateVersion
	publishedRoster uint64
	// unpublishedSince is when reports first held more than spread.
	// publishedAt is when this node last published the zone's reports.
	publishedAt      time.Time
	unpublishedSince time.Time
}

// State is what one node knows of manifests. It does no I/O and is not safe for
// concurrent use; its methods are told what was seen and when.
type State struct {
	self Identity
	// head is the newest head seen, at revision; revision 0 means none.
	head     Head
	revision garnetworks.Revision
	// headStale says that head is of a lower generation than was applied when
	// it was seen.
	headStale bool
	// accepted never gets a lower generation (rule M2).
	accepted  *garnetworks.AcceptedManifest
	message   *acceptedMessage
	appliedAt time.Time
	// unreadable is the newest generation that the node can't read, and why
	// (rule M10).
	unreadable       garnetworks.Generation
	unreadableReason string
	staged           *stagedProposal
	// own is the number of the newest proposal that came in through this node.
	ownProposal uint64
	zones       map[garnetworks.ZoneID]*zoneState
	// spread holds the newest versions seen on the distribution.
	distributed map[garnetworks.Topic]garnetworks.UpdateVersion
	// relaySince is when a version was learned from the object API that the
	// distribution has not brought.
	relaySince map[garnetworks.Topic]time.Time

	readySince  time.Time
	decideAt    time.Time
	reportAt    time.Time
	reportTries int
	// lastReport is the report that reportTries counts the sends of.
	lastReport garnetworks.NodeReport
	fetchAt    time.Time
	inForce    garnetworks.Generation
	inForceAt  time.Time
	events     []garnetworks.Event
}

// NewState returns the state of a node that knows nothing.
func NewState(self Identity) *State {
	return &State{
		self:        self,
		zones:       map[garnetworks.ZoneID]*zoneState{},
		distributed: map[garnetworks.Topic]garnetworks.UpdateVersion{},
		relaySince:  map[garnetworks.Topic]time.Time{},
	}
}

// Accepted returns the manifest that the node decides by, or nil.
func (s *State) Accepted() *garnetworks.AcceptedManifest { return s.accepted }

// Applied returns the generation that the node decides by.
func (s *State) Applied() garnetworks.Generation {
	if s.accepted == nil {
		return 0
	}
	return s.accepted.Generation
}

// report returns the node's own report.
func (s *State) report() garnetworks.NodeReport {
	r := garnetworks.NodeReport{
		Node:        s.self.Node,
		Incarnation: s.self.Incarnation,
		Applied:     s.Applied(),
		AppliedAt:   s.appliedAt,
	}
	if s.staged != nil {
		r.Proposal, r.Refusal, r.StagedAt = s.staged.Number, s.staged.refusal, s.staged.at
	}
	return r
}

// zone returns the state of a zone, which it makes if there is none.
func (s *State) zone(id garnetworks.ZoneID) *zoneState {
	z, ok := s.zones[id]
	if !ok {
		z = &zoneState{reports: reports{}, published: reports{}}
		s.zones[id] = z
	}
	return z
}

// live returns the nodes of a zone that must confirm. The node itself always
// belongs to its own zone, also while its roster does not show it yet.
func (s *State) live(id garnetworks.ZoneID) []garnetworks.NodeInfo {
	nodes := s.zone(id).roster.Nodes
	if id != s.self.Zone {
		return nodes
	}
	isSelf := func(n garnetworks.NodeInfo) bool { return n.ID == s.self.Node }
	if slices.ContainsFunc(nodes, isSelf) {
		return nodes
	}
	self := garnetworks.NodeInfo{ID: s.self.Node, Incarnation: s.self.Incarnation, Zone: s.self.Zone}
	nodes = append(slices.Clone(nodes), self)
	slices.SortFunc(nodes, func(a, b garnetworks.NodeInfo) int { return cmp.Compare(a.ID, b.ID) })
	return nodes
}

// rank returns the node's place in its zone, from 0.
func (s *State) rank() int {
	for i, n := range s.live(s.self.Zone) {
		if n.ID == s.self.Node {
			return i
		}
	}
	return 0
}

// place returns the node's place among all nodes: first nodes of all zones come
// before second ones, so that a zone that is cut off takes one place in a row.
func (s *State) siteRank() int {
	zones := slices.Sorted(maps.Keys(s.zones))
	at := max(slices.Index(zones, s.self.Zone), 0)
	return s.rank()*max(len(zones), 1) + at
}

// IsWatcher reports whether the node shall watch the object API: only some nodes
// of a zone do, so that the load on it grows with zones, not nodes.
func (s *State) IsWatcher() bool { return s.rank() < watchersPerZone }
