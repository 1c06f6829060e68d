package distributor

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	checks := "100"
	if testing.Short() {
		checks = "20"
	}
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": checks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestUpdateReachesAllNodes publishes at one node while the tree has faults, and
// checks when all running nodes have applied the update.
func TestUpdateReachesAllNodes(t *testing.T) {
	const nodes, zones, regions = 96, 8, 3
	tests := map[string]struct {
		description string
		before      func(n *network)
		// heal, if set, ends the fault a minute after the publication.
		heal func(n *network)
		// within bounds the time from the publication, or from heal, until all
		// running nodes have applied the update.
		within time.Duration
	}{
		"no fault": {
			description: "No fault; only the hops of the tree take time.",
			before:      func(*network) {},
			within:      10 * time.Millisecond,
		},
		"a node is dead": {
			description: "A node has just died and is still listed. Its branch is sent to the next node.",
			before:      func(n *network) { n.stop(firstBranchHead(n, manifest(7))) },
			within:      10 * time.Millisecond,
		},
		"a node is cut off from the publisher": {
			description: "Packets to the first node of a branch are lost, so that the publisher's call times out. The branch is sent to the next node, and the first one fetches from its neighbors.",
			before: func(n *network) {
				i := slices.IndexFunc(n.nodes, func(o garnetworks.NodeInfo) bool { return o.Address == firstBranchHead(n, manifest(7)) })
				n.setBlocked(0, i, true)
			},
			within: SendTimeout + time.Second + RepairGrace + 10*time.Millisecond,
		},
		"an inner node dies after its acknowledgment": {
			description: "The first node of a region acknowledges the update and dies before it forwards it. A third of the site lacks the update until repair.",
			before:      func(n *network) { n.stopAfterAck = firstBranchHead(n, manifest(7)) },
			within:      3 * time.Second,
		},
		"a region is cut off for a minute": {
			description: "The publisher's region is partitioned from the others, which must catch up when the link is back.",
			before: func(n *network) {
				for i, a := range n.nodes {
					for j, b := range n.nodes {
						if (a.Region == n.nodes[0].Region) != (b.Region == n.nodes[0].Region) {
							n.setBlocked(i, j, true)
						}
					}
				}
			},
			heal:   (*network).heal,
			within: 3 * time.Second,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(nodes, zones, regions)
				for i := range nodes {
					n.start(i)
				}
				defer n.stopAll()
				time.Sleep(1500 * time.Millisecond)
				test.before(n)
				mustPublish(t, n.running[n.nodes[0].Address], manifest(7))
				if test.heal != nil {
					time.Sleep(time.Minute)
					test.heal(n)
				}
				began := time.Now()
				for time.Since(began) < test.within && len(n.missing(garnetworks.TopicManifest, version(7))) > 0 {
					time.Sleep(latency)
				}
				t.Logf("applied by all nodes after %v with %v a call", time.Since(began), latency)
				if missing := n.missing(garnetworks.TopicManifest, version(7)); len(missing) > 0 {
					t.Errorf("%d nodes lack the update after %v: %v", len(missing), test.within, missing)
				}
			})
		})
	}
}

// firstBranchHead returns the address of the first node of the first branch of an update
// that node 0 publishes.
func firstBranchHead(n *network, u garnetworks.Update) string {
	branches := Split(n.nodes[0], n.nodes[1:], DefaultFanout, seedOf([]garnetworks.Update{u}))
	return branches[0][0].Address
}

// TestOldValuesNeverReplaceNewer: A node that returns from a partition publishes
// old values. No other node may apply them, and the node must catch up.
func TestOldValuesNeverReplaceNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(6, 3, 1)
		for i := range 5 {
			n.start(i)
		}
		defer n.stopAll()
		first := n.running[n.nodes[0].Address]
		mustPublish(t, first, manifest(4))
		mustPublish(t, first, manifest(9))
		time.Sleep(time.Second)

		old := n.start(5)
		mustPublish(t, old, manifest(4))
		mustPublish(t, old, manifest(5))
		if err := first.Publish(manifest(8)); !garnetworks.IsKind(err, garnetworks.KindConflict) {
			t.Errorf("an old value was accepted: %v", err)
		}
		time.Sleep(3 * time.Second)
		if missing := n.missing(garnetworks.TopicManifest, version(9)); len(missing) > 0 {
			t.Errorf("%v do not hold the newest value", missing)
		}
		for address, p := range n.running {
			if applied := p.applied[garnetworks.TopicManifest]; !slices.IsSortedFunc(applied, compareVersions) {
				t.Errorf("%s applied %v", address, applied)
			}
		}
	})
}

func compareVersions(a, b garnetworks.UpdateVersion) int {
	switch {
	case a.Less(b):
		return -1
	case b.Less(a):
		return 1
	}
	return 0
}

// TestOneWayPartition: A node that cannot be called, or that cannot call others,
// must still receive updates.
func TestOneWayPartition(t *testing.T) {
	for name, inbound := range map[string]bool{"can't be called": true, "can't call": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(6, 1, 1)
				for i := range 6 {
					n.start(i)
				}
				defer n.stopAll()
				for i := range 5 {
					n.setBlocked(i, 5, true)
					n.setBlocked(5, i, !inbound)
				}
				mustPublish(t, n.running[n.nodes[2].Address], manifest(1))
				time.Sleep(500 * time.Millisecond)
				for i := range 5 {
					n.setBlocked(i, 5, inbound)
				}
				time.Sleep(3 * time.Second)
				if missing := n.missing(garnetworks.TopicManifest, version(1)); len(missing) > 0 {
					t.Errorf("%v lack the update", missing)
				}
			})
		})
	}
}

// TestUnresponsiveNodeDelaysOneUpdate: Only the first update may wait for the
// timeout of an unresponsive node that heads a branch, not each update.
func TestUnresponsiveNodeDelaysOneUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(24, 3, 1)
		for i := range n.nodes {
			n.start(i)
		}
		defer n.stopAll()
		head := firstBranchHead(n, manifest(7))
		silent := slices.IndexFunc(n.nodes, func(o garnetworks.NodeInfo) bool { return o.Address == head })
		n.setBlocked(0, silent, true)
		next := uint64(8)
		for firstBranchHead(n, manifest(next)) != head {
			next++
		}
		mustPublish(t, n.running[n.nodes[0].Address], manifest(7))
		time.Sleep(SendTimeout + 10*time.Millisecond)
		mustPublish(t, n.running[n.nodes[0].Address], manifest(next))
		time.Sleep(20 * time.Millisecond)
		if missing := n.missing(garnetworks.TopicManifest, version(next)); len(missing) > 0 {
			t.Errorf("the second update was delayed as well: %v lack it", missing)
		}
	})
}

// TestForwardsOnce: Duplicate messages, or a loop of nodes with different rosters,
// must not multiply the traffic of a branch or keep it up forever.
func TestForwardsOnce(t *testing.T) {
	targets := []string{"10.0.0.1:7000", "10.0.0.2:7000"}
	tests := map[string]struct {
		requests []*garnetworks.DistributeRequest
		calls    int
	}{
		"once":         {[]*garnetworks.DistributeRequest{{Updates: []garnetworks.Update{manifest(3)}, Targets: targets}}, 2},
		"same targets": {[]*garnetworks.DistributeRequest{{Updates: []garnetworks.Update{manifest(3)}, Targets: targets}, {Updates: []garnetworks.Update{manifest(3)}, Targets: targets}}, 2},
		"other targets": {[]*garnetworks.DistributeRequest{
			{Updates: []garnetworks.Update{manifest(3)}, Targets: targets[:1]},
			{Updates: []garnetworks.Update{manifest(3)}, Targets: targets},
		}, 2},
		"older": {[]*garnetworks.DistributeRequest{
			{Updates: []garnetworks.Update{manifest(3)}, Targets: targets},
			{Updates: []garnetworks.Update{manifest(2)}, Targets: targets},
		}, 2},
		"too many hops": {[]*garnetworks.DistributeRequest{{Updates: []garnetworks.Update{manifest(3)}, Targets: targets, Hops: MaxHops}}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(3, 1, 1)
				for i := range n.nodes {
					n.start(i)
				}
				defer n.stopAll()
				first := n.running[n.nodes[0].Address]
				for _, q := range test.requests {
					first.Handle(q)
					time.Sleep(100 * time.Millisecond)
				}
				n.mu.Lock()
				calls := n.calls
				n.mu.Unlock()
				if calls != test.calls {
					t.Errorf("%d calls, want %d", calls, test.calls)
				}
			})
		})
	}
}

// TestTransientTopicsAreNotCompared: If frequent status updates were compared, most
// heartbeats would list all versions and fetch what the tree is delivering.
func TestTransientTopicsAreNotCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(6, 2, 1)
		for i := range n.nodes {
			n.start(i)
		}
		defer n.stopAll()
		mustPublish(t, n.running[n.nodes[0].Address], manifest(1))
		time.Sleep(2 * time.Second)
		digest := n.running[n.nodes[0].Address].Digest()
		for i := range n.nodes[1:] {
			n.setBlocked(i, 5, true)
		}
		status := garnetworks.Update{Topic: garnetworks.TopicZoneStatus + "zone-0", Version: version(7), Body: []byte("pulse")}
		mustPublish(t, n.running[n.nodes[0].Address], status)
		time.Sleep(5 * time.Second)
		if got := n.missing(status.Topic, version(7)); !slices.Equal(got, []string{n.nodes[5].Address}) {
			t.Errorf("%v lack the status update, want only the partitioned node", got)
		}
		for address, p := range n.running {
			if p.Digest() != digest {
				t.Errorf("the status update changed the digest of %s", address)
			}
		}
	})
}

// step is one action of TestStateMachine.
type step struct {
	action      string
	node, other int
	update      garnetworks.Update
	wait        time.Duration
}

func drawSteps(t *rapid.T, nodes int) []step {
	var steps []step
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		steps = append(steps, step{
			action: rapid.SampledFrom([]string{"publish", "publish", "cut", "heal", "restart", "wait"}).Draw(t, "action"),
			node:   rapid.IntRange(0, nodes-1).Draw(t, "node"),
			other:  rapid.IntRange(0, nodes-1).Draw(t, "other"),
			update: garnetworks.Update{
				Topic:   garnetworks.Topic(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "topic")),
				Version: garnetworks.UpdateVersion{Term: uint32(rapid.IntRange(0, 2).Draw(t, "term")), Sequence: uint64(rapid.IntRange(1, 9).Draw(t, "sequence"))},
			},
			wait: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond,
		})
	}
	return steps
}

// TestStateMachine checks random publications, partitions and restarts: applied
// versions only grow, and after healing each node has the newest of each topic.
func TestStateMachine(t *testing.T) {
	const nodes = 7
	rapid.Check(t, func(r *rapid.T) {
		steps := drawSteps(r, nodes)
		var failures []string
		synctest.Test(t, func(*testing.T) { failures = runSteps(newNetwork(nodes, 3, 2), steps) })
		if len(failures) > 0 {
			r.Fatal(failures)
		}
	})
}

func runSteps(n *network, steps []step) []string {
	var all []*peer
	for i := range n.nodes {
		all = append(all, n.start(i))
	}
	defer n.stopAll()
	newest := map[garnetworks.Topic]garnetworks.UpdateVersion{}
	for _, s := range steps {
		switch s.action {
		case "publish":
			if n.running[n.nodes[s.node].Address].Publish(s.update) == nil && newest[s.update.Topic].Less(s.update.Version) {
				newest[s.update.Topic] = s.update.Version
			}
		case "cut":
			n.setBlocked(s.node, s.other, true)
		case "heal":
			n.heal()
		case "restart":
			// A value that only the stopped process holds may be lost.
			time.Sleep(20 * time.Second)
			if len(n.missingAny(newest)) == 0 {
				n.stop(n.nodes[s.node].Address)
				all = append(all, n.start(s.node))
			}
		}
		time.Sleep(s.wait)
	}
	n.heal()
	time.Sleep(40 * time.Second)
	failures := n.missingAny(newest)
	for _, p := range all {
		for topic, applied := range p.applied {
			if !slices.IsSortedFunc(applied, compareVersions) {
				failures = append(failures, fmt.Sprintf("versions of %s applied by a process decreased: %v", topic, applied))
			}
		}
	}
	return failures
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
}

func (n *network) missingAny(newest map[garnetworks.Topic]garnetworks.UpdateVersion) []string {
	var all []string
	for topic, v := range newest {
		for _, address := range n.missing(topic, v) {
			all = append(all, fmt.Sprintf("%s lacks %s %v", address, topic, v))
		}
	}
	return all
}

func TestSplit(t *testing.T) {
	tests := map[string]struct{ nodes, zones, regions, depth int }{
		"one node":       {1, 1, 1, 0},
		"six nodes":      {6, 3, 1, 2},
		"larger":         {24, 3, 1, 3},
		"quarter":        {96, 8, 3, 4},
		"design size":    {330, 8, 3, 5},
		"one large zone": {330, 1, 1, 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			nodes := siteNodes(test.nodes, test.zones, test.regions)
			for seed := range uint64(20) {
				self := nodes[seed%uint64(len(nodes))]
				targets := slices.DeleteFunc(slices.Clone(nodes), func(o garnetworks.NodeInfo) bool { return o.ID == self.ID })
				if got := Depth(self, targets, DefaultFanout, seed); got > test.depth {
					t.Errorf("depth %d, want %d at most", got, test.depth)
				}
				checkTree(t, self, targets, seed, test.zones, test.regions)
			}
		})
	}
}

// checkTree checks that each target is reached once, that no node has more branches
// than rule D2 allows, and that at most one link leads into each other zone or region.
func checkTree(t *testing.T, self garnetworks.NodeInfo, targets []garnetworks.NodeInfo, seed uint64, zones, regions int) {
	reached := garnetworks.NewSet[string]()
	crossZone, crossRegion := 0, 0
	var walk func(from garnetworks.NodeInfo, targets []garnetworks.NodeInfo)
	walk = func(from garnetworks.NodeInfo, targets []garnetworks.NodeInfo) {
		branches := Split(from, targets, DefaultFanout, seed)
		if most := DefaultFanout + regions - 1 + (zones+regions-1)/regions - 1; len(branches) > most {
			t.Errorf("%d branches, want %d at most", len(branches), most)
		}
		for _, b := range branches {
			if reached.Has(b[0].Address) {
				t.Errorf("%s is reached twice", b[0].ID)
			}
			reached.Add(b[0].Address)
			if b[0].Zone != from.Zone {
				crossZone++
			}
			if b[0].Region != from.Region {
				crossRegion++
			}
			walk(b[0], b[1:])
		}
	}
	walk(self, targets)
	if len(reached) != len(targets) {
		t.Errorf("%d nodes are reached, want %d", len(reached), len(targets))
	}
	if crossZone > zones-1 || crossRegion > regions-1 {
		t.Errorf("%d links cross zones and %d regions", crossZone, crossRegion)
	}
}
