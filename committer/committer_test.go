package committer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/parser"
)

func TestMain(m *testing.M) {
	// Fixed seeds make runs reproducible; failures leave no files behind.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// manifestText returns the example manifest with the given power cap and excluded zones.
func manifestText(watts int, excluded ...string) []byte {
	s := strings.Replace(parser.Example(), "power-cap-watts: 96000", fmt.Sprintf("power-cap-watts: %d", watts), 1)
	s = strings.Replace(s, "      left-out: false\n", "", 1)
	for _, zone := range excluded {
		s = strings.Replace(s, "- name: "+zone+"\n", "- name: "+zone+"\n      left-out: true\n", 1)
	}
	return []byte(s)
}

func proposeRequest(id string, base garnetworks.Generation, body []byte) *garnetworks.ProposeRequest {
	return &garnetworks.ProposeRequest{CommitID: id, Operator: "anna", Base: base, Text: body}
}

// await waits until the commit's progress at the node reaches a state.
func await(t *testing.T, n *node, id string, want garnetworks.CommitState, within time.Duration) garnetworks.CommitProgress {
	t.Helper()
	deadline := time.Now().Add(within)
	for {
		response, err := n.Progress(t.Context(), &garnetworks.ProgressRequest{CommitID: id})
		if err != nil {
			t.Fatal(err)
		}
		if response.Progress.State == want {
			return response.Progress
		}
		if time.Now().After(deadline) {
			t.Fatalf("commit %s is %s after %v, want %s (%s)", id, response.Progress.State, within, want, response.Progress.Reason)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var zoneNames = []garnetworks.ZoneID{"south-a", "south-b", "south-c"}

func threeZones(t *testing.T) (*site, []*node) {
	s := newSite(t.Context())
	var nodes []*node
	for _, zone := range zoneNames {
		for i := range 2 {
			nodes = append(nodes, s.start(garnetworks.NodeID(fmt.Sprintf("%s-%d", zone, i)), zone))
		}
	}
	time.Sleep(time.Second)
	return s, nodes
}

func TestCommitComesIntoForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, nodes := threeZones(t)
		defer s.haltAll()
		if _, err := nodes[3].Propose(t.Context(), proposeRequest("c1", 0, manifestText(90000))); err != nil {
			t.Fatal(err)
		}
		p := await(t, nodes[0], "c1", garnetworks.CommitInForce, time.Second)
		t.Logf("in force %v after the proposal", p.InForceAt.Sub(p.ProposedAt))
		for _, n := range nodes {
			if m, ok := n.Manifest(); !ok || m.Generation != 1 || m.Manifest.Site.PowerCap != 90000 {
				t.Errorf("node %s has not applied the commit", n.info.ID)
			}
		}
	})
}

// A zone that is cut off must hold a commit, be named in the reason, and keep its manifest,
// until another commit that excludes the zone supersedes the held one.
func TestCutOffZoneHoldsCommitUntilExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, nodes := threeZones(t)
		defer s.haltAll()
		if _, err := nodes[0].Propose(t.Context(), proposeRequest("c1", 0, manifestText(90000))); err != nil {
			t.Fatal(err)
		}
		await(t, nodes[0], "c1", garnetworks.CommitInForce, time.Second)
		s.cutOff("south-c", true)
		if _, err := nodes[0].Propose(t.Context(), proposeRequest("c2", 1, manifestText(80000))); err != nil {
			t.Fatal(err)
		}
		held := await(t, nodes[0], "c2", garnetworks.CommitHeld, 2*committer.HoldAfter)
		if !strings.Contains(held.Reason, "south-c") || strings.Contains(held.Reason, "south-b") {
			t.Errorf("the reason %q does not name the zone", held.Reason)
		}
		request := proposeRequest("c3", 1, manifestText(70000, "south-c"))
		if _, err := nodes[0].Propose(t.Context(), request); !garnetworks.IsKind(err, garnetworks.KindConflict) {
			t.Errorf("a second commit besides the held one returns %v", err)
		}
		request.Supersedes = "c2"
		if _, err := nodes[0].Propose(t.Context(), request); err != nil {
			t.Fatal(err)
		}
		await(t, nodes[0], "c3", garnetworks.CommitInForce, time.Second)
		old := await(t, nodes[1], "c2", garnetworks.CommitSuperseded, 0)
		if old.Winner.CommitID != "c3" {
			t.Errorf("the superseded commit names %q as the winner", old.Winner.CommitID)
		}
		if m, _ := nodes[4].Manifest(); m.Generation != 1 {
			t.Errorf("the zone that is cut off applies generation %d, want 1", m.Generation)
		}
		s.cutOff("south-c", false)
		for range 4 {
			time.Sleep(500 * time.Millisecond)
			s.gossip()
		}
		if m, _ := nodes[4].Manifest(); m.Generation != 2 {
			t.Errorf("the reconnected zone applies generation %d, want 2", m.Generation)
		}
	})
}

func hashOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// A commit whose response is lost must not be reported as failed, since it comes into force,
// and repeating the request must not commit twice, even with stale or failing reads.
func TestCommitResponseLost(t *testing.T) {
	cases := map[string]struct {
		lostResponses, staleAfter, staleBy int
		outage                             time.Duration
		// unsynced sends the commit to a node that knows no generation.
		unsynced bool
		want     garnetworks.Kind
	}{
		"answered":               {},
		"lost":                   {lostResponses: 1},
		"lost, stale read":       {lostResponses: 1, staleAfter: 2, staleBy: 1},
		"lost, very stale read":  {lostResponses: 1, staleAfter: 2, staleBy: 2},
		"lost, reads stay stale": {lostResponses: 1, staleAfter: 100, staleBy: 2, want: garnetworks.KindOutcomeUnknown},
		"lost repeatedly":        {lostResponses: 3, staleAfter: 1, staleBy: 1},
		"at a new node":          {lostResponses: 1, staleAfter: 2, staleBy: 2, unsynced: true},
		"lost, then an outage":   {outage: time.Minute, want: garnetworks.KindOutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, nodes := threeZones(t)
				defer s.haltAll()
				for i, id := range []string{"before", "before-2"} {
					if _, err := nodes[0].Propose(t.Context(), proposeRequest(id, garnetworks.Generation(i), manifestText(90000+i))); err != nil {
						t.Fatal(err)
					}
					await(t, nodes[0], id, garnetworks.CommitInForce, time.Second)
				}
				at, api := nodes[3].Committer, nodes[3].api
				if c.unsynced {
					at = committer.New(committer.Options{Node: "new", Incarnation: 1, Zone: "south-b", Objects: api})
				}
				api.lostResponses, api.staleAfter, api.staleBy, api.outage = c.lostResponses, c.staleAfter, c.staleBy, c.outage
				_, err := at.Propose(t.Context(), proposeRequest("c1", 2, manifestText(80000)))
				if got := garnetworks.KindOf(err); got != c.want {
					t.Fatalf("the commit returns %v, want kind %q", err, c.want)
				}
				time.Sleep(2 * time.Minute)
				api.mu.Lock()
				api.staleReads = 0
				api.mu.Unlock()
				if _, err := at.Propose(t.Context(), proposeRequest("c1", 2, manifestText(80000))); err != nil {
					t.Errorf("the repeated commit returns %v", err)
				}
				p := await(t, nodes[3], "c1", garnetworks.CommitInForce, time.Second)
				heads := s.heads(t)
				if last := heads[len(heads)-1]; p.Generation != 3 || last.Accepted.Generation != 3 || last.Proposals != 3 {
					t.Errorf("the commit is generation %d; the head has generation %d and %d proposals, want 3 of each",
						p.Generation, last.Accepted.Generation, last.Proposals)
				}
			})
		})
	}
}

// TestCostOfCommit checks that the writes to the object API per commit do not grow with the
// number of nodes of a zone.
func TestCostOfCommit(t *testing.T) {
	const zones = 3
	writes := map[int]uint64{}
	for _, perZone := range []int{2, 8, 32} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t.Context())
			defer s.haltAll()
			for _, zone := range zoneNames {
				for i := range perZone {
					s.start(garnetworks.NodeID(fmt.Sprintf("%s-%02d", zone, i)), zone)
				}
			}
			time.Sleep(30 * time.Second)
			n := s.running()[0]
			before, messages := s.objects.Counts(), s.traffic()
			if _, err := n.Propose(t.Context(), proposeRequest("c1", 0, manifestText(90000))); err != nil {
				t.Fatal(err)
			}
			p := await(t, n, "c1", garnetworks.CommitInForce, 2*time.Second)
			time.Sleep(time.Second)
			after, sent := s.objects.Counts(), s.traffic()
			writes[perZone] = after["put"] - before["put"]
			t.Logf("%3d nodes: in force after %v; object API: %d writes, %d reads, %d watches; %d reports, %d updates with %d bytes",
				zones*perZone, p.InForceAt.Sub(p.ProposedAt), writes[perZone], after["get"]-before["get"], after["watch"]-before["watch"],
				sent.reports-messages.reports, sent.updates-messages.updates, sent.bytes-messages.bytes)
		})
	}
	if writes[2] != writes[32] {
		t.Errorf("a commit costs %d writes with %d nodes and %d with %d", writes[2], 2*zones, writes[32], 32*zones)
	}
}

// A node that starts during a partition or an outage must get the newest generation from a
// peer, and apply none without a peer: its manifest could be long replaced.
func TestNewNodeLearnsBeforeItDecides(t *testing.T) {
	cases := map[string]struct {
		cut    bool
		outage bool
		alone  bool
		synced bool
	}{
		"healthy":                {synced: true},
		"outage":                 {outage: true, synced: true},
		"cut off with a peer":    {cut: true, synced: true},
		"cut off without a peer": {cut: true, alone: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, nodes := threeZones(t)
				defer s.haltAll()
				if _, err := nodes[0].Propose(t.Context(), proposeRequest("c1", 0, manifestText(90000))); err != nil {
					t.Fatal(err)
				}
				await(t, nodes[0], "c1", garnetworks.CommitInForce, time.Second)
				s.cutOff("south-c", c.cut)
				if c.alone {
					nodes[4].halt()
					nodes[5].halt()
				}
				s.objects.SetFaults(faker.FaultPlan{Down: c.outage})
				stopped := committer.New(committer.Options{Node: "asleep", Incarnation: 1, Zone: "south-c", Objects: s.objects})
				for _, u := range nodes[0].updates() {
					stopped.OnUpdate(u)
				}
				if _, known := stopped.Manifest(); known {
					t.Error("a node that has not queried its peers has applied an update")
				}
				fresh := s.start("south-c-9", "south-c")
				time.Sleep(5 * time.Second)
				m, known := fresh.Manifest()
				if known != c.synced || fresh.Status().Synced != c.synced {
					t.Errorf("manifest %v, status %+v, want synced: %v", known, fresh.Status(), c.synced)
				}
				if known && m.Generation != 1 {
					t.Errorf("the node applies generation %d", m.Generation)
				}
			})
		})
	}
}

// After the object API was restored from an older copy, nodes must keep their manifest and
// pass it to new nodes, and refuse commits, which would give a generation a second meaning.
func TestObjectAPIRestoredFromOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, nodes := threeZones(t)
		defer s.haltAll()
		var copied garnetworks.Object
		for i := range 2 {
			if _, err := nodes[0].Propose(t.Context(), proposeRequest(fmt.Sprintf("c%d", i), garnetworks.Generation(i), manifestText(90000+i))); err != nil {
				t.Fatal(err)
			}
			await(t, nodes[0], fmt.Sprintf("c%d", i), garnetworks.CommitInForce, time.Second)
			if i == 0 {
				copied, _ = s.objects.Get(t.Context(), committer.HeadKey)
			}
		}
		newest, err := s.objects.Get(t.Context(), committer.HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.objects.Put(t.Context(), committer.HeadKey, copied.Value, newest.Revision); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		_, err = nodes[2].Propose(t.Context(), proposeRequest("c2", 2, manifestText(80000)))
		if !garnetworks.IsKind(err, garnetworks.KindStaleGeneration) || !strings.Contains(err.Error(), "went back") {
			t.Errorf("the commit returns %v", err)
		}
		nodes = append(nodes, s.start("south-a-9", "south-a"))
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			if m, ok := n.Manifest(); !ok || m.Generation != 2 {
				t.Errorf("node %s has not applied generation 2", n.info.ID)
			}
		}
		if !nodes[0].Status().ObjectAPIStale {
			t.Error("a node that watches the object API does not report it as stale")
		}
	})
}

// The loser of a race must not leave its manifest in the object API for good.
func TestLosingCommitLeavesNoBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, nodes := threeZones(t)
		defer s.haltAll()
		// Both read the head before either writes it.
		nodes[2].view.SetFaults(faker.FaultPlan{Delay: 500 * time.Millisecond, Methods: []string{faker.MethodPut}})
		lost := make(chan error)
		go func() {
			_, err := nodes[2].Propose(t.Context(), proposeRequest("loser", 0, manifestText(80000)))
			lost <- err
		}()
		synctest.Wait()
		if _, err := nodes[0].Propose(t.Context(), proposeRequest("winner", 0, manifestText(90000))); err != nil {
			t.Fatal(err)
		}
		if err := <-lost; !garnetworks.IsKind(err, garnetworks.KindStaleGeneration) || !strings.Contains(err.Error(), "winner") {
			t.Errorf("the loser gets %v", err)
		}
		if _, err := s.objects.Get(t.Context(), committer.BodyKey("loser")); !garnetworks.IsKind(err, garnetworks.KindNotFound) {
			t.Errorf("the loser's manifest is still stored (%v)", err)
		}
	})
}

// A proposal in a newer format, whose proposer is gone, must be refused with the reason.
// Left pending, it would block every later commit.
func TestManifestOfNewerProgramIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, nodes := threeZones(t)
		defer s.haltAll()
		if _, err := nodes[0].Propose(t.Context(), proposeRequest("c1", 0, manifestText(90000))); err != nil {
			t.Fatal(err)
		}
		await(t, nodes[0], "c1", garnetworks.CommitInForce, time.Second)
		stored, err := s.objects.Get(t.Context(), committer.BodyKey("c1"))
		if err != nil {
			t.Fatal(err)
		}
		body := []byte(strings.Replace(string(stored.Value), `"format":1`, `"format":2`, 1))
		if _, err := s.objects.Put(t.Context(), committer.BodyKey("newer"), body, 0); err != nil {
			t.Fatal(err)
		}
		object, err := s.objects.Get(t.Context(), committer.HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		heads := s.heads(t)
		head, err := heads[len(heads)-1].Propose(committer.Proposal{
			CommitID: "newer", Operator: "otto", Base: 1, Hash: hashOf(body), At: time.Now(),
		}, "")
		if err != nil {
			t.Fatal(err)
		}
		value, _ := json.Marshal(head)
		if _, err := s.objects.Put(t.Context(), committer.HeadKey, value, object.Revision); err != nil {
			t.Fatal(err)
		}
		p := await(t, nodes[3], "newer", garnetworks.CommitRefused, 5*time.Second)
		if !strings.Contains(p.Reason, "newer program") || !strings.Contains(p.Reason, "node south-") {
			t.Errorf("the reason is %q", p.Reason)
		}
		if m, ok := nodes[3].Manifest(); !ok || m.CommitID != "c1" {
			t.Error("the manifest in force has changed")
		}
		if _, err := nodes[4].Propose(t.Context(), proposeRequest("c2", 1, manifestText(80000))); err != nil {
			t.Fatal(err)
		}
		await(t, nodes[4], "c2", garnetworks.CommitInForce, time.Second)
	})
}
