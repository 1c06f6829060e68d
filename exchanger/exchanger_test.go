package exchanger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/exchanger"
)

// site is a set of nodes that call each other.
type site struct {
	mu    sync.Mutex
	nodes map[string]*node
	calls int
}

type node struct {
	*exchanger.Exchanger
	info     garnetworks.NodeInfo
	running  int
	others   int
	known    bool
	suspects []garnetworks.GroupID
	// reportsLost are the lost groups that the node reports, lost those that it receives.
	reportsLost, lost []garnetworks.GroupID
	disconnected      bool
	// stop ends the node's process.
	stop context.CancelFunc
	// takenOver counts the models of which the node took over observations.
	takenOver int
}

func (s *site) Exchange(ctx context.Context, address string, request *garnetworks.ExchangeRequest) (*garnetworks.ExchangeResponse, error) {
	s.mu.Lock()
	s.calls++
	n := s.nodes[address]
	disconnected := n == nil || n.disconnected
	s.mu.Unlock()
	if disconnected {
		<-ctx.Done()
		return nil, garnetworks.Errorf(garnetworks.KindUnreachable, "disconnected")
	}
	return n.Exchange(ctx, request)
}

func (s *site) infos(except string) []garnetworks.NodeInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []garnetworks.NodeInfo
	for address, n := range s.nodes {
		if address != except {
			list = append(list, n.info)
		}
	}
	return list
}

func (n *node) start(ctx context.Context) {
	ctx, n.stop = context.WithCancel(ctx)
	go func() { _ = n.Run(ctx) }()
}

// newNode returns a node of the site with running calls at group g.
func (s *site) newNode(address string, running int, info garnetworks.NodeInfo) *node {
	n := &node{running: running, info: info}
	n.Exchanger = exchanger.New(exchanger.Options{
		Peers: s,
		Self:  func() garnetworks.NodeInfo { return n.info },
		Nodes: func() []garnetworks.NodeInfo { return s.infos(address) },
		Load: func() garnetworks.LoadReport {
			s.mu.Lock()
			defer s.mu.Unlock()
			return garnetworks.LoadReport{Groups: []garnetworks.GroupLoad{{Group: "g", Running: n.running}}, Lost: n.reportsLost}
		},
		SetPeerLoad: func(others garnetworks.LoadReport, known bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			n.others, n.known, n.lost = 0, known, others.Lost
			for _, g := range others.Groups {
				n.others += g.Running
			}
		},
		Suspect: func(g garnetworks.GroupID) {
			s.mu.Lock()
			defer s.mu.Unlock()
			n.suspects = append(n.suspects, g)
		},
		Observations: func() garnetworks.Observations {
			return garnetworks.Observations{Models: []garnetworks.ModelObservations{{Model: "m", FirstEventMS: 40}}}
		},
		TakeOver: func(_ string, o garnetworks.Observations) {
			s.mu.Lock()
			defer s.mu.Unlock()
			n.takenOver += len(o.Models)
		},
	})
	return n
}

// newSite starts nodes. Each has as many calls at group g as its number.
func newSite(ctx context.Context, zones, perZone int) *site {
	s := &site{nodes: make(map[string]*node)}
	number := 0
	for z := range zones {
		for range perZone {
			number++
			address := fmt.Sprintf("n%d", number)
			s.nodes[address] = s.newNode(address, number, garnetworks.NodeInfo{
				ID: garnetworks.NodeID(address), Address: address, Zone: garnetworks.ZoneID(fmt.Sprint(z)), Region: "r",
			})
		}
	}
	for _, n := range s.nodes {
		n.start(ctx)
	}
	return s
}

// Failure: a node that counts other nodes' calls twice, or misses some, sends too few or too
// many calls to a group.
func TestEachNodeKnowsTheOthersCalls(t *testing.T) {
	cases := map[string]struct{ zones, perZone int }{
		"six nodes, one cell":       {3, 2},
		"thirty nodes, three cells": {3, 10},
		"one node":                  {1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := newSite(ctx, c.zones, c.perZone)
				time.Sleep(2 * time.Second)
				synctest.Wait()
				count := c.zones * c.perZone
				total := count * (count + 1) / 2
				s.mu.Lock()
				for address, n := range s.nodes {
					if !n.known || n.others != total-n.running {
						t.Errorf("%s has %d calls of other nodes (known %t), want %d", address, n.others, n.known, total-n.running)
					}
				}
				s.calls = 0
				s.mu.Unlock()
				const span = 3 * time.Second
				time.Sleep(span)
				s.mu.Lock()
				if limit := (count + c.zones*c.zones) * int(span/exchanger.Interval+1); s.calls > limit {
					t.Errorf("%d calls in %s, want at most %d", s.calls, span, limit)
				}
				s.mu.Unlock()
				cancel()
				synctest.Wait()
			})
		})
	}
}

// After the loss of the first node of a cell, the others report to the next one and no longer
// count the lost node's calls.
func TestFirstNodeIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(ctx, 1, 9)
		time.Sleep(time.Second)
		cell := exchanger.NewTopology(s.nodes["n1"].info, s.infos("n1")).Cell
		first := cell[0].Address
		s.mu.Lock()
		s.nodes[first].disconnected = true
		s.mu.Unlock()
		time.Sleep(4 * time.Second)
		s.mu.Lock()
		for address, n := range s.nodes {
			if want := 45 - n.running - s.nodes[first].running; address != first && n.others != want {
				t.Errorf("%s has %d calls of other nodes, want %d", address, n.others, want)
			}
		}
		s.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

// A suspicion of a stalled group must reach all nodes, since the lease holder may have no calls
// there.
func TestSuspicionReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(ctx, 3, 10)
		time.Sleep(time.Second)
		s.nodes["n7"].Exchanger.Suspect("g")
		time.Sleep(time.Second)
		s.mu.Lock()
		for address, n := range s.nodes {
			if address != "n7" && len(n.suspects) == 0 {
				t.Errorf("%s did not receive the suspicion", address)
			}
		}
		s.mu.Unlock()
		cancel()
		synctest.Wait()
	})
}

// Lost groups reported by one node must reach all others within half a second, without
// duplicates, and disappear again once they are no longer reported.
func TestLostGroupsAreKnownToAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := newSite(ctx, 3, 10)
		time.Sleep(time.Second)
		for _, reportsLost := range [][]garnetworks.GroupID{{"g", "h"}, nil} {
			s.mu.Lock()
			s.nodes["n7"].reportsLost = reportsLost
			s.mu.Unlock()
			time.Sleep(500 * time.Millisecond)
			s.mu.Lock()
			for address, n := range s.nodes {
				if address != "n7" && len(n.lost) != len(reportsLost) {
					t.Errorf("%s has the lost groups %v, want %v", address, n.lost, reportsLost)
				}
			}
			s.mu.Unlock()
		}
		cancel()
		synctest.Wait()
	})
}
