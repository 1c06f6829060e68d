package admitter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func TestSharesSumToOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		specs := []garnetworks.WorkspaceSpec{
			{Name: "a", Limits: garnetworks.LimitsSpec{RequestsPerSecond: 10}},
			{Name: "b", Limits: garnetworks.LimitsSpec{TokensPerSecond: 1000, Concurrency: 5}},
			{Name: "c"},
		}
		var nodes []NodeDemand
		for i := range rapid.IntRange(1, 40).Draw(t, "nodes") {
			n := NodeDemand{Node: garnetworks.NodeID(fmt.Sprintf("n%d", i)), Unresponsive: rapid.IntRange(0, 4).Draw(t, "silent") == 0}
			for _, s := range specs {
				n.Demands = append(n.Demands, garnetworks.Demand{
					Workspace:         s.Name,
					RequestsPerSecond: rapid.Float64Range(0, 100).Draw(t, "requests"),
					TokensPerSecond:   rapid.Float64Range(0, 1e4).Draw(t, "tokens"),
					InFlight:          rapid.IntRange(0, 20).Draw(t, "in flight"),
				})
			}
			nodes = append(nodes, n)
		}
		table := Shares(specs, nodes)
		sums := map[garnetworks.WorkspaceName]float64{}
		slots := 0.0
		for _, n := range nodes {
			row, ok := table.Node(n.Node)
			if !ok || row.Slots <= 0 {
				t.Fatalf("%s has no slots: %+v", n.Node, row)
			}
			slots += row.Slots
			for _, w := range row.Workspaces {
				if w.Share <= 0 {
					t.Fatalf("%s has no share of %s", n.Node, w.Workspace)
				}
				if equal := 1 / float64(len(nodes)); n.Unresponsive && math.Abs(w.Share-equal) > 1e-9 {
					t.Fatalf("unresponsive node %s has share %g, want %g", n.Node, w.Share, equal)
				}
				sums[w.Workspace] += w.Share
			}
		}
		for name, sum := range sums {
			if sum > 1+1e-9 || slots > 1+1e-9 {
				t.Fatalf("shares of %s sum to %g, slots to %g", name, sum, slots)
			}
		}
	})
}

// shareRun sends calls of one workspace through many nodes that exchange their demand
// every few seconds.
type shareRun struct {
	nodes int
	// load is the offered rate over the limit.
	load float64
	// skew sends nine tenths of the calls to the first half of the nodes, and after a
	// minute to the other half.
	skew bool
	// partitioned removes a third of the nodes from the exchange after half a minute.
	partitioned bool
	// surge multiplies the load by 15 after a minute.
	surge bool
}

const (
	shareLimit    = 60.0
	shareExchange = 5 * time.Second
	shareLength   = 2 * time.Minute
)

// shareResult holds what the site admitted.
type shareResult struct {
	// admitted is the admitted over the allowed rate, refused the refused fraction
	// of the calls.
	admitted, refused float64
	// max1s and max10s are the most calls in any window of that length over what the
	// limit allows in it.
	max1s, max10s float64
	// excess is the highest excess over limit x (T + BurstTime) in any window that
	// begins with a call, in calls for each node.
	excess float64
}

func (s shareRun) run() shareResult {
	random := rand.New(rand.NewPCG(9, uint64(s.nodes)))
	spec := garnetworks.WorkspaceSpec{Name: "w", Limits: garnetworks.LimitsSpec{RequestsPerSecond: shareLimit}}
	manifest := &garnetworks.Manifest{Workspaces: []garnetworks.WorkspaceSpec{spec}}
	gates := make([]*gate, s.nodes)
	for i := range gates {
		gates[i] = newGate(Options{Node: garnetworks.NodeID(fmt.Sprintf("n%03d", i))})
		gates[i].setNodes(testStart, s.nodes)
		gates[i].setManifest(testStart, manifest)
	}
	var times []time.Duration
	calls := 0
	nextExchange := shareExchange
	for at := time.Duration(0); at < shareLength; {
		load := s.load
		if s.surge && at > time.Minute {
			load *= 15
		}
		at += time.Duration(random.ExpFloat64() / (load * shareLimit) * float64(time.Second))
		for nextExchange <= at {
			s.exchange(gates, nextExchange)
			nextExchange += shareExchange
		}
		calls++
		g := gates[s.node(random, at)]
		w := g.arrive(testStart.Add(at), garnetworks.AdmitRequest{Workspace: "w"})
		if w.state == admitted {
			times = append(times, at)
			g.done(testStart.Add(at), w, 0)
		}
	}
	return s.result(times, calls)
}

func (s shareRun) node(random *rand.Rand, at time.Duration) int {
	if !s.skew || random.IntN(10) == 0 {
		return random.IntN(s.nodes)
	}
	half := s.nodes / 2
	if at < time.Minute {
		return random.IntN(half)
	}
	return half + random.IntN(s.nodes-half)
}

// exchange passes the table to the reachable nodes, up to a second late.
func (s shareRun) exchange(gates []*gate, at time.Duration) {
	var nodes []NodeDemand
	for i, g := range gates {
		unresponsive := s.partitioned && at >= 30*time.Second+ShareBound && i < s.nodes/3
		nodes = append(nodes, NodeDemand{Node: g.options.Node, Unresponsive: unresponsive, Demands: g.demands(testStart.Add(at))})
	}
	table := Shares([]garnetworks.WorkspaceSpec{gates[0].workspaces["w"].spec}, nodes)
	for i, g := range gates {
		if s.partitioned && at >= 30*time.Second && i < s.nodes/3 {
			continue
		}
		row, _ := table.Node(g.options.Node)
		g.setShares(testStart.Add(at+time.Duration(i%10)*100*time.Millisecond), row)
	}
}

func (s shareRun) result(times []time.Duration, calls int) shareResult {
	r := shareResult{
		admitted: float64(len(times)) / (shareLimit * shareLength.Seconds()),
		refused:  1 - float64(len(times))/float64(calls),
	}
	most := func(window time.Duration) float64 {
		best, j := 0, 0
		for i := range times {
			for times[i]-times[j] > window {
				j++
			}
			best = max(best, i-j+1)
		}
		return float64(best) / (shareLimit * window.Seconds())
	}
	r.max1s, r.max10s = most(time.Second), most(10*time.Second)
	// The highest excess over all windows is the highest rise of admitted minus
	// allowed calls above its lowest value before.
	lowest := math.Inf(1)
	for i, at := range times {
		level := float64(i) - shareLimit*at.Seconds()
		lowest = min(lowest, level)
		r.excess = max(r.excess, level+1-lowest-shareLimit*BurstTime.Seconds())
	}
	r.excess /= float64(s.nodes)
	return r
}

func TestLimitsOverManyNodes(t *testing.T) {
	// Nodes that limit independently must together stay within A4, also while demand moves
	// or nodes are partitioned, and must refuse little below the limit.
	tests := map[string]shareRun{
		"even":                   {load: 0.8},
		"even, over":             {load: 3},
		"skewed":                 {load: 0.8, skew: true},
		"skewed, over":           {load: 3, skew: true},
		"partitioned, over":      {load: 3, partitioned: true},
		"partitioned and skewed": {load: 3, partitioned: true, skew: true},
		"idle, then surge":       {load: 0.2, surge: true},
	}
	names := make([]string, 0, len(tests))
	for name := range tests {
		names = append(names, name)
	}
	slices.Sort(names)
	t.Logf("%-20s %5s %8s %8s %9s %9s %12s", "case", "nodes", "admitted", "refused", "max/1 s", "max/10 s", "node excess")
	for _, name := range names {
		for _, nodes := range []int{6, 40, 330} {
			s := tests[name]
			s.nodes = nodes
			r := s.run()
			t.Logf("%-20s %5d %8.3f %7.1f%% %9.2f %9.2f %12.2f", name, nodes, r.admitted, 100*r.refused, r.max1s, r.max10s, r.excess)
			most := float64(BurstCalls)
			if s.load < RelaxedUtilization {
				most = RelaxedBurstCalls
			}
			if r.excess > most {
				t.Errorf("%s at %d nodes: %.2f calls for each node above the limit, want at most %.0f", name, nodes, r.excess, most)
			}
			if s.load > 1 && r.admitted < 0.75 {
				t.Errorf("%s at %d nodes: only %.3f of the limit was admitted", name, nodes, r.admitted)
			}
		}
	}
}

func TestShareInForce(t *testing.T) {
	// An increase must wait until other nodes have decreased, and a partitioned node must
	// give up its last share; otherwise the site exceeds its limit.
	table := func(share float64) NodeShare {
		return NodeShare{Node: "n1", Slots: share, Workspaces: []WorkspaceShare{{Workspace: "w", Share: share, Utilization: 1}}}
	}
	type step struct {
		after time.Duration
		share float64
		want  float64
	}
	tests := map[string][]step{
		"decreases at once":                            {{0, 0.2, 0.2}},
		"increases after the delay":                    {{0, 0.8, 0.25}, {IncreaseDelay - 1, 0, 0.25}, {1, 0, 0.8}},
		"a decrease cancels a pending increase":        {{0, 0.8, 0.25}, {time.Second, 0.1, 0.1}, {IncreaseDelay, 0, 0.1}},
		"a pending increase can shrink":                {{0, 0.8, 0.25}, {time.Second, 0.4, 0.25}, {time.Second, 0, 0.4}},
		"partitioned, it decreases to the equal share": {{0, 0.8, 0.25}, {IncreaseDelay, 0, 0.8}, {ShareBound, 0, 0.25}},
		"partitioned, it increases to the equal share": {{0, 0.1, 0.1}, {ShareBound + 1, 0, 0.25}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			now := testStart
			g := newGate(Options{Node: "n1"})
			g.setNodes(now, 4)
			g.setManifest(now, &garnetworks.Manifest{Workspaces: []garnetworks.WorkspaceSpec{
				{Name: "w", Limits: garnetworks.LimitsSpec{RequestsPerSecond: 100}},
			}})
			for i, s := range steps {
				now = now.Add(s.after)
				if s.share > 0 {
					g.setShares(now, table(s.share))
				}
				g.arrive(now, garnetworks.AdmitRequest{Workspace: "w"})
				if got := g.workspaces["w"].requests.rate / 100; math.Abs(got-s.want) > 1e-9 {
					t.Errorf("step %d: got share %g, want %g", i, got, s.want)
				}
			}
		})
	}
}

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			m := &garnetworks.Manifest{Models: []garnetworks.ModelSpec{{Name: "m"}}}
			for i := range n {
				m.Workspaces = append(m.Workspaces, garnetworks.WorkspaceSpec{
					Name: garnetworks.WorkspaceName(fmt.Sprintf("w%d", i)), Priority: i % 3,
					Limits: garnetworks.LimitsSpec{RequestsPerSecond: 1e9, TokensPerSecond: 1e12, Concurrency: 1e6},
				})
			}
			a := New(Options{Node: "n1"})
			a.SetManifest(m)
			a.SetCapacity([]garnetworks.ModelCapacity{{Model: "m", Slots: 1000}})
			now := time.Now()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				w := m.Workspaces[i%n]
				i++
				ticket, err := a.Admit(b.Context(), garnetworks.AdmitRequest{Workspace: w.Name, Priority: w.Priority, Model: "m", Tokens: 100, Received: now})
				if err != nil {
					b.Fatal(err)
				}
				ticket.Done(100)
			}
		})
	}
}

func BenchmarkShares(b *testing.B) {
	for _, n := range []int{6, 40, 330} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var specs []garnetworks.WorkspaceSpec
			var demands []garnetworks.Demand
			for i := range 10 {
				name := garnetworks.WorkspaceName(fmt.Sprintf("w%d", i))
				specs = append(specs, garnetworks.WorkspaceSpec{Name: name, Limits: garnetworks.LimitsSpec{RequestsPerSecond: 10}})
				demands = append(demands, garnetworks.Demand{Workspace: name, RequestsPerSecond: 1})
			}
			var nodes []NodeDemand
			for i := range n {
				nodes = append(nodes, NodeDemand{Node: garnetworks.NodeID(fmt.Sprintf("n%d", i)), Demands: demands})
			}
			b.ReportAllocs()
			for b.Loop() {
				Shares(specs, nodes)
			}
		})
	}
}
