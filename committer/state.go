package committer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/parser"
)

const (
	// partTime is how long the reports of a part of a zone's nodes are gathered
	// before they are published. A published report goes to every node of the
	// site, and only a whole one decides anything, so parts are kept rare.
	partTime = 500 * time.Millisecond
	// turn is how long the next node waits for the one before it to accept or
	// refuse a proposal (rule M8).
	turn = 500 * time.Millisecond
	// zoneTurn is the same for publishing a zone's reports, and relayTurn for
	// passing on what the object API told. Both are above what the distribution
	// takes, or one slow round would make every node publish.
	zoneTurn  = 1500 * time.Millisecond
	relayTurn = 500 * time.Millisecond
	// reportAgain is how long a node waits for its report, once it was
	// delivered, to be published before it sends it to the next node.
	reportAgain = 3 * time.Second
	// reportFailed is the same for a report that was not delivered.
	reportFailed = 200 * time.Millisecond
	// publishGap spaces what a node publishes of its zone. Failure: while rosters
	// differ, two nodes each take themselves for the first and answer each
	// other's joined report with one that differs, as fast as messages travel;
	// the gap bounds that to some messages a second until the rosters agree.
	publishGap = 20 * time.Millisecond
	// fetchAgain spaces reads of a manifest that could not be read.
	fetchAgain = time.Second
	// HoldAfter is the age at which a proposal that a zone has not staged is
	// called held.
	HoldAfter = 5 * time.Second
	// watchers is the number of nodes of each zone that watch the object API.
	watchers = 2
)

// Identity names a node's process.
type Identity struct {
	Node        garnetworks.NodeID
	Incarnation uint64
	Zone        garnetworks.ZoneID
}

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

// Note records an event on the time line.
type Note struct{ Event garnetworks.Event }

func (Publish) action()    {}
func (SendReport) action() {}
func (Accept) action()     {}
func (Refuse) action()     {}
func (FetchBody) action()  {}
func (Note) action()       {}

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
	reports reports
	spread  reports
	// version and spreadRoster are of the newest published report.
	version      garnetworks.UpdateVersion
	spreadRoster uint64
	// newsSince is when reports first held more than spread.
	// publishedAt is when this node last published the zone's reports.
	publishedAt time.Time
	newsSince   time.Time
}

// State is what one node knows of manifests. It does no I/O and is not safe for
// concurrent use; its methods are told what was seen and when.
type State struct {
	self Identity
	// head is the newest head seen, at revision; revision 0 means none.
	head     Head
	revision garnetworks.Revision
	// storeBehind says that head is of a lower generation than was applied when
	// it was seen.
	storeBehind bool
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
	own   uint64
	zones map[garnetworks.ZoneID]*zoneState
	// spread holds the newest versions seen on the distribution.
	spread map[garnetworks.Topic]garnetworks.UpdateVersion
	// relaySince is when a version was learned from the object API that the
	// distribution has not brought.
	relaySince map[garnetworks.Topic]time.Time

	readySince  time.Time
	decideAt    time.Time
	reportAt    time.Time
	reportTries int
	// reportSent is the report that reportTries counts the sends of.
	reportSent garnetworks.NodeReport
	fetchAt    time.Time
	inForce    garnetworks.Generation
	inForceAt  time.Time
	notes      []garnetworks.Event
}

// NewState returns the state of a node that knows nothing.
func NewState(self Identity) *State {
	return &State{
		self:       self,
		zones:      map[garnetworks.ZoneID]*zoneState{},
		spread:     map[garnetworks.Topic]garnetworks.UpdateVersion{},
		relaySince: map[garnetworks.Topic]time.Time{},
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
		z = &zoneState{reports: reports{}, spread: reports{}}
		s.zones[id] = z
	}
	return z
}

// SeeIncarnation takes the incarnation under which the node has joined.
func (s *State) SeeIncarnation(incarnation uint64) {
	s.self.Incarnation = max(s.self.Incarnation, incarnation)
}

// SeeRosters takes the rosters that the node knows; an older version of a
// zone's roster is ignored.
func (s *State) SeeRosters(rosters []garnetworks.Roster) {
	for _, r := range rosters {
		if z := s.zone(r.Zone); r.Version >= z.roster.Version {
			z.roster = r
		}
	}
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
func (s *State) place() int {
	zones := slices.Sorted(maps.Keys(s.zones))
	at := max(slices.Index(zones, s.self.Zone), 0)
	return s.rank()*max(len(zones), 1) + at
}

// Watches reports whether the node shall watch the object API: only some nodes
// of a zone do, so that the load on it grows with zones, not nodes.
func (s *State) Watches() bool { return s.rank() < watchers }

// SeeHead takes the head as read at a revision. An older revision is a stale
// read or a late watch and is ignored.
func (s *State) SeeHead(head Head, revision garnetworks.Revision, now time.Time) {
	if revision <= s.revision {
		return
	}
	s.head, s.revision = head, revision
	behind := head.Accepted.Generation < s.Applied()
	if behind && !s.storeBehind && s.Watches() {
		s.note(garnetworks.EventObjectAPIBehind, head.Accepted.Generation, garnetworks.KindStaleGeneration,
			fmt.Sprintf("nodes decide by generation %d", s.Applied()))
	}
	s.storeBehind = behind
	// The staged proposal may be the one that is accepted now: then its body is
	// here already.
	if s.staged != nil && s.staged.CommitID == head.Accepted.CommitID && s.staged.Hash == head.Hash {
		s.accept(&acceptedMessage{
			Generation: head.Accepted.Generation,
			CommitID:   head.Accepted.CommitID,
			Operator:   head.Accepted.Operator,
			At:         head.Accepted.At,
			Manifest:   s.staged.Manifest,
			Recent:     head.Recent,
		}, now)
	}
	s.markRelays(now)
}

// markRelays notes what the distribution has yet to bring.
func (s *State) markRelays(now time.Time) {
	if s.message != nil {
		s.markRelay(garnetworks.TopicManifest, uint64(s.message.Generation), now)
	}
	if s.staged != nil && s.pending() {
		s.markRelay(garnetworks.TopicProposal, s.staged.Number, now)
	}
}

func (s *State) markRelay(topic garnetworks.Topic, sequence uint64, now time.Time) {
	if s.spread[topic].Sequence >= sequence {
		delete(s.relaySince, topic)
		return
	}
	if _, marked := s.relaySince[topic]; !marked {
		s.relaySince[topic] = now
	}
}

// SeeBody takes a commit's manifest as read from the object API; a body that is
// not the one that the head names is ignored.
func (s *State) SeeBody(commitID string, body []byte, now time.Time) {
	hash := hashOf(body)
	if s.head.Accepted.CommitID == commitID && s.head.Hash == hash {
		a := s.head.Accepted
		s.accept(&acceptedMessage{
			Generation: a.Generation, CommitID: a.CommitID, Operator: a.Operator, At: a.At, Manifest: body, Recent: s.head.Recent,
		}, now)
	}
	if p := s.head.Pending; p != nil && p.CommitID == commitID && p.Hash == hash {
		s.judge(proposalMessage{Proposal: *p, Manifest: body}, now)
	}
	s.markRelays(now)
}

// SeeProposed takes a proposal that came in through this node.
func (s *State) SeeProposed(p Proposal, body []byte, now time.Time) {
	s.own = max(s.own, p.Number)
	s.judge(proposalMessage{Proposal: p, Manifest: body}, now)
	// Its operator waits, so it is passed on at once.
	s.relaySince[garnetworks.TopicProposal] = time.Time{}
}

// SeeAcceptance takes the head that this node's own write made, and passes the
// manifest on at once.
func (s *State) SeeAcceptance(head Head, revision garnetworks.Revision, now time.Time) {
	s.SeeHead(head, revision, now)
	if _, marked := s.relaySince[garnetworks.TopicManifest]; marked {
		s.relaySince[garnetworks.TopicManifest] = time.Time{}
	}
}

// SeeUpdate takes an update from the distribution or a peer.
func (s *State) SeeUpdate(u garnetworks.Update, now time.Time) {
	if s.spread[u.Topic].Less(u.Version) {
		s.spread[u.Topic] = u.Version
	}
	switch {
	case u.Topic == garnetworks.TopicManifest:
		var m acceptedMessage
		if json.Unmarshal(u.Body, &m) == nil {
			s.accept(&m, now)
		}
	case u.Topic == garnetworks.TopicProposal:
		var m proposalMessage
		if json.Unmarshal(u.Body, &m) == nil {
			s.judge(m, now)
		}
	default:
		s.seeStaged(u)
	}
	s.markRelays(now)
}

// seeStaged takes a zone's published report.
func (s *State) seeStaged(u garnetworks.Update) {
	var report garnetworks.ZoneReport
	if json.Unmarshal(u.Body, &report) != nil || u.Topic != garnetworks.TopicStaged+garnetworks.Topic(report.Zone) {
		return
	}
	z := s.zone(report.Zone)
	for _, r := range report.Nodes {
		z.reports.add(r)
	}
	if z.version.Less(u.Version) {
		z.version, z.spreadRoster = u.Version, max(z.spreadRoster, report.Roster)
		z.spread = reports{}
		for _, r := range report.Nodes {
			z.spread.add(r)
		}
	}
}

// SeeReport takes a report that another node of the zone sent.
func (s *State) SeeReport(zone garnetworks.ZoneID, report garnetworks.NodeReport) {
	if report.Node != s.self.Node {
		s.zone(zone).reports.add(report)
	}
}

// accept applies an accepted manifest if its generation is higher than the one
// applied (rules M2 and M10).
func (s *State) accept(m *acceptedMessage, now time.Time) {
	if m.Generation <= s.Applied() {
		return
	}
	accepted, err := m.decode()
	if err != nil {
		if m.Generation > s.unreadable {
			s.unreadable, s.unreadableReason = m.Generation, err.Error()
			s.note(garnetworks.EventManifestRefused, m.Generation, garnetworks.KindInvalidManifest, err.Error())
		}
		return
	}
	s.accepted, s.message, s.appliedAt = accepted, m, now
	s.note(garnetworks.EventManifestAccepted, m.Generation, "", "commit "+m.CommitID+" by "+m.Operator)
}

// judge stages or refuses a proposal that is newer than the last one.
func (s *State) judge(m proposalMessage, now time.Time) {
	if s.staged != nil && m.Number <= s.staged.Number {
		return
	}
	staged := &stagedProposal{proposalMessage: m, at: now, zones: zonesIn(m.Manifest)}
	manifest, err := parser.Decode(m.Manifest)
	if err == nil {
		err = parser.Check(manifest).Err()
	}
	if err == nil && hashOf(m.Manifest) != m.Hash {
		err = garnetworks.Errorf(garnetworks.KindInvalidManifest, "the manifest is not the one that was proposed")
	}
	if err != nil {
		staged.refusal = err.Error()
		s.note(garnetworks.EventManifestRefused, m.Base+1, garnetworks.KindOf(err), "commit "+m.CommitID+": "+staged.refusal)
	} else {
		staged.manifest = manifest
		s.note(garnetworks.EventManifestStaged, m.Base+1, "", "commit "+m.CommitID+" by "+m.Operator)
	}
	s.staged = staged
	s.readySince, s.decideAt = time.Time{}, time.Time{}
}

// zonesIn returns the zones that a manifest names, read without a look at the
// rest; none if they can't be read.
func zonesIn(body []byte) []garnetworks.ZoneSpec {
	var m struct {
		Site struct {
			Zones []garnetworks.ZoneSpec `json:"zones"`
		} `json:"site"`
	}
	if json.Unmarshal(body, &m) != nil {
		return nil
	}
	return m.Site.Zones
}

func (s *State) note(kind garnetworks.EventKind, generation garnetworks.Generation, err garnetworks.Kind, detail string) {
	s.notes = append(s.notes, garnetworks.Event{
		Kind: kind, Zone: s.self.Zone, Generation: generation, Error: err, Detail: detail,
	})
}

// pending reports whether the staged proposal may still become a generation, as
// far as the node knows.
func (s *State) pending() bool {
	if s.staged == nil || s.staged.Base != s.Applied() {
		return false
	}
	// A head that was read after the proposal was made knows better.
	if s.head.Proposals >= s.staged.Number {
		return s.head.Pending != nil && s.head.Pending.Number == s.staged.Number
	}
	return true
}

// Busy reports whether something will be due within a turn.
func (s *State) Busy() bool {
	return !s.zone(s.self.Zone).newsSince.IsZero() || !s.readySince.IsZero() || len(s.relaySince) > 0
}

// Step returns what is to be done now.
func (s *State) Step(now time.Time) []Action {
	s.zone(s.self.Zone).reports.add(s.report())
	var actions []Action
	actions = append(actions, s.fetch(now)...)
	actions = append(actions, s.relay(now)...)
	actions = append(actions, s.sendReport(now)...)
	actions = append(actions, s.publishZone(now)...)
	actions = append(actions, s.decide(now)...)
	s.judgeInForce(now)
	for _, e := range s.notes {
		actions = append(actions, Note{e})
	}
	s.notes = nil
	return actions
}

// fetch asks for the bodies that the head names and the node lacks.
func (s *State) fetch(now time.Time) []Action {
	if now.Before(s.fetchAt) {
		return nil
	}
	var actions []Action
	if a := s.head.Accepted; a.Generation > max(s.Applied(), s.unreadable) {
		actions = append(actions, FetchBody{a.CommitID, s.head.Hash})
	}
	if p := s.head.Pending; p != nil && (s.staged == nil || s.staged.Number < p.Number) {
		actions = append(actions, FetchBody{p.CommitID, p.Hash})
	}
	if len(actions) > 0 {
		s.fetchAt = now.Add(fetchAgain)
	}
	return actions
}

// relay passes on what the object API told and the distribution did not bring.
func (s *State) relay(now time.Time) []Action {
	var actions []Action
	wait := time.Duration(s.place()) * relayTurn
	due := func(topic garnetworks.Topic) bool {
		since, marked := s.relaySince[topic]
		return marked && !now.Before(since.Add(wait))
	}
	send := func(u garnetworks.Update) {
		delete(s.relaySince, u.Topic)
		s.spread[u.Topic] = u.Version
		actions = append(actions, Publish{u})
	}
	if due(garnetworks.TopicProposal) && s.staged != nil {
		send(s.staged.update())
	}
	if due(garnetworks.TopicManifest) && s.message != nil {
		send(s.message.update())
	}
	return actions
}

// sendReport sends the node's report until the zone's published report holds
// it, to another node of the zone each time.
func (s *State) sendReport(now time.Time) []Action {
	z := s.zone(s.self.Zone)
	if !z.spread.lacks(s.report()) {
		return nil
	}
	if s.report() != s.reportSent {
		s.reportSent, s.reportAt, s.reportTries = s.report(), now, 0
	}
	if now.Before(s.reportAt) {
		return nil
	}
	nodes := s.live(s.self.Zone)
	to := nodes[s.reportTries%len(nodes)]
	s.reportTries++
	s.reportAt = now.Add(reportAgain)
	if to.ID == s.self.Node {
		return nil
	}
	return []Action{SendReport{To: to, Report: s.report()}}
}

// SeeUndelivered takes that a report did not reach its node.
func (s *State) SeeUndelivered(now time.Time) {
	s.reportAt = now.Add(reportFailed)
}

// publishZone publishes the joined reports of the node's zone if they hold
// something new for so long that it is this node's turn (rule M8).
func (s *State) publishZone(now time.Time) []Action {
	z := s.zone(s.self.Zone)
	live := s.live(s.self.Zone)
	if !s.hasNews(z, live) {
		z.newsSince = time.Time{}
		return nil
	}
	if z.newsSince.IsZero() {
		z.newsSince = now
	}
	wait := time.Duration(s.rank()) * zoneTurn
	if !s.whole(z, live) {
		wait += partTime
	}
	if now.Before(z.newsSince.Add(wait)) || now.Before(z.publishedAt.Add(publishGap)) {
		return nil
	}
	z.newsSince, z.publishedAt = time.Time{}, now
	return []Action{Publish{s.zoneUpdate(z, live)}}
}

// hasNews reports whether a live node's report is newer than the published one.
func (s *State) hasNews(z *zoneState, live []garnetworks.NodeInfo) bool {
	for _, n := range live {
		if r, ok := z.reports[n.ID]; ok && z.spread.lacks(r) {
			return true
		}
	}
	return false
}

// whole reports whether nothing more is to be waited for in a zone: all of its
// live nodes are as far as the one that is farthest, or one of them refuses the
// newest proposal.
func (s *State) whole(z *zoneState, live []garnetworks.NodeInfo) bool {
	proposal, applied := uint64(0), garnetworks.Generation(0)
	for _, n := range live {
		r := z.reports[n.ID]
		proposal, applied = max(proposal, r.Proposal), max(applied, r.Applied)
	}
	all := true
	for _, n := range live {
		r := z.reports[n.ID]
		if r.Proposal == proposal && r.Refusal != "" {
			return true
		}
		all = all && r.Proposal == proposal && r.Applied == applied
	}
	return all
}

// zoneUpdate returns the zone's report as an update and takes it as published.
func (s *State) zoneUpdate(z *zoneState, live []garnetworks.NodeInfo) garnetworks.Update {
	newest := reports{}
	for _, n := range live {
		if r, ok := z.reports[n.ID]; ok {
			newest[n.ID] = r
		}
	}
	z.spread = newest
	z.version = stagedVersion(z.version, s.self.Node)
	z.spreadRoster = max(z.spreadRoster, z.roster.Version)
	body, _ := json.Marshal(garnetworks.ZoneReport{Zone: s.self.Zone, Roster: z.spreadRoster, Nodes: newest.sorted()})
	topic := garnetworks.TopicStaged + garnetworks.Topic(s.self.Zone)
	s.spread[topic] = z.version
	return garnetworks.Update{Topic: topic, Version: z.version, Body: body}
}

// decide asks for the acceptance or the end of the pending proposal once it is
// this node's turn (rules M5 and M8).
func (s *State) decide(now time.Time) []Action {
	if !s.pending() {
		s.readySince = time.Time{}
		return nil
	}
	var action Action
	if reason := s.refusal(); reason != "" {
		action = Refuse{Number: s.staged.Number, CommitID: s.staged.CommitID, Reason: reason}
	} else if s.staged.manifest != nil && s.allStaged() {
		action = Accept{Number: s.staged.Number, CommitID: s.staged.CommitID}
	}
	if action == nil {
		s.readySince = time.Time{}
		return nil
	}
	if s.readySince.IsZero() {
		s.readySince = now
	}
	place := s.place() + 1
	if s.own == s.staged.Number {
		place = 0
	}
	if now.Before(s.readySince.Add(time.Duration(place)*turn)) || now.Before(s.decideAt) {
		return nil
	}
	s.decideAt = now.Add(2 * turn)
	return []Action{action}
}

// awaited returns the zones that are waited for.
func awaited(specs []garnetworks.ZoneSpec) []garnetworks.ZoneID {
	var zones []garnetworks.ZoneID
	for _, z := range specs {
		if !z.LeftOut {
			zones = append(zones, z.Name)
		}
	}
	return zones
}

// allStaged reports whether rule M5 lets the staged proposal be accepted.
func (s *State) allStaged() bool {
	for _, id := range awaited(s.staged.zones) {
		if !s.confirmed(id, s.hasStaged) {
			return false
		}
	}
	return true
}

func (s *State) hasStaged(r garnetworks.NodeReport) bool {
	return r.Proposal == s.staged.Number && r.Refusal == ""
}

// confirmed reports whether every live node of a zone has sent a report that
// passes. A zone without known nodes has confirmed nothing (rule M6), and with
// a roster older than the one behind the zone's report not all nodes are known.
func (s *State) confirmed(id garnetworks.ZoneID, passes func(garnetworks.NodeReport) bool) bool {
	z := s.zone(id)
	live := s.live(id)
	if len(live) == 0 || z.roster.Version < z.spreadRoster {
		return false
	}
	for _, n := range live {
		r, ok := z.reports[n.ID]
		// Rule M7: a report of an earlier incarnation says nothing of this one.
		if !ok || r.Incarnation < n.Incarnation || !passes(r) {
			return false
		}
	}
	return true
}

// refusal returns why a live node of an awaited zone refuses the staged
// proposal, or "".
func (s *State) refusal() string {
	for _, id := range awaited(s.staged.zones) {
		for _, n := range s.live(id) {
			r, ok := s.zone(id).reports[n.ID]
			if ok && r.Incarnation >= n.Incarnation && r.Proposal == s.staged.Number && r.Refusal != "" {
				return "node " + string(n.ID) + " of zone " + string(id) + " refuses it: " + r.Refusal
			}
		}
	}
	return ""
}

// judgeInForce notes when the applied generation has come into force (rule M7).
func (s *State) judgeInForce(now time.Time) {
	if s.accepted == nil || s.inForce >= s.accepted.Generation {
		return
	}
	for _, id := range awaited(s.accepted.Manifest.Site.Zones) {
		if !s.confirmed(id, s.hasApplied) {
			return
		}
	}
	s.inForce, s.inForceAt = s.accepted.Generation, now
	if s.rank() == 0 {
		s.note(garnetworks.EventManifestInForce, s.inForce, "", "confirmed by every live node of every zone that is not left out")
	}
}

func (s *State) hasApplied(r garnetworks.NodeReport) bool {
	return r.Applied >= s.accepted.Generation
}
