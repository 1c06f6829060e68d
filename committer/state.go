package committer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// partialReportDelay is how long a zone's report is delayed while some nodes' reports
	// are missing. A published report goes to every node of the site, and only a complete
	// one allows a decision, so partial ones are kept rare.
	partialReportDelay = 500 * time.Millisecond
	// decisionDelay is the additional delay per rank before a node accepts or refuses a
	// proposal (rule M8).
	decisionDelay = 500 * time.Millisecond
	// publishDelay is the same for publishing a zone's report, relayDelay for relaying
	// values from the object API. Both exceed the usual propagation time of an update;
	// otherwise a single slow update would make every node publish.
	publishDelay = 1500 * time.Millisecond
	relayDelay   = 500 * time.Millisecond
	// reportResendDelay is how long a node waits for its report to be published before it
	// sends the report to the next node.
	reportResendDelay = 3 * time.Second
	// reportRetryDelay is the same after a report that could not be delivered.
	reportRetryDelay = 200 * time.Millisecond
	// minPublishInterval is the minimum time between two publications of a zone's report.
	// It guards against a publishing loop: while rosters differ, two nodes can each rank
	// themselves first and keep replacing each other's report.
	minPublishInterval = 20 * time.Millisecond
	// fetchRetryDelay is the time between two attempts to fetch manifest bodies.
	fetchRetryDelay = time.Second
	// HoldAfter is the age after which a proposal that a zone has not staged is reported as
	// held.
	HoldAfter = 5 * time.Second
	// watchersPerZone is the number of nodes of each zone that watch the object API.
	watchersPerZone = 2
)

// Identity identifies a node's process.
type Identity struct {
	Node        garnetworks.NodeID
	Incarnation uint64
	Zone        garnetworks.ZoneID
}

// stagedProposal is the newest proposal that the node has evaluated.
type stagedProposal struct {
	proposalMessage
	// manifest is nil if the node has refused the proposal.
	manifest *garnetworks.Manifest
	refusal  string
	// zones are the proposal's zones. They are also set if the node refuses it, because the
	// node must know whose refusals end the proposal; otherwise a proposal that no node can
	// decode would stay pending.
	zones []garnetworks.ZoneSpec
	at    time.Time
}

// zoneState is what the node knows about one zone.
type zoneState struct {
	roster garnetworks.Roster
	// reports merges all received reports; published holds the reports of the zone's
	// newest published report.
	reports   reports
	published reports
	// version and publishedRoster belong to the newest published report.
	version         garnetworks.UpdateVersion
	publishedRoster uint64
	// publishedAt is when this node last published the zone's report, unpublishedSince
	// when reports first became newer than published; zero if they are not.
	publishedAt      time.Time
	unpublishedSince time.Time
}

// State is a node's state of the commit protocol. It does no I/O and is not safe for
// concurrent use; the caller passes in all observations and the current time.
type State struct {
	self Identity
	// head is the newest head observed, revision its revision; 0 means none.
	head     Head
	revision garnetworks.Revision
	// headStale says that head had a lower generation than the applied one when it was
	// observed.
	headStale bool
	// accepted is the applied manifest; its generation never decreases (rule M2).
	accepted  *garnetworks.AcceptedManifest
	message   *acceptedMessage
	appliedAt time.Time
	// unreadable is the highest generation that could not be decoded (rule M10),
	// unreadableReason the error.
	unreadable       garnetworks.Generation
	unreadableReason string
	staged           *stagedProposal
	// ownProposal is the number of the newest proposal made through this node.
	ownProposal uint64
	zones       map[garnetworks.ZoneID]*zoneState
	// distributed holds the newest version of each topic that was received or published.
	distributed map[garnetworks.Topic]garnetworks.UpdateVersion
	// relaySince is when the node learned from the object API of a topic's version that
	// has not been published yet.
	relaySince map[garnetworks.Topic]time.Time

	readySince  time.Time
	decideAt    time.Time
	reportAt    time.Time
	reportTries int
	// lastReport is the report that reportTries counts the attempts for.
	lastReport garnetworks.NodeReport
	fetchAt    time.Time
	inForce    garnetworks.Generation
	inForceAt  time.Time
	events     []garnetworks.Event
}

// NewState returns the state of a node that knows no manifest.
func NewState(self Identity) *State {
	return &State{
		self:        self,
		zones:       map[garnetworks.ZoneID]*zoneState{},
		distributed: map[garnetworks.Topic]garnetworks.UpdateVersion{},
		relaySince:  map[garnetworks.Topic]time.Time{},
	}
}

// Accepted returns the manifest that the node has applied, or nil.
func (s *State) Accepted() *garnetworks.AcceptedManifest { return s.accepted }

// Applied returns the generation that the node has applied, or 0.
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

// zone returns the state of a zone and creates it if there is none.
func (s *State) zone(id garnetworks.ZoneID) *zoneState {
	z, ok := s.zones[id]
	if !ok {
		z = &zoneState{reports: reports{}, published: reports{}}
		s.zones[id] = z
	}
	return z
}

// live returns the nodes of a zone that must confirm. A node's own zone always includes the
// node itself, even if the roster does not list it yet.
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

// rank returns the node's position among the live nodes of its zone, from 0.
func (s *State) rank() int {
	for i, n := range s.live(s.self.Zone) {
		if n.ID == s.self.Node {
			return i
		}
	}
	return 0
}

// siteRank returns the node's rank among all nodes. It alternates between zones, so that the
// nodes of an unreachable zone are not consecutive in the order.
func (s *State) siteRank() int {
	zones := slices.Sorted(maps.Keys(s.zones))
	at := max(slices.Index(zones, s.self.Zone), 0)
	return s.rank()*max(len(zones), 1) + at
}

// IsWatcher reports whether the node watches the object API. Only some nodes of each zone
// do, so that the load on the object API grows with zones instead of nodes.
func (s *State) IsWatcher() bool { return s.rank() < watchersPerZone }
