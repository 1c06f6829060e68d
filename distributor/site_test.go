package distributor_test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/distributor"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/recorder"
	"github.com/garnetworks/garnetworks/tracker"
)

// entry is an entry node's peer-to-peer components over real connections.
type entry struct {
	garnetworks.PeerHandler
	info        garnetworks.NodeInfo
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	traffic     *messenger.Traffic
	cancel      context.CancelFunc
	group       sync.WaitGroup
	applied     chan garnetworks.Update
}

func (e *entry) Heartbeat(_ context.Context, q *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	return e.tracker.HandleHeartbeat(q)
}

func (e *entry) Distribute(_ context.Context, q *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	return e.distributor.Handle(q), nil
}

func (e *entry) Fetch(_ context.Context, q *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	return e.distributor.HandleFetch(q), nil
}

// entrySite is a site of entry nodes in one process.
type entrySite struct {
	objects *faker.Objects
	entries []*entry
}

// startSite starts nodes in zones of three regions and waits until each knows all
// others.
func startSite(tb testing.TB, nodes, zones int) *entrySite {
	s := &entrySite{objects: faker.NewObjects(faker.ObjectsOptions{})}
	var listeners []net.Listener
	var seeds []string
	for range nodes {
		l, err := messenger.Listen("127.0.0.1:0", nil, false)
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, l)
		if len(seeds) < 3 {
			seeds = append(seeds, l.Addr().String())
		}
	}
	for i, l := range listeners {
		s.entries = append(s.entries, startEntry(tb, s.objects, l, seeds, i, zones))
	}
	tb.Cleanup(s.close)
	s.await(tb)
	return s
}

// awaitTimeout ends a test that would otherwise hang.
const awaitTimeout = 2 * time.Minute

// await waits until all nodes know each other and hold the same values.
func (s *entrySite) await(tb testing.TB) {
	tb.Helper()
	for began := time.Now(); !s.complete(); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > awaitTimeout {
			tb.Fatal("the nodes do not converge")
		}
	}
}

func startEntry(tb testing.TB, objects garnetworks.ObjectAPI, l net.Listener, seeds []string, i, zones int) *entry {
	zone := i % zones
	e := &entry{
		info: garnetworks.NodeInfo{
			ID: garnetworks.NodeID(fmt.Sprintf("entry-%03d", i)), Incarnation: uint64(time.Now().UnixNano()),
			Address: l.Addr().String(), Zone: garnetworks.ZoneID(fmt.Sprintf("zone-%d", zone)),
			Region: garnetworks.RegionID(fmt.Sprintf("region-%d", zone%3)), Ready: true, Program: "0.1.0",
		},
		traffic: new(messenger.Traffic),
		applied: make(chan garnetworks.Update, 1024),
	}
	rec := recorder.New(e.info.ID, 0)
	client := messenger.NewClient(messenger.ClientOptions{Clock: rec, Traffic: e.traffic, Recorder: rec})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = func() { cancel(); client.Close() }
	e.distributor = distributor.New(distributor.Options{
		Self: e.info, Peers: client,
		Nodes: func() []garnetworks.NodeInfo { return e.tracker.Peers() },
		Apply: func(u garnetworks.Update) {
			e.tracker.Apply(ctx, u)
			if u.Topic == garnetworks.TopicManifest {
				e.applied <- u
			}
		},
	})
	e.tracker = tracker.New(tracker.Options{
		Self: e.info, Seeds: seeds, Objects: objects, Peers: client, Recorder: rec,
		Publish: e.distributor.Publish, Hold: e.distributor.Hold, Piggybackers: []tracker.Piggybacker{e.distributor},
	})
	server, err := messenger.NewServer(messenger.ServerOptions{Handler: e, Clock: rec, Traffic: e.traffic})
	if err != nil {
		tb.Fatal(err)
	}
	e.group.Go(func() { _ = server.Serve(ctx, l) })
	e.group.Go(func() { e.distributor.Run(ctx) })
	e.group.Go(func() { e.tracker.Run(ctx) })
	return e
}

func (s *entrySite) close() {
	for _, e := range s.entries {
		e.cancel()
	}
	for _, e := range s.entries {
		e.group.Wait()
	}
}

// complete reports whether all nodes know each other and hold the same values.
func (s *entrySite) complete() bool {
	for _, e := range s.entries {
		if len(e.tracker.Nodes()) != len(s.entries) || e.distributor.Digest() != s.entries[0].distributor.Digest() {
			return false
		}
	}
	return true
}

// publish publishes at one node and waits until all nodes have applied the update.
func (s *entrySite) publish(tb testing.TB, from int, u garnetworks.Update) time.Duration {
	began := time.Now()
	if err := s.entries[from].distributor.Publish(u); err != nil {
		tb.Fatal(err)
	}
	for _, e := range s.entries {
		for got := range e.applied {
			if got.Version == u.Version {
				break
			}
		}
	}
	return time.Since(began)
}

func (s *entrySite) traffic() (sum messenger.TrafficCount) {
	for _, e := range s.entries {
		c := e.traffic.Count()
		sum.MessagesSent += c.MessagesSent
		sum.BytesSent += c.BytesSent
		sum.BytesReceived += c.BytesReceived
		sum.Dials += c.Dials
	}
	return sum
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestSite checks over real connections that nodes discover each other, that updates
// reach all and a new node, and that a stopped node leaves the roster.
func TestSite(t *testing.T) {
	s := startSite(t, 6, 3)
	s.publish(t, 4, garnetworks.Update{Topic: garnetworks.TopicManifest, Version: garnetworks.UpdateVersion{Sequence: 3}, Body: []byte("three")})

	l, err := messenger.Listen("127.0.0.1:0", nil, false)
	if err != nil {
		t.Fatal(err)
	}
	joining := startEntry(t, s.objects, l, []string{s.entries[1].info.Address}, 6, 3)
	s.entries = append(s.entries, joining)
	if got := <-joining.applied; string(got.Body) != "three" {
		t.Errorf("the new node got %q", got.Body)
	}
	s.await(t)

	joining.tracker.Leave(t.Context())
	joining.cancel()
	joining.group.Wait()
	s.entries = s.entries[:6]
	s.await(t)
}

// BenchmarkSite measures the time from publishing a 4 KB update to its application
// at the last node, and the steady-state cost of a node without updates.
func BenchmarkSite(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{6, 3}, {24, 4}, {96, 8}, {330, 8}} {
		b.Run(fmt.Sprintf("nodes=%d", size.nodes), func(b *testing.B) {
			s := startSite(b, size.nodes, size.zones)
			time.Sleep(8 * time.Second)
			report := measureSteady(b, s)
			measureUpdates(b, s)
			report()
		})
	}
}

// BenchmarkZoneStatus measures what a status update of 150 bytes from each zone each
// second costs a node, heartbeats included.
func BenchmarkZoneStatus(b *testing.B) {
	for _, size := range []struct{ nodes, zones int }{{6, 3}, {96, 8}, {330, 8}} {
		b.Run(fmt.Sprintf("nodes=%d/zones=%d", size.nodes, size.zones), func(b *testing.B) {
			s := startSite(b, size.nodes, size.zones)
			ctx, cancel := context.WithCancel(b.Context())
			var group sync.WaitGroup
			for zone := range size.zones {
				group.Go(func() { s.publishStatus(ctx, zone) })
			}
			time.Sleep(8 * time.Second)
			report := measureSteady(b, s)
			cancel()
			group.Wait()
			for b.Loop() {
				continue
			}
			report()
		})
	}
}

// publishStatus publishes a zone's status updates at its first node.
func (s *entrySite) publishStatus(ctx context.Context, zone int) {
	body := make([]byte, 150)
	for ctx.Err() == nil {
		_, _ = rand.Read(body)
		_ = s.entries[zone].distributor.Publish(garnetworks.Update{
			Topic:   garnetworks.TopicZoneStatus + garnetworks.Topic(s.entries[zone].info.Zone),
			Version: garnetworks.UpdateVersion{Term: 3, Sequence: uint64(time.Now().UnixMilli())},
			Body:    slices.Clone(body),
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// measureSteady measures the steady state and returns a function that reports the
// figures, because the start of a benchmark's loop discards earlier ones.
func measureSteady(b *testing.B, s *entrySite) (report func()) {
	const window = 10 * time.Second
	traffic, processor, calls := s.traffic(), processorTime(), total(s.objects.Counts())
	time.Sleep(window)
	after := s.traffic()
	used, called := processorTime()-processor, total(s.objects.Counts())-calls
	nodeSeconds := float64(len(s.entries)) * window.Seconds()
	return func() {
		b.ReportMetric(float64(after.MessagesSent-traffic.MessagesSent)/nodeSeconds, "messages/s")
		b.ReportMetric(float64(after.BytesSent-traffic.BytesSent)/nodeSeconds, "B-sent/s")
		b.ReportMetric(100*used.Seconds()/nodeSeconds, "%core")
		b.ReportMetric(float64(called)/window.Seconds(), "object-calls/s")
	}
}

func total(counts map[string]uint64) (sum uint64) {
	for _, c := range counts {
		sum += c
	}
	return sum
}

func measureUpdates(b *testing.B, s *entrySite) {
	// Random bytes do not compress, so the byte counts are an upper bound.
	body := make([]byte, 4096)
	_, _ = rand.Read(body)
	before, processor := s.traffic(), processorTime()
	var times []time.Duration
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		copy(body, fmt.Sprintf("%d", sequence))
		u := garnetworks.Update{Topic: garnetworks.TopicManifest, Version: garnetworks.UpdateVersion{Sequence: sequence}, Body: slices.Clone(body)}
		times = append(times, s.publish(b, int(sequence)%len(s.entries), u))
	}
	after := s.traffic()
	slices.Sort(times)
	updates := float64(len(times)) * float64(len(s.entries))
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "ms-median")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "ms-slowest")
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/updates, "B-sent/update")
	b.ReportMetric(float64(after.MessagesSent-before.MessagesSent)/updates, "messages/update")
	b.ReportMetric(float64((processorTime()-processor).Microseconds())/updates, "us-core/update")
}
