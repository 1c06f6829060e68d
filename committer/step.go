package committer

import (
	"encoding/json"
	"time"

	"github.com/garnetworks/garnetworks"
)

// pending reports whether the staged proposal may still become a generation, as far as the
// node knows.
func (s *State) pending() bool {
	if s.staged == nil || s.staged.Base != s.Applied() {
		return false
	}
	// A head from after the proposal was made is authoritative.
	if s.head.Proposals >= s.staged.Number {
		return s.head.Pending != nil && s.head.Pending.Number == s.staged.Number
	}
	return true
}

// Busy reports whether an action will become due soon.
func (s *State) Busy() bool {
	return !s.zone(s.self.Zone).unpublishedSince.IsZero() || !s.readySince.IsZero() || len(s.relaySince) > 0
}

// Step returns the actions that are due.
func (s *State) Step(now time.Time) []Action {
	s.zone(s.self.Zone).reports.merge(s.report())
	var actions []Action
	actions = append(actions, s.fetch(now)...)
	actions = append(actions, s.relay(now)...)
	actions = append(actions, s.sendReport(now)...)
	actions = append(actions, s.publishZone(now)...)
	actions = append(actions, s.decide(now)...)
	s.checkInForce(now)
	for _, e := range s.events {
		actions = append(actions, RecordEvent{e})
	}
	s.events = nil
	return actions
}

// fetch returns fetches of the bodies that the head names and the node lacks.
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
		s.fetchAt = now.Add(fetchRetryDelay)
	}
	return actions
}

// relay publishes values from the object API that no other node has published in time.
func (s *State) relay(now time.Time) []Action {
	var actions []Action
	wait := time.Duration(s.siteRank()) * relayDelay
	due := func(topic garnetworks.Topic) bool {
		since, found := s.relaySince[topic]
		return found && !now.Before(since.Add(wait))
	}
	send := func(u garnetworks.Update) {
		delete(s.relaySince, u.Topic)
		s.distributed[u.Topic] = u.Version
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

// sendReport sends the node's report until the zone's published report includes it, each
// time to another node of the zone.
func (s *State) sendReport(now time.Time) []Action {
	z := s.zone(s.self.Zone)
	if !z.published.wouldChange(s.report()) {
		return nil
	}
	if s.report() != s.lastReport {
		s.lastReport, s.reportAt, s.reportTries = s.report(), now, 0
	}
	if now.Before(s.reportAt) {
		return nil
	}
	nodes := s.live(s.self.Zone)
	to := nodes[s.reportTries%len(nodes)]
	s.reportTries++
	s.reportAt = now.Add(reportResendDelay)
	if to.ID == s.self.Node {
		return nil
	}
	return []Action{SendReport{To: to, Report: s.report()}}
}

// ObserveReportFailure schedules the retry of a report that could not be delivered.
func (s *State) ObserveReportFailure(now time.Time) {
	s.reportAt = now.Add(reportRetryDelay)
}

// publishZone publishes the merged report of the node's zone once it has been newer than
// the published one for this node's delay (rule M8).
func (s *State) publishZone(now time.Time) []Action {
	z := s.zone(s.self.Zone)
	live := s.live(s.self.Zone)
	if !s.hasUnpublished(z, live) {
		z.unpublishedSince = time.Time{}
		return nil
	}
	if z.unpublishedSince.IsZero() {
		z.unpublishedSince = now
	}
	wait := time.Duration(s.rank()) * publishDelay
	if !s.isComplete(z, live) {
		wait += partialReportDelay
	}
	if now.Before(z.unpublishedSince.Add(wait)) || now.Before(z.publishedAt.Add(minPublishInterval)) {
		return nil
	}
	z.unpublishedSince, z.publishedAt = time.Time{}, now
	return []Action{Publish{s.zoneUpdate(z, live)}}
}

// hasUnpublished reports whether a live node's report is newer than the published one.
func (s *State) hasUnpublished(z *zoneState, live []garnetworks.NodeInfo) bool {
	for _, n := range live {
		if r, ok := z.reports[n.ID]; ok && z.published.wouldChange(r) {
			return true
		}
	}
	return false
}

// isComplete reports whether the zone's report need not wait for further nodes: all live
// nodes have reported the newest proposal and generation, or one refuses the proposal.
func (s *State) isComplete(z *zoneState, live []garnetworks.NodeInfo) bool {
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

// zoneUpdate returns the zone's report as an update and records it as published.
func (s *State) zoneUpdate(z *zoneState, live []garnetworks.NodeInfo) garnetworks.Update {
	newest := reports{}
	for _, n := range live {
		if r, ok := z.reports[n.ID]; ok {
			newest[n.ID] = r
		}
	}
	z.published = newest
	z.version = nextVersion(z.version, s.self.Node)
	z.publishedRoster = max(z.publishedRoster, z.roster.Version)
	body, _ := json.Marshal(garnetworks.ZoneReport{Zone: s.self.Zone, Roster: z.publishedRoster, Nodes: newest.sorted()})
	topic := garnetworks.TopicStaged + garnetworks.Topic(s.self.Zone)
	s.distributed[topic] = z.version
	return garnetworks.Update{Topic: topic, Version: z.version, Body: body}
}

// decide accepts or refuses the pending proposal once this node's delay has passed (rules M5
// and M8).
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
	turns := s.siteRank() + 1
	if s.ownProposal == s.staged.Number {
		turns = 0
	}
	if now.Before(s.readySince.Add(time.Duration(turns)*decisionDelay)) || now.Before(s.decideAt) {
		return nil
	}
	s.decideAt = now.Add(2 * decisionDelay)
	return []Action{action}
}

// requiredZones returns the zones that are not excluded.
func requiredZones(specs []garnetworks.ZoneSpec) []garnetworks.ZoneID {
	var zones []garnetworks.ZoneID
	for _, z := range specs {
		if !z.Excluded {
			zones = append(zones, z.Name)
		}
	}
	return zones
}

// allStaged reports whether rule M5 allows the staged proposal to be accepted.
func (s *State) allStaged() bool {
	for _, id := range requiredZones(s.staged.zones) {
		if !s.confirmed(id, s.hasStaged) {
			return false
		}
	}
	return true
}

func (s *State) hasStaged(r garnetworks.NodeReport) bool {
	return r.Proposal == s.staged.Number && r.Refusal == ""
}

// confirmed reports whether every live node of a zone has sent a report for which passes
// returns true. A zone without known nodes has confirmed nothing (rule M6), and a roster
// older than that of the zone's published report may lack nodes.
func (s *State) confirmed(id garnetworks.ZoneID, passes func(garnetworks.NodeReport) bool) bool {
	z := s.zone(id)
	live := s.live(id)
	if len(live) == 0 || z.roster.Version < z.publishedRoster {
		return false
	}
	for _, n := range live {
		r, ok := z.reports[n.ID]
		// Rule M7: a report of an earlier incarnation is not valid for this one.
		if !ok || r.Incarnation < n.Incarnation || !passes(r) {
			return false
		}
	}
	return true
}

// refusal returns the reason for which a live node of a required zone refuses the staged
// proposal, or "".
func (s *State) refusal() string {
	for _, id := range requiredZones(s.staged.zones) {
		for _, n := range s.live(id) {
			r, ok := s.zone(id).reports[n.ID]
			if ok && r.Incarnation >= n.Incarnation && r.Proposal == s.staged.Number && r.Refusal != "" {
				return "node " + string(n.ID) + " of zone " + string(id) + " refuses it: " + r.Refusal
			}
		}
	}
	return ""
}

// checkInForce records when the applied generation comes into force (rule M7).
func (s *State) checkInForce(now time.Time) {
	if s.accepted == nil || s.inForce >= s.accepted.Generation {
		return
	}
	for _, id := range requiredZones(s.accepted.Manifest.Site.Zones) {
		if !s.confirmed(id, s.hasApplied) {
			return
		}
	}
	s.inForce, s.inForceAt = s.accepted.Generation, now
	if s.rank() == 0 {
		s.addEvent(garnetworks.EventManifestInForce, s.inForce, "", "confirmed by every live node of every zone that is not left out")
	}
}

func (s *State) hasApplied(r garnetworks.NodeReport) bool {
	return r.Applied >= s.accepted.Generation
}
