package committer_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/parser"
)

// stagedState returns the state of node south-a-0 after it has staged a proposal of the
// example manifest, and the proposal.
func stagedState(t *testing.T, now time.Time) (*committer.State, committer.Proposal) {
	t.Helper()
	manifest, problems := parser.Parse("", []byte(parser.Example()))
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	body, err := parser.Encode(manifest)
	if err != nil {
		t.Fatal(err)
	}
	s := committer.NewState(committer.Identity{Node: "south-a-0", Incarnation: 1, Zone: "south-a"})
	p := committer.Proposal{Number: 1, CommitID: "c1", Operator: "anna", Hash: hashOf(body), At: now}
	s.ObserveOwnProposal(p, body, now)
	return s, p
}

// observeZone passes the state a roster of one node, and that node's report if not nil.
func observeZone(s *committer.State, zone garnetworks.ZoneID, incarnation uint64, version uint64, report *garnetworks.ZoneReport) {
	name := garnetworks.NodeID(zone + "-0")
	s.ObserveRosters([]garnetworks.Roster{{
		Zone: zone, Version: version,
		Nodes: []garnetworks.NodeInfo{{ID: name, Incarnation: incarnation, Zone: zone}},
	}})
	if report == nil {
		return
	}
	body, _ := json.Marshal(report)
	s.ObserveUpdate(garnetworks.Update{
		Topic:   garnetworks.TopicStaged + garnetworks.Topic(zone),
		Version: garnetworks.UpdateVersion{Sequence: 1},
		Body:    body,
	}, time.Time{})
}

func zoneReport(zone garnetworks.ZoneID, incarnation uint64, refusal string) *garnetworks.ZoneReport {
	return &garnetworks.ZoneReport{Zone: zone, Roster: 2, Nodes: []garnetworks.NodeReport{
		{Node: garnetworks.NodeID(zone + "-0"), Incarnation: incarnation, Proposal: 1, Refusal: refusal},
	}}
}

// A proposal must not be accepted while zone south-c has a live node that may be unable to
// read it: a replaced process, a node missing from the known roster, or no known node.
func TestDecisionsOnAProposal(t *testing.T) {
	accept, refuse, none := "accept", "refuse", "none"
	cases := map[string]struct {
		incarnation, version uint64
		report               *garnetworks.ZoneReport
		want                 string
	}{
		"staged":              {1, 2, zoneReport("south-c", 1, ""), accept},
		"refused":             {1, 2, zoneReport("south-c", 1, "it comes from a newer program"), refuse},
		"no report":           {1, 2, nil, none},
		"replaced":            {2, 3, zoneReport("south-c", 1, ""), none},
		"replacement":         {2, 3, zoneReport("south-c", 2, ""), accept},
		"refused by replaced": {2, 3, zoneReport("south-c", 1, "it is too new"), none},
		"older roster":        {1, 1, zoneReport("south-c", 1, ""), none},
		"zone not known":      {0, 0, zoneReport("south-c", 1, ""), none},
		"another proposal":    {1, 2, &garnetworks.ZoneReport{Zone: "south-c", Nodes: []garnetworks.NodeReport{{Node: "south-c-0", Incarnation: 1}}}, none},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			s, _ := stagedState(t, now)
			observeZone(s, "south-a", 1, 1, nil)
			observeZone(s, "south-b", 1, 2, zoneReport("south-b", 1, ""))
			if c.version > 0 {
				observeZone(s, "south-c", c.incarnation, c.version, c.report)
			}
			got := none
			for _, action := range s.Step(now.Add(time.Second)) {
				switch action.(type) {
				case committer.Accept:
					got = accept
				case committer.Refuse:
					got = refuse
				}
			}
			if got != c.want {
				t.Errorf("the decision is %s, want %s", got, c.want)
			}
		})
	}
}

// A process whose clock is behind joins with a higher incarnation than it started with. Its
// reports must carry that one, or the zone would hold every commit.
func TestReportsCarryTheIncarnationThatJoined(t *testing.T) {
	now := time.Unix(0, 0)
	s, _ := stagedState(t, now)
	observeZone(s, "south-a", 7, 1, nil)
	observeZone(s, "south-b", 1, 2, zoneReport("south-b", 1, ""))
	observeZone(s, "south-c", 1, 2, zoneReport("south-c", 1, ""))
	accepts := func() bool {
		for _, action := range s.Step(now.Add(time.Second)) {
			if _, ok := action.(committer.Accept); ok {
				return true
			}
		}
		return false
	}
	if accepts() {
		t.Error("a report of incarnation 1 counts for incarnation 7")
	}
	s.ObserveIncarnation(7)
	if !accepts() {
		t.Error("the commit is held though every node has staged it")
	}
}
