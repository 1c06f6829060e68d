package delegator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
)

func sharesOf(rates ...float64) []limiter.Share {
	var shares []limiter.Share
	for i, rate := range rates {
		shares = append(shares, limiter.Share{Node: garnetworks.NodeInfo{ID: garnetworks.NodeID(fmt.Sprintf("n-%d", i))}, CallsPerSecond: rate})
	}
	return shares
}

// Guards against offers that do not follow the shares (rule D4).
func TestOffersFollowTheShares(t *testing.T) {
	now := time.Unix(1000, 0)
	o := NewOffers(rand.New(rand.NewPCG(1, 2)).Float64)
	const offers = 4000
	got := make(map[garnetworks.NodeID]int)
	for range offers {
		node, ok := o.Choose(now, sharesOf(1, 3), 3)
		if !ok {
			t.Fatal("no node is chosen")
		}
		got[node.ID]++
	}
	if n := got["n-1"]; n < offers*70/100 || n > offers*80/100 {
		t.Errorf("the node with 3 of 4 parts got %d of %d offers", n, offers)
	}
}

// Guards against offers to nodes that have just said when they expect a place (rule D4).
func TestFullNodeGetsNoOffer(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]struct{ wait, after time.Duration }{
		"until its place":   {300 * time.Millisecond, 300 * time.Millisecond},
		"without a time":    {0, minFullTime},
		"with a long time":  {time.Hour, maxFullTime},
		"with a short time": {time.Millisecond, minFullTime},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o := NewOffers(func() float64 { return 0 })
			o.Untaken(now, "n-0", c.wait)
			if node, ok := o.Choose(now.Add(c.after-1), sharesOf(5), 3); ok {
				t.Errorf("%s gets an offer", node.ID)
			}
			if node, ok := o.Choose(now.Add(c.after-1), sharesOf(5, 1), 3); !ok || node.ID != "n-1" {
				t.Errorf("%q gets the offer", node.ID)
			}
			if _, ok := o.Choose(now.Add(c.after), sharesOf(5), 3); !ok {
				t.Error("the node gets no offer afterwards")
			}
		})
	}
}

// Guards against offers of all refused calls to the few chosen nodes of an overloaded site (rule D5).
func TestOffersWithoutTakersAreFew(t *testing.T) {
	const seconds, callsPerSecond = 60, 50
	for _, nodes := range []int{6, 89, 986} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			o, offers := NewOffers(rand.Float64), 0
			for i := range seconds * callsPerSecond {
				now := time.Unix(1000, 0).Add(time.Duration(i) * time.Second / callsPerSecond)
				// A different node refuses each time, so that only the budget limits the offers.
				if _, ok := o.Choose(now, sharesOf(1), nodes); ok {
					offers++
					o.Untaken(now, garnetworks.NodeID(fmt.Sprintf("other-%d", i)), 0)
				}
			}
			allowed := maxBudget + siteBudget*seconds/float64(nodes) + 1
			if float64(offers) > allowed {
				t.Errorf("%d offers, %.0f allowed", offers, allowed)
			}
			for range maxBudget {
				o.Took()
			}
			if _, ok := o.Choose(time.Unix(1000+seconds, 0), sharesOf(1), nodes); !ok {
				t.Error("no offer after others were taken")
			}
		})
	}
}
