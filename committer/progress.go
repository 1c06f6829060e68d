package committer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Progress returns the progress of a commit as this node knows it; an empty identifier means
// the newest commit. askHead is set if only the head has the answer, because the commit is
// unknown here or may have ended in the meantime.
func (s *State) Progress(commitID string, now time.Time) (progress garnetworks.CommitProgress, askHead bool) {
	if s.staged != nil && s.pending() && (commitID == "" || commitID == s.staged.CommitID) {
		return s.pendingProgress(now)
	}
	if a := s.accepted; a != nil && (commitID == "" || commitID == a.CommitID) {
		return s.acceptedProgress(), false
	}
	if s.accepted != nil {
		for _, r := range s.accepted.Recent {
			if r.CommitID == commitID {
				return replacedProgress(r, s.accepted), false
			}
		}
	}
	return garnetworks.CommitProgress{
		CommitID: commitID,
		State:    garnetworks.CommitUnknown,
		Reason:   "the node knows of no such commit",
	}, true
}

// replacedProgress returns the progress of an accepted commit that has a successor.
func replacedProgress(r garnetworks.CommitRecord, newest *garnetworks.AcceptedManifest) garnetworks.CommitProgress {
	p := acceptedProgress(r)
	p.Reason = "a later generation has taken its place"
	p.Winner = garnetworks.CommitRecord{
		Generation: newest.Generation, CommitID: newest.CommitID, Operator: newest.Operator, At: newest.At,
	}
	return p
}

func (s *State) pendingProgress(now time.Time) (garnetworks.CommitProgress, bool) {
	p := pendingProgress(&s.staged.Proposal)
	p.Zones = s.zoneProgresses(s.staged.zones, s.staged.Number, s.Applied()+1)
	old := now.Sub(s.staged.at) >= HoldAfter
	if reason := s.refusal(); reason != "" {
		p.Reason = reason
		return p, true
	}
	if reason := heldReason(p.Zones); reason != "" && old {
		p.State, p.Reason = garnetworks.CommitHeld, reason
	}
	// A proposal that has been pending for long may have ended without this node's knowledge.
	return p, old
}

func (s *State) acceptedProgress() garnetworks.CommitProgress {
	a := s.accepted
	p := acceptedProgress(garnetworks.CommitRecord{Generation: a.Generation, CommitID: a.CommitID, Operator: a.Operator, At: a.At})
	if s.staged != nil && s.staged.CommitID == a.CommitID {
		p.Proposal, p.ProposedAt = s.staged.Number, s.staged.At
	}
	p.Zones = s.zoneProgresses(a.Manifest.Site.Zones, p.Proposal, a.Generation)
	if s.inForce == a.Generation {
		p.State, p.InForceAt = garnetworks.CommitInForce, s.inForceAt
		return p
	}
	p.Reason = unappliedReason(p.Zones)
	return p
}

// zoneProgresses returns the progress of each zone with a proposal and the generation that
// it becomes, sorted by zone.
func (s *State) zoneProgresses(specs []garnetworks.ZoneSpec, number uint64, generation garnetworks.Generation) []garnetworks.ZoneProgress {
	zones := make([]garnetworks.ZoneProgress, 0, len(specs))
	for _, spec := range specs {
		zones = append(zones, s.zoneProgress(spec, number, generation))
	}
	slices.SortFunc(zones, func(a, b garnetworks.ZoneProgress) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

func (s *State) zoneProgress(spec garnetworks.ZoneSpec, number uint64, generation garnetworks.Generation) garnetworks.ZoneProgress {
	live := s.live(spec.Name)
	p := garnetworks.ZoneProgress{Zone: spec.Name, Excluded: spec.Excluded, Live: len(live)}
	for _, n := range live {
		r, ok := s.zone(spec.Name).reports[n.ID]
		if ok && r.Incarnation >= n.Incarnation {
			p.Nodes = append(p.Nodes, r)
		} else {
			r = garnetworks.NodeReport{}
		}
		if (r.Proposal < number || r.Refusal != "") && r.Applied < generation {
			p.Unstaged = append(p.Unstaged, n.ID)
		}
		if r.Applied < generation {
			p.Unapplied = append(p.Unapplied, n.ID)
		}
	}
	return p
}

// heldReason names the zones and nodes that have not staged a proposal, or returns "".
func heldReason(zones []garnetworks.ZoneProgress) string {
	return describeMissing(zones, "staged", func(z garnetworks.ZoneProgress) []garnetworks.NodeID { return z.Unstaged })
}

// unappliedReason names the zones and nodes that have not confirmed a generation, or
// returns "".
func unappliedReason(zones []garnetworks.ZoneProgress) string {
	return describeMissing(zones, "confirmed", func(z garnetworks.ZoneProgress) []garnetworks.NodeID { return z.Unapplied })
}

func describeMissing(zones []garnetworks.ZoneProgress, verb string, nodesOf func(garnetworks.ZoneProgress) []garnetworks.NodeID) string {
	var parts []string
	for _, z := range zones {
		switch nodes := nodesOf(z); {
		case z.Excluded:
		case z.Live == 0:
			parts = append(parts, fmt.Sprintf("no live node of zone %s is known", z.Zone))
		case len(nodes) == z.Live:
			parts = append(parts, fmt.Sprintf("zone %s has not %s it at any of its nodes", z.Zone, verb))
		case len(nodes) > 0:
			parts = append(parts, fmt.Sprintf("zone %s has not %s it at %s", z.Zone, verb, joinNodes(nodes)))
		}
	}
	return strings.Join(parts, "; ")
}

func joinNodes(nodes []garnetworks.NodeID) string {
	const maxNames = 5
	text := ""
	for i, n := range nodes {
		if i == maxNames {
			return text + fmt.Sprintf(" and %d more", len(nodes)-maxNames)
		}
		if i > 0 {
			text += ", "
		}
		text += string(n)
	}
	return text
}
