package committer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/parser"
)

// ObserveIncarnation handles the incarnation under which the node joined. It ignores one that is
// lower than the known one.
func (s *State) ObserveIncarnation(incarnation uint64) {
	s.self.Incarnation = max(s.self.Incarnation, incarnation)
}

// ObserveRosters handles the rosters that the node knows; a zone's older versions are
// ignored.
func (s *State) ObserveRosters(rosters []garnetworks.Roster) {
	for _, r := range rosters {
		if z := s.zone(r.Zone); r.Version >= z.roster.Version {
			z.roster = r
		}
	}
}

// ObserveHead handles a head and its revision. An older revision comes from a stale read or
// a delayed watch and is ignored.
func (s *State) ObserveHead(head Head, revision garnetworks.Revision, now time.Time) {
	if revision <= s.revision {
		return
	}
	s.head, s.revision = head, revision
	behind := head.Accepted.Generation < s.Applied()
	if behind && !s.headStale && s.IsWatcher() {
		s.addEvent(garnetworks.EventObjectAPIStale, head.Accepted.Generation, garnetworks.KindStaleGeneration,
			fmt.Sprintf("nodes decide by generation %d", s.Applied()))
	}
	s.headStale = behind
	// If the accepted commit is the staged proposal, its body is already known.
	if s.staged != nil && s.staged.CommitID == head.Accepted.CommitID && s.staged.Hash == head.Hash {
		s.applyAccepted(&acceptedMessage{
			Generation: head.Accepted.Generation,
			CommitID:   head.Accepted.CommitID,
			Operator:   head.Accepted.Operator,
			At:         head.Accepted.At,
			Manifest:   s.staged.Manifest,
			Recent:     head.Recent,
		}, now)
	}
	s.updateRelays(now)
}

// updateRelays records since when the accepted manifest and the pending proposal, as known from
// the object API, have been waiting to be published to other nodes.
func (s *State) updateRelays(now time.Time) {
	if s.message != nil {
		s.updateRelay(garnetworks.TopicManifest, uint64(s.message.Generation), now)
	}
	if s.staged != nil && s.pending() {
		s.updateRelay(garnetworks.TopicProposal, s.staged.Number, now)
	}
}

func (s *State) updateRelay(topic garnetworks.Topic, sequence uint64, now time.Time) {
	if s.distributed[topic].Sequence >= sequence {
		delete(s.relaySince, topic)
		return
	}
	if _, found := s.relaySince[topic]; !found {
		s.relaySince[topic] = now
	}
}

// ObserveBody handles a manifest body read from the object API. A body whose hash differs
// from the one in the head is ignored.
func (s *State) ObserveBody(commitID string, body []byte, now time.Time) {
	hash := hashOf(body)
	if s.head.Accepted.CommitID == commitID && s.head.Hash == hash {
		a := s.head.Accepted
		s.applyAccepted(&acceptedMessage{
			Generation: a.Generation, CommitID: a.CommitID, Operator: a.Operator, At: a.At, Manifest: body, Recent: s.head.Recent,
		}, now)
	}
	if p := s.head.Pending; p != nil && p.CommitID == commitID && p.Hash == hash {
		s.evaluate(proposalMessage{Proposal: *p, Manifest: body}, now)
	}
	s.updateRelays(now)
}

// ObserveOwnProposal handles a proposal that an operator made through this node.
func (s *State) ObserveOwnProposal(p Proposal, body []byte, now time.Time) {
	s.ownProposal = max(s.ownProposal, p.Number)
	s.evaluate(proposalMessage{Proposal: p, Manifest: body}, now)
	// The operator waits for the outcome, so it is published without the relay delay.
	s.relaySince[garnetworks.TopicProposal] = time.Time{}
}

// ObserveOwnWrite handles a head that this node has written. If its manifest has not been
// published yet, it is published without the relay delay.
func (s *State) ObserveOwnWrite(head Head, revision garnetworks.Revision, now time.Time) {
	s.ObserveHead(head, revision, now)
	if _, found := s.relaySince[garnetworks.TopicManifest]; found {
		s.relaySince[garnetworks.TopicManifest] = time.Time{}
	}
}

// ObserveUpdate handles an update from another node.
func (s *State) ObserveUpdate(u garnetworks.Update, now time.Time) {
	if s.distributed[u.Topic].Less(u.Version) {
		s.distributed[u.Topic] = u.Version
	}
	switch {
	case u.Topic == garnetworks.TopicManifest:
		var m acceptedMessage
		if json.Unmarshal(u.Body, &m) == nil {
			s.applyAccepted(&m, now)
		}
	case u.Topic == garnetworks.TopicProposal:
		var m proposalMessage
		if json.Unmarshal(u.Body, &m) == nil {
			s.evaluate(m, now)
		}
	default:
		s.observeZoneReport(u)
	}
	s.updateRelays(now)
}

// observeZoneReport merges a zone's published report into the zone's reports. The published
// roster and reports are replaced only by a newer version.
func (s *State) observeZoneReport(u garnetworks.Update) {
	var report garnetworks.ZoneReport
	if json.Unmarshal(u.Body, &report) != nil || u.Topic != garnetworks.TopicStaged+garnetworks.Topic(report.Zone) {
		return
	}
	z := s.zone(report.Zone)
	for _, r := range report.Nodes {
		z.reports.merge(r)
	}
	if z.version.Less(u.Version) {
		z.version, z.publishedRoster = u.Version, max(z.publishedRoster, report.Roster)
		z.published = reports{}
		for _, r := range report.Nodes {
			z.published.merge(r)
		}
	}
}

// ObserveReport handles a report sent by another node of a zone.
func (s *State) ObserveReport(zone garnetworks.ZoneID, report garnetworks.NodeReport) {
	if report.Node != s.self.Node {
		s.zone(zone).reports.merge(report)
	}
}

// applyAccepted applies an accepted manifest if its generation is higher than the applied
// one (rules M2 and M10).
func (s *State) applyAccepted(m *acceptedMessage, now time.Time) {
	if m.Generation <= s.Applied() {
		return
	}
	accepted, err := m.decode()
	if err != nil {
		if m.Generation > s.unreadable {
			s.unreadable, s.unreadableReason = m.Generation, err.Error()
			s.addEvent(garnetworks.EventManifestRefused, m.Generation, garnetworks.KindInvalidManifest, err.Error())
		}
		return
	}
	s.accepted, s.message, s.appliedAt = accepted, m, now
	s.addEvent(garnetworks.EventManifestAccepted, m.Generation, "", "commit "+m.CommitID+" by "+m.Operator)
}

// evaluate checks a proposal that is newer than the last one and stages it, with the reason if
// it is refused.
func (s *State) evaluate(m proposalMessage, now time.Time) {
	if s.staged != nil && m.Number <= s.staged.Number {
		return
	}
	staged := &stagedProposal{proposalMessage: m, at: now, zones: decodeZones(m.Manifest)}
	manifest, err := parser.Decode(m.Manifest)
	if err == nil {
		err = parser.Check(manifest).Err()
	}
	if err == nil && hashOf(m.Manifest) != m.Hash {
		err = garnetworks.Errorf(garnetworks.KindInvalidManifest, "the manifest is not the one that was proposed")
	}
	if err != nil {
		staged.refusal = err.Error()
		s.addEvent(garnetworks.EventManifestRefused, m.Base+1, garnetworks.KindOf(err), "commit "+m.CommitID+": "+staged.refusal)
	} else {
		staged.manifest = manifest
		s.addEvent(garnetworks.EventManifestStaged, m.Base+1, "", "commit "+m.CommitID+" by "+m.Operator)
	}
	s.staged = staged
	s.readySince, s.decideAt = time.Time{}, time.Time{}
}

// decodeZones decodes only the zones of a manifest, so that it works for newer formats; it
// returns nil if they can't be decoded.
func decodeZones(body []byte) []garnetworks.ZoneSpec {
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

func (s *State) addEvent(kind garnetworks.EventKind, generation garnetworks.Generation, err garnetworks.Kind, detail string) {
	s.events = append(s.events, garnetworks.Event{
		Kind: kind, Zone: s.self.Zone, Generation: generation, Error: err, Detail: detail,
	})
}
