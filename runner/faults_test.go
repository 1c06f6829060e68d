package runner

import (
	"context"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/keymaker"
)

var keyLine = regexp.MustCompile(`key-hashes: \["[^"]*"\]`)

func hashOf(secret string) string { return keymaker.Hash(secret) }

// scenario is a failure of the site and what callers may see of it.
type scenario struct {
	description string
	// modelCallsComplete requires that every call to a model completes, because other
	// groups keep serving.
	modelCallsComplete bool
	run                func(s *virtualSite)
}

// Recovery bounds on the test clock: sums of the bounds of the steps involved, with some
// margin.
const (
	// leaseTakeoverBound covers lease expiry, the successor's wait and its first steps.
	leaseTakeoverBound = 25 * time.Second
	// groupRecoveryBound covers losing a member, planning, orders and loading.
	groupRecoveryBound = 45 * time.Second
	// manifestBound limits how long a change takes to be in force.
	manifestBound = 14 * time.Second
	// listLagBound covers the lag of the instance list and the interval between reads.
	listLagBound = 3500 * time.Millisecond
)

var scenarios = map[string]scenario{
	"nothing fails": {
		description: "A minute without failures: every call completes.",
		run: func(s *virtualSite) {
			time.Sleep(time.Minute)
			for what, n := range s.load.all() {
				if !slices.Contains(outcomesWithoutFailure, what) {
					s.t.Errorf("%d outcomes %q though nothing failed", n, what)
				}
			}
			if s.recorded(garnetworks.EventOrderSent) == 0 || s.recorded(garnetworks.EventGroupFormed) == 0 {
				s.t.Error("the timelines hold no orders or no groups")
			}
			for _, id := range s.names() {
				if s.node(id).eventReads.Load() == 0 {
					s.t.Errorf("node %s read no cache events", id)
				}
			}
		},
	},
	"a zone's controller crashes": {
		description: "The node that controls zone-a crashes. Its lease expires, " +
			"the other node takes over, and a member lost meanwhile is replaced.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			holder := s.holder("zone-a")
			s.crash(holder)
			s.fleet.Engine(s.memberIn("zone-a")).SetFaults(faker.FaultPlan{Down: true})
			s.within(leaseTakeoverBound, "another node holds the lease", func() string {
				if now := s.holder("zone-a"); now == "" || now == holder {
					return "holder " + string(now)
				}
				return ""
			})
			s.within(groupRecoveryBound, "all groups serve", s.serving("zone-c-n0", groupsWanted))
		},
	},
	"the object API is unavailable": {
		description: "The object API is unavailable, and an engine fails " +
			"meanwhile. Calls to models go on, keyed calls are refused as not run, " +
			"the broken group is re-formed under the holder's own term, and all " +
			"groups serve once the API is back.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			s.objects.SetFaults(faker.FaultPlan{Down: true})
			time.Sleep(20 * time.Second)
			s.fleet.Engine(s.memberIn("zone-b")).SetFaults(faker.FaultPlan{Down: true})
			s.within(groupRecoveryBound, "the group serves while the object API is unavailable", s.serving("zone-b-n1", groupsWanted))
			before := s.load.completed("model")
			time.Sleep(60 * time.Second)
			if after := s.load.completed("model"); after-before < 500 {
				s.t.Errorf("%d completions in a minute of the outage", after-before)
			}
			if s.load.refused("ledger", garnetworks.KindClaimsUnavailable) == 0 {
				s.t.Error("no keyed call was refused as claims-unavailable")
			}
			s.objects.SetFaults(faker.FaultPlan{})
			done := s.load.completed("ledger")
			s.within(leaseTakeoverBound, "keyed calls complete again", func() string {
				if s.load.completed("ledger") > done+5 {
					return ""
				}
				return "no keyed call completed"
			})
			s.within(leaseTakeoverBound, "all groups serve", s.serving("zone-a-n0", groupsWanted))
		},
	},
	"answers of the object API are lost": {
		description: "Every third write takes effect but its response is lost, for a minute. " +
			"No call runs twice, no lease has two holders.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			for range 60 {
				s.objects.SetFaults(faker.FaultPlan{LoseAnswers: 8, Methods: []string{faker.MethodPut}})
				time.Sleep(time.Second)
			}
			s.objects.SetFaults(faker.FaultPlan{})
			s.within(leaseTakeoverBound, "all groups serve", s.serving("zone-a-n0", groupsWanted))
		},
	},
	"a zone is cut off": {
		description: "zone-c is cut off from the other zones and the platform for two " +
			"minutes. Its group goes on serving its own callers, the others go on " +
			"without it, and a pending manifest names the zone.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			s.cutZone("zone-c", true)
			time.Sleep(10 * time.Second)
			inside := s.nodes["zone-c-n0"].answerOf(context.Background(), s.key, "POST", "/v1/completions", "", virtualBody)
			if inside.outcome != string(garnetworks.OutcomeCompleted) {
				s.t.Errorf("a call inside the zone: %+v", inside)
			}
			if _, err := s.propose("zone-a-n0", "during", 1, s.manifestText(virtualCap, "v1")); err != nil {
				s.t.Errorf("proposal during the cut: %v", err)
			}
			time.Sleep(30 * time.Second)
			if got := s.inForce("zone-a-n0", "during")(); got == "" {
				s.t.Error("a manifest is in force although zone-c is partitioned and not excluded")
			} else if !regexp.MustCompile("zone-c").MatchString(got) {
				s.t.Errorf("the pending proposal does not name the zone: %s", got)
			}
			time.Sleep(80 * time.Second)
			inside = s.nodes["zone-c-n1"].answerOf(context.Background(), s.key, "POST", "/v1/completions", "", virtualBody)
			if inside.outcome != string(garnetworks.OutcomeCompleted) {
				s.t.Errorf("a call inside the zone after two minutes: %+v", inside)
			}
			s.cutZone("zone-c", false)
			s.within(time.Minute, "the pending manifest is in force", s.inForce("zone-a-n0", "during"))
			s.within(time.Minute, "all groups serve", s.serving("zone-a-n0", groupsWanted))
		},
	},
	"a member freezes and returns": {
		description: "An engine is paused for half a minute and resumes as if nothing had " +
			"happened. Its group stops serving within the confirmation bound; the " +
			"member is not part of any group until it is admitted again.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			engine := s.fleet.Engine(s.memberIn("zone-a"))
			engine.SetFaults(faker.FaultPlan{Frozen: true})
			time.Sleep(30 * time.Second)
			engine.SetFaults(faker.FaultPlan{})
			s.within(groupRecoveryBound, "all groups serve", s.serving("zone-b-n0", groupsWanted))
		},
	},
	"a fabric domain loses power": {
		description: "All engines of zone-b's domain lose power at once and come back a " +
			"minute later, empty.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			for _, e := range s.fleet.Engines() {
				if e.Spec().Zone == "zone-b" {
					e.SetFaults(faker.FaultPlan{Down: true})
				}
			}
			time.Sleep(time.Minute)
			for _, e := range s.fleet.Engines() {
				if e.Spec().Zone == "zone-b" {
					e.SetFaults(faker.FaultPlan{})
					e.Restart()
				}
			}
			s.within(2*groupRecoveryBound, "all groups serve", s.serving("zone-a-n0", groupsWanted))
		},
	},
	"a node is stopped as planned": {
		description: "An operator stops a node while calls stream through it. Each call in " +
			"flight finishes, new ones are refused as not run, and its roles move on.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			holder := s.holder("zone-a")
			before := s.load.outcomesOf("model")
			s.nodes[holder].stop()
			s.within(leaseTakeoverBound, "another node holds the lease", func() string {
				if now := s.holder("zone-a"); now == "" || now == holder {
					return "holder " + string(now)
				}
				return ""
			})
			for what, n := range s.load.outcomesOf("model") {
				if what != "completed " && what != "not-run shutting-down" && n > before[what] {
					s.t.Errorf("%d calls ended as %q during a planned stop", n-before[what], what)
				}
			}
		},
	},
	"operators race with a lower cap": {
		description: "Two operators commit lower power caps at once. One wins, " +
			"the other gets a conflict; the site's draw falls to the new cap, and nothing " +
			"reverts.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			type result struct {
				id  string
				err error
			}
			results := make(chan result, 2)
			caps := map[string]garnetworks.Watts{"low": 9000, "lower": 8800}
			for id, node := range map[string]garnetworks.NodeID{"low": "zone-a-n0", "lower": "zone-b-n0"} {
				go func() {
					_, err := s.propose(node, id, 1, s.manifestText(caps[id], "v1"))
					results <- result{id, err}
				}()
			}
			won := ""
			for range 2 {
				if r := <-results; r.err == nil {
					won += r.id
				} else if !garnetworks.IsKind(r.err, garnetworks.KindConflict, garnetworks.KindStaleGeneration) {
					s.t.Errorf("the losing proposal failed with %v", r.err)
				}
			}
			if caps[won] == 0 {
				s.t.Fatalf("winners: %q, want one", won)
			}
			s.within(manifestBound, "the winner's manifest is in force", s.inForce("zone-c-n0", won))
			s.within(2*time.Minute, "the draw is at the cap", func() string {
				if draw := s.fleet.Draw(); draw > caps[won] {
					return fmt.Sprintf("%d W", draw)
				}
				return ""
			})
			for range 100 {
				time.Sleep(500 * time.Millisecond)
				if draw := s.fleet.Draw(); draw > caps[won] {
					s.t.Fatalf("the site draws %d W over the new cap of %d W", draw, caps[won])
				}
			}
			s.within(time.Minute, "the groups that the cap allows serve", s.serving("zone-a-n0", 2))
		},
	},
	"power orders' answers are lost": {
		description: "The answers to power orders are lost after they took effect while engines " +
			"die and are replaced; the draw is counted as on until proven off.",
		run: func(s *virtualSite) {
			s.power.SetFaults(faker.FaultPlan{LoseAnswers: -1})
			for _, zone := range zones {
				s.fleet.Engine(s.memberIn(zone)).SetFaults(faker.FaultPlan{Down: true})
			}
			time.Sleep(time.Minute)
			s.power.SetFaults(faker.FaultPlan{})
			s.within(2*groupRecoveryBound, "all groups serve", s.serving("zone-b-n1", groupsWanted))
		},
	},
	"open connections are blackholed": {
		description: "A middlebox drops the state of all open connections of one node; " +
			"new ones work. The node stays a member and its view stays fresh.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			for range 4 {
				s.network.blackholeOpen("zone-a-n0")
				time.Sleep(15 * time.Second)
				if got := s.serving("zone-a-n0", groupsWanted)(); got != "" {
					s.t.Errorf("15 s after connections were blackholed: %s", got)
				}
			}
		},
	},
	"backend servers are leaving": {
		description: "A ledger server's row says that it is leaving, and an engine says so " +
			"itself. Three seconds later neither gets new work, calls go on, and the " +
			"engine is replaced by another.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			row := ledgerRow("zone-b")
			row.State = garnetworks.ListedLeaving
			s.list.Report(row)
			leaving := s.memberIn("zone-a")
			s.fleet.Engine(leaving).SetLeaving()
			// The list shows changes 2 s late and is read periodically.
			time.Sleep(listLagBound + garnetworks.LeavingBound)
			before, group := s.ledgers[1].Executions(), s.groupOf(leaving)
			attempts, _ := s.fleet.Attempts()
			time.Sleep(10 * time.Second)
			if ran := s.ledgers[1].Executions() - before; ran > 0 {
				s.t.Errorf("%d calls ran at the leaving ledger server", ran)
			}
			later, _ := s.fleet.Attempts()
			for _, a := range later[len(attempts):] {
				if a.Group == group {
					s.t.Errorf("call %s was sent to group %s of the leaving engine", a.Call, a.Group)
				}
			}
			s.within(groupRecoveryBound, "all groups serve without the engine", func() string {
				if s.groupOf(leaving) != "" {
					return "the engine is still a member"
				}
				return s.serving("zone-b-n0", groupsWanted)()
			})
		},
	},
	"a new version is rolled out": {
		description: "A manifest brings a new version of the model. Groups move to it one " +
			"after the other; calls go on all the time.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			if _, err := s.propose("zone-a-n0", "v2", 1, s.manifestText(virtualCap, "v2")); err != nil {
				s.t.Fatal(err)
			}
			s.within(manifestBound, "the manifest is in force", s.inForce("zone-b-n0", "v2"))
			s.within(10*time.Minute, "all groups serve the new version", func() string {
				got := 0
				for _, view := range s.nodes["zone-c-n0"].views.all() {
					for i := range view.Groups {
						if g := &view.Groups[i]; g.State == garnetworks.GroupServing && g.Confirmed && g.Version == "v2" {
							got++
						}
					}
				}
				if got < groupsWanted {
					return fmt.Sprintf("%d groups", got)
				}
				return ""
			})
		},
	},
	"a version can't be loaded": {
		description: "A manifest names a version that is missing from the weight store. One zone's " +
			"group stops serving and fails to load; the others serve the old version " +
			"on, and each call completes. Its engines are restarted, and operators commit " +
			"the old version again: no other group is replaced. Once an engine of the group " +
			"that still loads is restarted, the zone is back.",
		modelCallsComplete: true,
		run: func(s *virtualSite) {
			before := s.groupsServing("v1")
			if len(before) != groupsWanted {
				s.t.Fatalf("groups that serve: %v", before)
			}
			if _, err := s.propose("zone-a-n0", "missing", 1, s.manifestText(virtualCap, "v9")); err != nil {
				s.t.Fatal(err)
			}
			s.within(manifestBound, "the manifest is in force", s.inForce("zone-b-n0", "missing"))
			s.within(time.Minute, "a zone has left the old version", func() string {
				if left := s.groupsServing("v1"); len(left) == groupsWanted {
					return fmt.Sprint(left)
				}
				return ""
			})
			kept := s.groupsServing("v1")
			s.staysFor(30*time.Second, kept)
			if len(kept) != groupsWanted-1 {
				s.t.Errorf("groups that still serve the old version: %v, want those of all zones but one of %v", kept, before)
			}
			left := s.zoneWithout(kept)
			// With too few engines for a group, the zone's views list none.
			away := s.enginesOf(left)[:s.size.engines-3]
			for _, e := range away {
				e.SetFaults(faker.FaultPlan{Down: true})
			}
			s.staysFor(30*time.Second, kept)
			for _, e := range away {
				e.SetFaults(faker.FaultPlan{})
				e.Restart()
			}
			s.staysFor(time.Minute, kept)
			if _, err := s.propose("zone-b-n0", "back", 2, s.manifestText(virtualCap, "v1")); err != nil {
				s.t.Fatal(err)
			}
			s.within(manifestBound, "the old version is in force", s.inForce("zone-c-n0", "back"))
			s.staysFor(30*time.Second, kept)
			s.fleet.Engine(s.memberIn(left)).Restart()
			s.within(groupRecoveryBound, "all groups serve the old version", func() string {
				now := s.groupsServing("v1")
				for zone, id := range kept {
					if now[zone] != id {
						s.t.Errorf("%s moved from group %s to %q", zone, id, now[zone])
					}
				}
				if len(now) < groupsWanted {
					return fmt.Sprint(now)
				}
				return ""
			})
			if s.load.completed("model") == 0 {
				s.t.Error("no call to a model completed")
			}
		},
	},
}

// groupsServing returns the confirmed groups that serve the version, by zone, as seen by a
// node of that zone.
func (s *virtualSite) groupsServing(version garnetworks.VersionName) map[garnetworks.ZoneID]garnetworks.GroupID {
	found := make(map[garnetworks.ZoneID]garnetworks.GroupID)
	for _, zone := range zones {
		for _, view := range s.nodes[nodeName(zone, 0)].views.all() {
			if view.Zone != zone {
				continue
			}
			for i := range view.Groups {
				if g := &view.Groups[i]; g.State == garnetworks.GroupServing && g.Confirmed && g.Version == version {
					found[zone] = g.ID
				}
			}
		}
	}
	return found
}

// enginesOf returns the engines of a zone.
func (s *virtualSite) enginesOf(zone garnetworks.ZoneID) []*faker.Engine {
	return slices.DeleteFunc(s.fleet.Engines(), func(e *faker.Engine) bool { return e.Spec().Zone != zone })
}

// zoneWithout returns the first zone that is not a key of groups.
func (s *virtualSite) zoneWithout(groups map[garnetworks.ZoneID]garnetworks.GroupID) garnetworks.ZoneID {
	s.t.Helper()
	for _, zone := range zones {
		if groups[zone] == "" {
			return zone
		}
	}
	s.t.Fatalf("all zones are among %v", groups)
	return ""
}

// staysFor fails if the groups that serve v1 change within the duration.
func (s *virtualSite) staysFor(while time.Duration, want map[garnetworks.ZoneID]garnetworks.GroupID) {
	s.t.Helper()
	for begun := time.Now(); time.Since(begun) < while; time.Sleep(time.Second) {
		if got := s.groupsServing("v1"); !maps.Equal(got, want) {
			s.t.Fatalf("after %v, the groups that serve the old version are %v, want %v", time.Since(begun), got, want)
		}
	}
}

// recorded counts the events of a kind in the timelines of all nodes.
func (s *virtualSite) recorded(kind garnetworks.EventKind) int {
	count := 0
	for _, id := range s.names() {
		events, _ := s.node(id).timeline.Events(0, 0)
		for _, e := range events {
			if e.Kind == kind {
				count++
			}
		}
	}
	return count
}

// outcomesWithoutFailure are the outcomes callers see while nothing fails. Of two simultaneous
// calls with one key, one may get the error that the other is in progress.
var outcomesWithoutFailure = []string{
	"model completed ", "ledger completed ", "ledger again completed ",
	"ledger at once completed ", "ledger at once unknown in-progress",
}

// holder returns the node that holds the zone's lease, or an empty string.
func (s *virtualSite) holder(zone garnetworks.ZoneID) garnetworks.NodeID {
	for id, n := range s.nodes {
		if n.self.Zone == zone && n.zone.Lease().Term(time.Now()) > 0 {
			return id
		}
	}
	return ""
}

// memberIn returns a member of a group in the zone.
func (s *virtualSite) memberIn(zone garnetworks.ZoneID) garnetworks.InstanceID {
	s.t.Helper()
	for _, n := range s.nodes {
		for _, view := range n.views.all() {
			if view.Zone != zone || len(view.Groups) == 0 {
				continue
			}
			return view.Groups[0].Members[1]
		}
	}
	s.t.Fatalf("no group in %s", zone)
	return ""
}

// modelsComplete reports calls to models that did not complete. A stopping node may refuse
// them as not run, because the load balancer then sends the next ones elsewhere.
func (s *virtualSite) modelsComplete() {
	s.t.Helper()
	for what, n := range s.load.outcomesOf("model") {
		if what != "completed " && what != "not-run shutting-down" {
			s.t.Errorf("%d calls to models ended as %q", n, what)
		}
	}
}

// groupOf returns the group that the instance is a member of, according to zone-b-n0's views.
func (s *virtualSite) groupOf(id garnetworks.InstanceID) garnetworks.GroupID {
	for _, view := range s.nodes["zone-b-n0"].views.all() {
		for i := range view.Groups {
			if slices.Contains(view.Groups[i].Members, id) {
				return view.Groups[i].ID
			}
		}
	}
	return ""
}

// refused returns how many calls had the outcome not-run with the error kind.
func (l *load) refused(what string, kind garnetworks.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes[what+" not-run "+string(kind)]
}

// outcomesOf returns the outcomes of one kind of call.
func (l *load) outcomesOf(what string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := make(map[string]int)
	for name, n := range l.outcomes {
		if len(name) > len(what) && name[:len(what)+1] == what+" " {
			found[name[len(what)+1:]] = n
		}
	}
	return found
}

func TestSiteUnderFailure(t *testing.T) {
	for name, tt := range scenarios {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				t.Log(tt.description)
				s := newVirtualSite(t, smallShape)
				defer s.close()
				s.begin()
				s.startLoad()
				tt.run(s)
				if tt.modelCallsComplete {
					s.modelsComplete()
				}
				s.finishLoad()
			})
		})
	}
}
