package runner

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/messenger"
)

// eightZones returns the first n of eight zones.
func eightZones(n int) []garnetworks.ZoneID {
	all := []garnetworks.ZoneID{"zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f", "zone-g", "zone-h"}
	return all[:n]
}

// costShapes grow up to the design size: 8 zones of 41 nodes and 75 engines.
var costShapes = []shape{
	{zones: eightZones(3), nodes: 2, engines: 22, on: 21, groups: 15},
	{zones: eightZones(4), nodes: 6, engines: 36, on: 34, groups: 32},
	{zones: eightZones(8), nodes: 6, engines: 36, on: 34, groups: 64},
	{zones: eightZones(8), nodes: 12, engines: 75, on: 72, groups: 144},
	{zones: eightZones(8), nodes: 24, engines: 75, on: 72, groups: 144},
	{zones: eightZones(8), nodes: 41, engines: 75, on: 72, groups: 144},
}

// cpuSeconds returns the user CPU time that this process has spent in Go code.
func cpuSeconds() float64 {
	sample := []metrics.Sample{{Name: "/cpu/classes/user:cpu-seconds"}}
	runtime.GC() // a collection updates the estimate
	metrics.Read(sample)
	return sample[0].Value.Float64()
}

// TestControlCost measures control traffic, CPU time, memory and object API calls of an idle
// site. It runs the first COST shapes and is skipped if COST is not set.
func TestControlCost(t *testing.T) {
	count := 0
	if _, err := fmt.Sscan(os.Getenv("COST"), &count); err != nil {
		t.Skip("COST is not set")
	}
	first := 0
	_, _ = fmt.Sscan(os.Getenv("COST_FIRST"), &first)
	for _, size := range costShapes[min(first, len(costShapes)):min(count, len(costShapes))] {
		size.cap = engineWatts * garnetworks.Watts(len(size.zones)*size.engines) * 2
		size.weight = 32 << 20
		t.Run(fmt.Sprintf("nodes=%d,engines=%d", len(size.zones)*size.nodes, len(size.zones)*size.engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureCost(t, size) })
		})
	}
}

const (
	costSettle = 30 * time.Second
	costWindow = 60 * time.Second
)

func measureCost(t *testing.T, size shape) {
	s := newVirtualSite(t, size)
	defer s.close()
	begun := time.Now()
	s.begin()
	formed := time.Since(begun)
	time.Sleep(costSettle)

	s.resetMethods()
	before, cpu, calls := s.traffic(), cpuSeconds(), s.objects.Counts()
	time.Sleep(costWindow)
	after, used, callsNow := s.traffic(), cpuSeconds()-cpu, s.objects.Counts()

	t.Log(methodTable(s, costWindow))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	nodes, seconds := float64(len(s.nodes)), costWindow.Seconds()
	var bytes, messages, most float64
	var worst garnetworks.NodeID
	for id := range s.nodes {
		sent := float64(after[id].BytesSent - before[id].BytesSent)
		received := float64(after[id].BytesReceived - before[id].BytesReceived)
		bytes += sent + received
		messages += float64(after[id].MessagesSent - before[id].MessagesSent)
		if sent+received > most {
			most, worst = sent+received, id
		}
	}
	t.Logf("groups formed in %v; per node: %.0f B/s (worst %s %.0f B/s), %.1f messages/s, %.2f %% of a core including its fakes, %.1f MB; site: %v calls to the object API in %v",
		formed, bytes/nodes/seconds, worst, most/seconds, messages/nodes/seconds, 100*used/nodes/seconds,
		float64(memory.HeapInuse)/nodes/1e6, difference(callsNow, calls), costWindow)
}

// resetMethods stores the current method counters as the start of a measurement.
func (s *virtualSite) resetMethods() {
	s.methodsBefore = s.methods()
}

// methods sums the calls of all nodes by method.
func (s *virtualSite) methods() map[string]messenger.MethodCount {
	sums := make(map[string]messenger.MethodCount)
	for _, n := range s.nodes {
		for name, m := range n.Runner.traffic.Methods() {
			sum := sums[name]
			sum.Calls += m.Calls
			sum.BytesSent += m.BytesSent
			sum.BytesReceived += m.BytesReceived
			sums[name] = sum
		}
	}
	return sums
}

// methodTable formats the cost of each method's calls per node.
func methodTable(s *virtualSite, window time.Duration) string {
	var b strings.Builder
	per := float64(len(s.nodes)) * window.Seconds()
	now := s.methods()
	for _, name := range slices.Sorted(maps.Keys(now)) {
		m, before := now[name], s.methodsBefore[name]
		fmt.Fprintf(&b, "\n  %-10s %6.2f calls/s, %7.0f B/s sent, %7.0f B/s received", name,
			float64(m.Calls-before.Calls)/per, float64(m.BytesSent-before.BytesSent)/per, float64(m.BytesReceived-before.BytesReceived)/per)
	}
	return b.String()
}

func difference(now, before map[string]uint64) map[string]uint64 {
	d := make(map[string]uint64, len(now))
	for method, n := range now {
		d[method] = n - before[method]
	}
	return d
}
