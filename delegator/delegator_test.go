package delegator

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Guards against links that count as down because a few of many servers are.
func TestLinksAreDownWithoutAnyAnswer(t *testing.T) {
	now := time.Unix(1000, 0)
	fail := func(servers ...garnetworks.InstanceID) func(*Links) {
		return func(l *Links) {
			for _, s := range servers {
				l.Failed(now, "svc", s)
			}
		}
	}
	answer := func(l *Links) { l.Answered("svc") }
	cases := map[string]struct {
		steps   []func(*Links)
		servers int
		want    bool
	}{
		"nothing is known":           {servers: 3},
		"one of many":                {steps: []func(*Links){fail("a")}, servers: 50},
		"one server again and again": {steps: []func(*Links){fail("a", "a", "a", "a")}, servers: 50},
		"three of many":              {steps: []func(*Links){fail("a", "b", "c")}, servers: 50, want: true},
		"both of two":                {steps: []func(*Links){fail("a", "b")}, servers: 2, want: true},
		"an answer between":          {steps: []func(*Links){fail("a", "b"), answer, fail("c")}, servers: 3},
		"an answer after":            {steps: []func(*Links){fail("a", "b", "c"), answer}, servers: 3},
		"no server is listed":        {servers: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewLinks()
			for _, step := range c.steps {
				step(l)
			}
			if got := l.Down("svc", c.servers); got != c.want {
				t.Errorf("down: %t, want %t", got, c.want)
			}
			if l.Down("other", c.servers) {
				t.Error("another service's links are down")
			}
		})
	}
}

// Guards against down links that are never tried again, or all the time.
func TestDownLinksAreTriedAtIntervals(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLinks()
	l.Failed(now, "svc", "a")
	for after, want := range map[time.Duration]int{0: 0, TrialInterval - 1: 0} {
		if due := l.Due(now.Add(after)); len(due) != want {
			t.Errorf("%d services are due after %s, want %d", len(due), after, want)
		}
	}
	if due := l.Due(now.Add(TrialInterval)); len(due) != 1 {
		t.Errorf("%d services are due, want 1", len(due))
	}
	if due := l.Due(now.Add(TrialInterval)); len(due) != 0 {
		t.Errorf("%d services are due twice", len(due))
	}
}

func nodesOf(perZone int, zones ...garnetworks.ZoneID) []garnetworks.NodeInfo {
	var nodes []garnetworks.NodeInfo
	for _, zone := range zones {
		for i := range perZone {
			nodes = append(nodes, garnetworks.NodeInfo{ID: garnetworks.NodeID(fmt.Sprintf("%s-%d", zone, i)), Zone: zone})
		}
	}
	return nodes
}

// Guards against calls offered to the nodes of a zone that is partitioned as a whole.
func TestDelegatesLeaveAPartitionedZone(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDelegates("a", func() float64 { return 0.5 })
	nodes := nodesOf(100, "a", "b")
	offers := 0
	for {
		n, ok := d.Choose(now, nodes)
		if !ok {
			t.Fatal("no node is chosen")
		}
		if n.Zone == "b" {
			break
		}
		d.Avoid(now, n.ID)
		offers++
	}
	if offers != avoidZoneNodes {
		t.Errorf("%d nodes of the zone were asked, want %d", offers, avoidZoneNodes)
	}
	if n, _ := d.Choose(now.Add(avoidTime), nodes); n.Zone != "a" {
		t.Errorf("node %s is chosen after the partition, want one of the own zone", n.ID)
	}
}

// Guards against a search among many partitioned nodes that begins anew with each call.
func TestNodeThatTookACallIsAskedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDelegates("a", func() float64 { return 0.5 })
	nodes := nodesOf(10, "a", "b")
	d.Avoid(now, "a-0")
	d.Took(now, "b-7")
	if n, ok := d.Choose(now, nodes); !ok || n.ID != "b-7" {
		t.Errorf("node %s is chosen, want b-7", n.ID)
	}
	d.Avoid(now, "b-7")
	if n, ok := d.Choose(now, nodes); !ok || n.ID == "b-7" {
		t.Errorf("node %s is chosen, which could not take a call", n.ID)
	}
}

// Guards against calls offered to all nodes again and again when none reaches a server.
func TestNoNodeIsChosenWhenAllAreAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	d := NewDelegates("a", func() float64 { return 0.5 })
	nodes := nodesOf(2, "a", "b")
	for i := range nodes {
		d.Avoid(now, nodes[i].ID)
	}
	if n, ok := d.Choose(now, nodes); ok {
		t.Errorf("node %s is chosen", n.ID)
	}
}
