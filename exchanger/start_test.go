package exchanger_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/exchanger"
)

// knownWithin returns how long after now the node first knows the others' load, at most limit.
func (s *site) knownWithin(n *node, limit time.Duration) time.Duration {
	const step = 5 * time.Millisecond
	for after := time.Duration(0); after < limit; after += step {
		s.mu.Lock()
		known := n.known
		s.mu.Unlock()
		if known {
			return after
		}
		time.Sleep(step)
	}
	return limit
}

// restart starts the node at an address anew; it ends with ctx.
func (s *site) restart(ctx context.Context, address string) *node {
	s.mu.Lock()
	old := s.nodes[address]
	s.mu.Unlock()
	old.stop()
	n := s.newNode(address, old.running, old.info)
	n.running = 0
	s.mu.Lock()
	s.nodes[address] = n
	s.mu.Unlock()
	n.start(ctx)
	return n
}

// Guards against a head that has just started hiding the calls of its cell.
func TestHeadThatRestartsHidesNoCalls(t *testing.T) {
	tests := map[string]struct{ zones, perZone int }{
		"six nodes":       {3, 2},
		"eighty-one":      {3, 27},
		"cells of eleven": {2, 11},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newSite(ctx, test.zones, test.perZone)
				time.Sleep(3 * time.Second)
				address := exchanger.NewTopology(s.nodes["n1"].info, s.infos("n1")).Cell[0].Address
				s.mu.Lock()
				s.nodes[address].disconnected = true
				s.nodes[address].stop()
				s.mu.Unlock()
				time.Sleep(700 * time.Millisecond)
				head := s.restart(ctx, address)
				if took := s.knownWithin(head, 3*time.Second); took > 100*time.Millisecond {
					t.Errorf("the head knows the others' load %s after its start, want at most 100ms", took)
				}
				count := test.zones * test.perZone
				total := count * (count + 1) / 2
				for began := time.Now(); time.Since(began) < 3*time.Second && !t.Failed(); time.Sleep(50 * time.Millisecond) {
					s.mu.Lock()
					for other, n := range s.nodes {
						if !n.known || n.others < (total-n.running)*9/10-count {
							t.Errorf("%s: %s has %d calls of other nodes (known %t), want about %d", time.Since(began), other, n.others, n.known, total-n.running)
						}
					}
					s.mu.Unlock()
				}
			})
		})
	}
}

// Guards against waiting for a silent peer, or trusting one that has just started as well.
func TestStartingNodeAsksAnotherPeer(t *testing.T) {
	for name, test := range map[string]struct {
		fail   func(ctx context.Context, s *site, address string)
		within time.Duration
	}{
		"the head doesn't answer": {func(_ context.Context, s *site, address string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.nodes[address].disconnected = true
		}, 500 * time.Millisecond},
		"the head has just started": {func(ctx context.Context, s *site, address string) { s.restart(ctx, address) }, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newSite(ctx, 3, 9)
				time.Sleep(3 * time.Second)
				cell := exchanger.NewTopology(s.nodes["n1"].info, s.infos("n1")).Cell
				test.fail(ctx, s, cell[0].Address)
				n := s.restart(ctx, cell[5].Address)
				if took := s.knownWithin(n, 3*time.Second); took > test.within {
					t.Errorf("the node knows the others' load after %s, want at most %s", took, test.within)
				}
				s.mu.Lock()
				if n.others < 250 || n.takenOver != 1 {
					t.Errorf("the node has %d calls of other nodes and took over observations %d times, want about 350 and once", n.others, n.takenOver)
				}
				s.mu.Unlock()
			})
		})
	}
}

// Guards against unknown loads and messages that grow with the site when all nodes start at once.
func TestAllNodesStartAtOnce(t *testing.T) {
	for _, test := range []struct{ zones, perZone int }{{3, 2}, {3, 30}, {3, 329}} {
		count := test.zones * test.perZone
		t.Run(fmt.Sprint(count, " nodes"), func(t *testing.T) {
			if count > 500 && testing.Short() {
				t.Skip("takes seconds")
			}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newSite(ctx, test.zones, test.perZone)
				total := count * (count + 1) / 2
				var slowest time.Duration
				for began := time.Now(); time.Since(began) < time.Second && !t.Failed(); time.Sleep(50 * time.Millisecond) {
					unknown := 0
					s.mu.Lock()
					for address, n := range s.nodes {
						if n.known && n.others < (total-n.running)*9/10 {
							t.Errorf("after %s: %s has %d calls of other nodes, want %d", time.Since(began), address, n.others, total-n.running)
						}
						if !n.known {
							unknown++
						}
					}
					s.mu.Unlock()
					if unknown > 0 {
						slowest = time.Since(began)
					}
				}
				s.mu.Lock()
				calls := s.calls
				s.mu.Unlock()
				t.Logf("all nodes know the load after %s; %.1f messages for each node in the first second", slowest+50*time.Millisecond, float64(calls)/float64(count))
				if slowest > 800*time.Millisecond {
					t.Errorf("a node knows no load after %s", slowest)
				}
				if limit := 11 * count; calls > limit {
					t.Errorf("%d messages in the first second, want at most %d", calls, limit)
				}
			})
		})
	}
}

// partialPeer is a peer with a complete sum at first and partial ones later.
type partialPeer struct{ asked int }

func (p *partialPeer) Exchange(context.Context, string, *garnetworks.ExchangeRequest) (*garnetworks.ExchangeResponse, error) {
	p.asked++
	limits := []garnetworks.ServerLimit{{Instance: "i", CallsPerSecond: 5, AgeMS: 10}}
	return &garnetworks.ExchangeResponse{Partial: p.asked > 1, Report: garnetworks.LoadReport{Nodes: 1, Limits: limits}}, nil
}

// Guards against a last complete sum whose limits don't age, or that is used for over a second.
func TestLastSumAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		self, head := garnetworks.NodeInfo{ID: "b", Address: "b", Region: "r"}, garnetworks.NodeInfo{ID: "a", Address: "a", Region: "r"}
		if exchanger.NewTopology(self, []garnetworks.NodeInfo{head}).Cell[0].ID == self.ID {
			self, head = head, self
		}
		start := time.Now()
		var knownUntil time.Duration
		e := exchanger.New(exchanger.Options{
			Peers: &partialPeer{}, Self: func() garnetworks.NodeInfo { return self }, Nodes: func() []garnetworks.NodeInfo { return []garnetworks.NodeInfo{head} },
			Load: func() garnetworks.LoadReport { return garnetworks.LoadReport{} }, Suspect: func(garnetworks.GroupID) {},
			SetPeerLoad: func(others garnetworks.LoadReport, known bool) {
				if !known {
					return
				}
				knownUntil = time.Since(start)
				// The first exchange is 20 ms after the start.
				if want := 10 + (knownUntil - 20*time.Millisecond).Milliseconds(); others.Limits[0].AgeMS != want {
					t.Errorf("after %s the limit is %d ms old, want %d", knownUntil, others.Limits[0].AgeMS, want)
				}
			},
		})
		go func() { _ = e.Run(ctx) }()
		time.Sleep(3 * time.Second)
		cancel()
		synctest.Wait()
		if knownUntil < exchanger.StaleAfter/2 || knownUntil > exchanger.StaleAfter+100*time.Millisecond {
			t.Errorf("the sum is used for %s", knownUntil)
		}
	})
}

// Guards against a head that waits for each silent node of its cell before it exchanges.
func TestHeadDoesNotWaitForAllSilentNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newSite(ctx, 1, 30)
		cell := exchanger.NewTopology(s.nodes["n1"].info, s.infos("n1")).Cell
		for _, info := range cell[1:25] {
			s.mu.Lock()
			s.nodes[info.Address].disconnected = true
			s.nodes[info.Address].stop()
			s.mu.Unlock()
		}
		for _, info := range append(cell[25:], cell[0]) {
			if took := s.knownWithin(s.nodes[info.Address], 10*time.Second); took > 1500*time.Millisecond {
				t.Errorf("%s knows the others' load after %s, want at most 1.5s", info.Address, took)
			}
		}
	})
}
