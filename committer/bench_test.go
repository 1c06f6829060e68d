package committer_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/distributor"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/messenger"
)

// networkNode is a node with real connections to the others.
type networkNode struct {
	garnetworks.PeerHandler
	info        garnetworks.NodeInfo
	committer   *committer.Committer
	distributor *distributor.Distributor
	client      *messenger.Client
	traffic     messenger.Traffic

	mu      sync.Mutex
	applied map[garnetworks.Generation]time.Time
}

func (w *networkNode) Heartbeat(_ context.Context, request *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	response := &garnetworks.HeartbeatResponse{From: w.info}
	w.distributor.FillResponse(request, response)
	return response, nil
}

func (w *networkNode) Distribute(_ context.Context, request *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	return w.distributor.Handle(request), nil
}

func (w *networkNode) Fetch(_ context.Context, request *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	return w.distributor.HandleFetch(request), nil
}

func (w *networkNode) Report(ctx context.Context, request *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	return w.committer.Report(ctx, request)
}

// networkSite is a site of nodes in one process, connected over loopback.
type networkSite struct {
	objects *faker.Objects
	nodes   []*networkNode
	rosters []garnetworks.Roster
}

// startNetworkSite starts nodes in the zones of the example manifest. Rosters are fixed,
// since membership is not part of the benchmark.
func startNetworkSite(b *testing.B, nodes int) *networkSite {
	s := &networkSite{objects: faker.NewObjects(faker.ObjectsOptions{})}
	listeners := make([]net.Listener, nodes)
	for i := range nodes {
		var err error
		if listeners[i], err = messenger.Listen("127.0.0.1:0", nil, false); err != nil {
			b.Fatal(err)
		}
		zone := zoneNames[i%len(zoneNames)]
		s.nodes = append(s.nodes, &networkNode{
			info:    garnetworks.NodeInfo{ID: garnetworks.NodeID(fmt.Sprintf("%s-%03d", zone, i)), Incarnation: 1, Address: listeners[i].Addr().String(), Zone: zone, Region: "south"},
			applied: map[garnetworks.Generation]time.Time{},
		})
	}
	for _, zone := range zoneNames {
		r := garnetworks.Roster{Zone: zone, Version: 1}
		for _, n := range s.nodes {
			if n.info.Zone == zone {
				r.Nodes = append(r.Nodes, n.info)
			}
		}
		s.rosters = append(s.rosters, r)
	}
	for i, n := range s.nodes {
		s.startNode(b, n, listeners[i])
	}
	return s
}

// startNode starts a node's components; they end with the benchmark.
func (s *networkSite) startNode(b *testing.B, n *networkNode, listener net.Listener) {
	n.client = messenger.NewClient(messenger.ClientOptions{Traffic: &n.traffic})
	n.distributor = distributor.New(distributor.Options{
		Self: n.info, Peers: n.client, Nodes: s.infos,
		Apply: func(u garnetworks.Update) { n.committer.OnUpdate(u) },
	})
	n.committer = committer.New(committer.Options{
		Node: n.info.ID, Incarnation: 1, Zone: n.info.Zone, Objects: s.objects, Peers: n.client,
		Rosters: func() []garnetworks.Roster { return s.rosters },
		Publish: func(u garnetworks.Update) { _ = n.distributor.Publish(u) },
		OnApplied: func(m *garnetworks.AcceptedManifest) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.applied[m.Generation] = time.Now()
		},
	})
	server, err := messenger.NewServer(messenger.ServerOptions{Handler: n, Traffic: &n.traffic})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, listener) })
	group.Go(func() { n.distributor.Run(ctx) })
	group.Go(func() { _ = n.committer.Run(ctx) })
	group.Go(func() { s.heartbeatLoop(ctx, n) })
	b.Cleanup(func() {
		cancel()
		group.Wait()
		n.client.Close()
	})
}

func (s *networkSite) infos() []garnetworks.NodeInfo {
	list := make([]garnetworks.NodeInfo, len(s.nodes))
	for i, n := range s.nodes {
		list[i] = n.info
	}
	return list
}

// heartbeatLoop exchanges heartbeats with the next node each second, as the membership does.
func (s *networkSite) heartbeatLoop(ctx context.Context, n *networkNode) {
	next := s.nodes[(slices.Index(s.nodes, n)+1)%len(s.nodes)].info.Address
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		request := &garnetworks.HeartbeatRequest{From: n.info}
		n.distributor.FillRequest(request)
		if response, err := n.client.Heartbeat(ctx, next, request); err == nil {
			n.distributor.TakeResponse(ctx, next, response)
		}
	}
}

// BenchmarkCommit measures commits over loopback connections: the time until the last node
// has applied the commit, and until the node that received it reports it as in force.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{6, 24, 96, 330} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			s := startNetworkSite(b, size)
			waitFor(b, func() bool {
				return !slices.ContainsFunc(s.nodes, func(n *networkNode) bool { return !n.committer.Status().Synced })
			})
			time.Sleep(3 * time.Second)
			var last, inForce []time.Duration
			before := s.traffic()
			b.ResetTimer()
			for i := range b.N {
				base := garnetworks.Generation(i)
				at := s.nodes[(i*7)%size]
				began := time.Now()
				if _, err := at.committer.Propose(b.Context(), proposeRequest(fmt.Sprintf("c%d", i), base, manifestText(80000+i))); err != nil {
					b.Fatal(err)
				}
				waitFor(b, func() bool { return at.committer.Status().InForce == base+1 })
				inForce = append(inForce, time.Since(began))
				last = append(last, s.lastApplied(base+1).Sub(began))
			}
			b.StopTimer()
			after := s.traffic()
			slices.Sort(last)
			slices.Sort(inForce)
			nodesAndCommits := float64(size * b.N)
			b.ReportMetric(float64(last[len(last)/2].Microseconds())/1000, "median-ms-to-last-node")
			b.ReportMetric(float64(last[len(last)-1].Microseconds())/1000, "worst-ms-to-last-node")
			b.ReportMetric(float64(inForce[len(inForce)/2].Microseconds())/1000, "median-ms-to-in-force")
			b.ReportMetric(float64(inForce[len(inForce)-1].Microseconds())/1000, "worst-ms-to-in-force")
			b.ReportMetric(float64(s.repaired())/float64(b.N), "repairs/commit")
			b.ReportMetric(float64(after.MessagesSent-before.MessagesSent)/nodesAndCommits, "messages/node/commit")
			b.ReportMetric(float64(after.BytesSent-before.BytesSent)/nodesAndCommits, "bytes/node/commit")
		})
	}
}

func (s *networkSite) lastApplied(g garnetworks.Generation) time.Time {
	var last time.Time
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.applied[g].After(last) {
			last = n.applied[g]
		}
		n.mu.Unlock()
	}
	return last
}

// repaired counts the updates that did not arrive through the distribution tree.
func (s *networkSite) repaired() uint64 {
	sum := uint64(0)
	for _, n := range s.nodes {
		c := n.distributor.Counts()
		sum += c.Repaired + c.Pushed
	}
	return sum
}

func (s *networkSite) traffic() messenger.TrafficCount {
	var sum messenger.TrafficCount
	for _, n := range s.nodes {
		c := n.traffic.Count()
		sum.MessagesSent += c.MessagesSent
		sum.BytesSent += c.BytesSent
	}
	return sum
}

func waitFor(b *testing.B, done func() bool) {
	b.Helper()
	for range 60_000 {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	b.Fatal("condition not met within a minute")
}

// BenchmarkStep measures a call of Step with 328 nodes and no due actions.
func BenchmarkStep(b *testing.B) {
	const zones, perZone = 8, 41
	now := time.Now()
	s := committer.NewState(committer.Identity{Node: "zone-0-000", Incarnation: 1, Zone: "zone-0"})
	var rosters []garnetworks.Roster
	for z := range zones {
		r := garnetworks.Roster{Zone: garnetworks.ZoneID(fmt.Sprintf("zone-%d", z)), Version: 1}
		for i := range perZone {
			n := garnetworks.NodeInfo{ID: garnetworks.NodeID(fmt.Sprintf("zone-%d-%03d", z, i)), Incarnation: 1}
			r.Nodes = append(r.Nodes, n)
			s.ObserveReport(r.Zone, garnetworks.NodeReport{Node: n.ID, Incarnation: 1})
		}
		rosters = append(rosters, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.ObserveRosters(rosters)
		s.Step(now)
	}
}
