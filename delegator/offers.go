package delegator

import (
	"maps"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
)

// Offers chooses the nodes to which calls are offered that this node has no share for. It is not
// safe for concurrent use.
type Offers struct {
	random func() float64
	// full holds until when nodes get no offer.
	full map[garnetworks.NodeID]time.Time
	// budget is the number of offers that may fail, at budgetAt.
	budget   float64
	budgetAt time.Time
}

// NewOffers returns offers with the whole budget; random must return values in [0, 1).
func NewOffers(random func() float64) *Offers {
	return &Offers{random: random, full: make(map[garnetworks.NodeID]time.Time), budget: maxBudget}
}

// Choose returns the node that gets the next offer (rule D4), if the budget of a site with so many
// nodes allows one (rule D5).
func (o *Offers) Choose(now time.Time, shares []limiter.Share, nodes int) (garnetworks.NodeInfo, bool) {
	if !o.budgetAt.IsZero() {
		o.restore(now.Sub(o.budgetAt).Seconds() * siteBudget / float64(max(1, nodes)))
	}
	o.budgetAt = now
	if o.budget < 1 {
		return garnetworks.NodeInfo{}, false
	}
	best, total := -1, 0.0
	for i := range shares {
		if now.Before(o.full[shares[i].Node.ID]) {
			continue
		}
		total += shares[i].CallsPerSecond
		if o.random()*total < shares[i].CallsPerSecond {
			best = i
		}
	}
	if best < 0 {
		return garnetworks.NodeInfo{}, false
	}
	return shares[best].Node, true
}

func (o *Offers) restore(offers float64) { o.budget = min(maxBudget, o.budget+offers) }

// Took records that a node took a call.
func (o *Offers) Took() { o.restore(takenBudget) }

// Untaken records that a node could not take a call, and expects a place after a time.
func (o *Offers) Untaken(now time.Time, node garnetworks.NodeID, wait time.Duration) {
	o.budget = max(0, o.budget-1)
	maps.DeleteFunc(o.full, func(_ garnetworks.NodeID, until time.Time) bool { return !now.Before(until) })
	o.full[node] = now.Add(min(max(wait, minFullTime), maxFullTime))
}
