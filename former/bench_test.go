package former_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/former"
)

// BenchmarkPlan measures one plan where nothing has changed, and where one engine in a hundred
// was just lost.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ domains, each int }{{6, 11}, {6, 27}, {25, 35}, {57, 35}} {
		for name, lost := range map[string]int{"calm": 0, "losses": 100} {
			b.Run(fmt.Sprintf("%d/%s", size.domains*size.each, name), func(b *testing.B) {
				w := newSimulation(size.domains, size.each)
				for range 40 {
					w.refreshView()
					w.step(time.Second)
				}
				n := 0
				for _, e := range w.engines {
					if n++; lost > 0 && n%lost == 0 {
						e.dead = true
					}
				}
				w.refreshView()
				in := former.Input{Servers: w.view, Service: "llm", Profile: w.profile, Term: w.term, Loads: 100}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					w.planner.Plan(w.now, in)
				}
			})
		}
	}
}
