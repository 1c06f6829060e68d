package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/placer"
)

// benchZone returns a zone of the given number of engines in domains of 15, with all
// of its groups serving.
func benchZone(b *testing.B, engines int) *testZone {
	groups := engines / 15 * 3
	w := newTestZone(engines/15, 15,
		modelSpec("a", 10, groups/4, groups*2/5), modelSpec("b", 5, groups/4, groups*2/5), modelSpec("c", 1, 1, groups/5))
	w.settle(b)
	return w
}

// BenchmarkPlan measures one plan by number of engines: at rest, after the loss of a
// member or a domain, after the limit is halved, and at the start of a zone.
func BenchmarkPlan(b *testing.B) {
	for _, engines := range []int{75, 150, 300, 600} {
		cases := map[string]func(w *testZone){
			"rest":   func(*testZone) {},
			"member": func(w *testZone) { w.Domains[0].Instances[1].Condition = garnetworks.ConditionLost },
			"domain": func(w *testZone) {
				for i := range w.Domains[0].Instances {
					w.Domains[0].Instances[i].Condition = garnetworks.ConditionLost
				}
			},
			"cap": func(w *testZone) { w.Limit /= 2 },
		}
		for _, name := range []string{"rest", "member", "domain", "cap"} {
			b.Run(fmt.Sprintf("%s/engines=%d", name, engines), func(b *testing.B) {
				w := benchZone(b, engines)
				cases[name](w)
				w.Now = w.Now.Add(time.Second)
				b.ReportAllocs()
				for b.Loop() {
					placer.Plan(w.Input)
				}
			})
		}
		b.Run(fmt.Sprintf("start/engines=%d", engines), func(b *testing.B) {
			w := benchZone(b, engines)
			w.State = placer.State{}
			for i := range w.Domains {
				w.Domains[i].Groups = nil
				for j := range w.Domains[i].Instances {
					w.Domains[i].Instances[j].Power = garnetworks.PowerOff
					w.Domains[i].Instances[j].Group = ""
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				placer.Plan(w.Input)
			}
		})
	}
}
