package relayer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/exchanger"
	"github.com/garnetworks/garnetworks/relayer"
)

// Guards against a node that starts and asks only a relay that has ended.
func TestStartingNodeAsksTheOtherRelay(t *testing.T) {
	for _, fallbacks := range []int{4, 27, 327} {
		t.Run(fmt.Sprint(fallbacks, " other nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeAPI()
				s.put("servers/a", "1")
				n := &network{nodes: make(map[string]*relayer.Relayer), partitioned: map[string]bool{"dead": true}}
				ctx, stop := context.WithCancel(t.Context())
				var mu sync.Mutex
				var running sync.WaitGroup
				start := func(name string, relays ...string) map[string]string {
					contents := make(map[string]string)
					r := relayer.New(relayer.Options{
						Objects: s, Peers: n, Prefixes: []relayer.Prefix{{Key: prefix}}, LastResume: neverSuspended,
						Relays:    func(string) []string { return relays },
						Fallbacks: func() (near, far []string) { return make([]string, fallbacks), nil },
						Random:    func() float64 { return 0.9 },
					})
					n.add(name, r)
					running.Go(func() { follow(ctx, r, contents, &mu) })
					return contents
				}
				start("reader")
				time.Sleep(3 * time.Second)
				began, contents := time.Now(), start("starting", "dead", "reader")
				s.callsIn(0)
				for had := false; !had && time.Since(began) < 30*time.Second; time.Sleep(10 * time.Millisecond) {
					mu.Lock()
					had = contents["servers/a"] == "1"
					mu.Unlock()
				}
				if took := time.Since(began); took > 400*time.Millisecond {
					t.Errorf("the node has the contents after %s, want at most 400ms", took)
				}
				stop()
				running.Wait()
			})
		})
	}
}

// returningSite is a site all of whose nodes were killed; the nodes in gone don't return.
type returningSite struct {
	zones, perZone int
	// gone is the number of nodes of each zone that don't return, first in the order of preference.
	gone int
}

// knownAfter returns how long after the start the last node has read all prefixes, and the calls to
// the object API until then.
func (site returningSite) knownAfter(t *testing.T) (took time.Duration, calls int) {
	const discovery = 60 * time.Millisecond
	s := newFakeAPI()
	prefixes := []relayer.Prefix{{Key: "config/", ApplyTime: 2 * time.Second}, {Key: prefix, ApplyTime: 2 * time.Second}, {Key: "evacuations/", ApplyTime: 5 * time.Second}}
	n := &network{nodes: make(map[string]*relayer.Relayer), partitioned: make(map[string]bool)}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	start := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	var unread sync.WaitGroup
	var nodes []garnetworks.NodeInfo
	for i := range site.zones * site.perZone {
		name := fmt.Sprint("n", i)
		nodes = append(nodes, garnetworks.NodeInfo{ID: garnetworks.NodeID(name), Address: name, Zone: garnetworks.ZoneID(fmt.Sprint(i % site.zones)), Region: "r"})
	}
	for _, cell := range exchanger.Cells(nodes[0], nodes[1:]) {
		for _, gone := range cell[:site.gone] {
			n.partition(gone.Address)
		}
	}
	for i, self := range nodes {
		if n.partitioned[self.Address] {
			continue
		}
		upstream := exchanger.FindUpstream(self, slices.Delete(slices.Clone(nodes), i, i+1))
		factor := random.Float64()
		r := relayer.New(relayer.Options{
			Objects: s, Peers: n, Prefixes: prefixes, LastResume: neverSuspended, Random: func() float64 { return factor },
			Relays: func(string) []string {
				if time.Since(start) < discovery {
					return nil
				}
				return upstream.Relays
			},
			Fallbacks: func() (near, far []string) {
				if time.Since(start) < discovery {
					return nil, nil
				}
				return upstream.Near, upstream.Far
			},
		})
		n.add(self.Address, r)
		for _, p := range prefixes {
			unread.Add(1)
			running.Go(func() {
				var revision garnetworks.Revision
				for ctx.Err() == nil {
					var err error
					if revision == 0 {
						if _, revision, err = r.List(ctx, p.Key); err == nil {
							unread.Done()
						}
					} else {
						_, revision, err = r.Watch(ctx, p.Key, revision, 500*time.Millisecond)
					}
					if err != nil {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	unread.Wait()
	took = time.Since(start)
	s.mu.Lock()
	calls = s.calls
	s.mu.Unlock()
	stop()
	running.Wait()
	return took, calls
}

// Guards against late contents and too many calls of the object API when all nodes start at once.
func TestAllNodesReturnAtOnce(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{3, 2}, {3, 30}, {3, 329}} {
		for _, gone := range []int{0, 1} {
			count := size.zones * size.perZone
			t.Run(fmt.Sprintf("%d nodes, %d of each zone gone", count, gone), func(t *testing.T) {
				if count > 500 && testing.Short() {
					t.Skip("takes seconds")
				}
				synctest.Test(t, func(t *testing.T) {
					took, calls := returningSite{size.zones, size.perZone, gone}.knownAfter(t)
					t.Logf("all nodes have read all prefixes after %s, with %d calls to the object API", took, calls)
					// Nodes that wait for a reader which has ended read after 0.8 s.
					if limit := 200*time.Millisecond + time.Duration(gone)*time.Second; took > limit {
						t.Errorf("all nodes have read all prefixes after %s, want at most %s", took, limit)
					}
					if limit := 18 + count; calls > limit {
						t.Errorf("%d calls to the object API, want at most %d", calls, limit)
					}
				})
			})
		}
	}
}
