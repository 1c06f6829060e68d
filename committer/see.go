package committer

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/parser"
)

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

// SeeHead takes the head as read at a revision. An older revision is a stale
// read or a late watch and is ignored.
func (s *State) SeeHead(head Head, revision garnetworks.Revision, now time.Time) {
	if revision <= s.revision {
		return
	}
	s.head, s.revision = head, revision
	behind := head.Accepted.Generation < s.Applied()
	if behind && !s.storeBehind && s.Watches() {
		s.note(garnetworks.EventObjectAPIStale, head.Accepted.Generation, garnetworks.KindStaleGeneration,
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
