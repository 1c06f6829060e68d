package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// BenchmarkStep measures a step of an idle holder, with one domain per 25 instances and
// one second's worth of new statuses.
func BenchmarkStep(b *testing.B) {
	for _, size := range []int{25, 75, 150, 600} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			domains := size / 25
			groups := domains * 6
			s := newSim(1, 1, 1, domains, 25, true, simManifestOf(groups, size))
			for s.serving() < groups && s.ticks < 5000 && s.broken == "" {
				s.run(time.Second)
			}
			if s.serving() < groups {
				b.Fatalf("%d of %d groups serve %s", s.serving(), groups, s.broken)
			}
			n := s.nodes[0]
			b.ReportAllocs()
			b.ResetTimer()
			now := s.now
			for range b.N {
				now = now.Add(simTick)
				for id, w := range n.table {
					w.At = now
					n.table[id] = w
				}
				n.state.Step(Observation{Now: now, Term: n.state.Term, Manifest: s.manifest, Statuses: n.table})
			}
		})
	}
}

func simManifestOf(groups, size int) garnetworks.Manifest {
	m := simManifest(1, groups, garnetworks.Watts(size)*simWatts, true)
	m.Models[0].GroupSize = 4
	return m
}
