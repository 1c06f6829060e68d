package warmer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
	"github.com/garnetworks/garnetworks/warmer"
)

const (
	// perSecond is the bound of calls to a cold server in any second.
	perSecond = 27.5
	// coldTime is how long servers are cold.
	coldTime = 3 * time.Second
)

var (
	start  = time.Unix(1000, 0)
	server = garnetworks.Incarnation{Instance: "i-1", StartMS: 1}
)

func nodes(count int) []garnetworks.NodeInfo {
	list := make([]garnetworks.NodeInfo, count)
	for i := range list {
		list[i].ID = garnetworks.NodeID(fmt.Sprintf("front-%d", i))
	}
	return list
}

// busiestSecond returns the most calls in any second at a cold server, if each node has calls
// waiting all the time and knows only the nodes of its own view.
func busiestSecond(views [][]garnetworks.NodeInfo) int {
	const tick = 50 * time.Millisecond
	var calls []time.Time
	for _, view := range views {
		for i, n := range view {
			limit := limiter.Limit{Until: start.Add(coldTime), Interval: warmer.Interval(n.ID, view, server, perSecond)}
			sent := make(limiter.Calls)
			offset := time.Duration(i) * time.Millisecond
			for now := start.Add(offset); limit.Active(now); now = now.Add(tick) {
				if sent.Allows(now, server, limit) {
					sent.Record(now, server, limit)
					calls = append(calls, now)
				}
			}
		}
	}
	most := 0
	for _, from := range calls {
		n := 0
		for _, at := range calls {
			if !at.Before(from) && at.Sub(from) <= time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a cold server that gets more calls than it takes because many nodes have calls
// waiting, at any number of nodes and in partitions.
func TestColdServerGetsFewCallsFromAllNodesTogether(t *testing.T) {
	for _, count := range []int{6, 69, 89, 986, 1972} {
		for views := 1; views <= limiter.MaxViews; views++ {
			t.Run(fmt.Sprintf("%d nodes in %d views", count, views), func(t *testing.T) {
				all := nodes(count)
				var parts [][]garnetworks.NodeInfo
				for v := range views {
					parts = append(parts, all[v*count/views:(v+1)*count/views])
				}
				got := busiestSecond(parts)
				t.Logf("%d calls in the busiest second", got)
				if got == 0 || float64(got) > perSecond {
					t.Errorf("%d calls in the busiest second, %g allowed", got, perSecond)
				}
			})
		}
	}
}

// Guards against each of many nodes that have just started, and know no other, calling a cold
// server.
func TestNodeThatKnowsNoOtherSendsNothing(t *testing.T) {
	if got := warmer.Interval("front-1", nil, server, perSecond); got != 0 {
		t.Errorf("a node alone sends a call each %s", got)
	}
}

// Guards against a warm server that gets no calls.
func TestWarmServerIsNotLimited(t *testing.T) {
	cases := map[string]struct {
		limit limiter.Limit
		at    time.Duration
		want  bool
	}{
		"no limit":              {limiter.Limit{}, 0, true},
		"cold, not chosen":      {limiter.Limit{Until: start.Add(coldTime)}, 0, false},
		"warm again":            {limiter.Limit{Until: start.Add(coldTime)}, coldTime, true},
		"chosen, just called":   {limiter.Limit{Until: start.Add(coldTime), Interval: time.Second}, 900 * time.Millisecond, false},
		"chosen, called before": {limiter.Limit{Until: start.Add(coldTime), Interval: time.Second}, time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := c.limit.Allows(start.Add(c.at), start); got != c.want {
				t.Errorf("a call is allowed: %t", got)
			}
		})
	}
}
