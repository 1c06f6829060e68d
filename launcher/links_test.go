package launcher_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// cutDetectionTime is how long a node may take to serve calls although it reaches no server.
const cutDetectionTime = 3 * time.Second

// Guards against a node that refuses calls because it alone reaches no backend server.
func TestNodeWithoutLinksToServersServes(t *testing.T) {
	for _, cut := range impersonator.LinkCuts() {
		t.Run(string(cut), func(t *testing.T) {
			s := newSite(t, 6)
			nodes := []*site{s, s.join("n2"), s.join("n3")}
			targets := map[string]string{streamURL: http.MethodPost, onceURL: http.MethodPost, safeURL: http.MethodGet}
			for _, n := range nodes {
				for target := range targets {
					n.awaitSuccess(target)
				}
			}
			without := nodes[:2]
			for _, n := range without {
				n.links.Cut(cut)
			}
			began := time.Now()
			for time.Since(began) < cutDetectionTime {
				for _, n := range without {
					for target, method := range targets {
						n.call(method, target, nil)
					}
				}
			}
			const calls = 10
			for i, n := range nodes {
				for target, method := range targets {
					served := 0
					for range calls {
						if a := n.call(method, target, nil); a.err == nil && a.status == http.StatusOK {
							served++
						}
					}
					if served < calls*2/3 {
						t.Errorf("node %d served %d of %d calls to %s", i+1, served, calls, target)
					}
				}
			}
			for _, n := range without {
				n.links.Cut("")
				for target := range targets {
					n.awaitSuccess(target)
				}
			}
			ran := make(map[string]int)
			for _, b := range s.services {
				for _, run := range b.Runs() {
					if ran[run.ID]++; run.Target == onceURL && ran[run.ID] > 1 {
						t.Errorf("call %s ran %d times", run.ID, ran[run.ID])
					}
				}
			}
		})
	}
}
