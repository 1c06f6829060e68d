package scheduler

import (
	"slices"
	"time"
)

const (
	// statedTimes is the number of the last stated times that are kept for a route, and
	// maxRoutes the number of routes: 1 kB for each.
	statedTimes = 128
	maxRoutes   = 64
	// minStatedTimes is the number of stated times from which a route's usual ones are known.
	minStatedTimes = 20
	// stateInterval is the number of new stated times after which the usual ones are computed
	// again.
	stateInterval = 8
	// maxReturnedFraction is the fraction of a route's last comparedCalls calls that can have
	// returned: more than half where those that other nodes rejected come to a node with few
	// calls. Beyond it, the callers of the route state less than before.
	maxReturnedFraction = 0.9
	comparedCalls       = 128
	// statedMargin covers the time that a request needs to arrive.
	statedMargin = 50 * time.Millisecond
)

// Arrivals learns for each route how long its callers say that they will wait when they call for
// the first time, and recognizes by it those that return after a rejection (Q13). A caller that
// returns states less by the time that has passed since. Callers state different times from the
// start, and a return comes to another node, so a single call shows only that it states less than
// callers do at first.
type Arrivals struct {
	routes map[string]*statedTimesOfRoute
}

// statedTimesOfRoute is a ring of stated times, and what follows from them.
type statedTimesOfRoute struct {
	times []time.Duration
	next  int
	// since is the number of times recorded since median and lowest were computed.
	since int
	// calls and returned are the numbers of calls, and of those taken for returns, in the current
	// one of the periods after which they are compared.
	calls, returned int
	// median and lowest are the usual and the lowest usual time; 0 while unknown.
	median, lowest time.Duration
}

// NewArrivals returns Arrivals that know no routes.
func NewArrivals() *Arrivals { return &Arrivals{routes: make(map[string]*statedTimesOfRoute)} }

// Arrival is what is known of a call's arrival.
type Arrival struct {
	// FirstArrived is when the caller first sent a call that returned; zero for another one.
	FirstArrived time.Time
	// RecognizedAfter is the time from the arrival after which a return will be recognized.
	RecognizedAfter time.Duration
}

// Describe returns what the stated deadline shows of a call that arrives at a route. rejecting says
// that calls of the model are being rejected: nothing is learned then, since some of the calls that
// arrive have returned.
func (a *Arrivals) Describe(rejecting bool, route string, arrived, deadline time.Time) Arrival {
	stated := deadline.Sub(arrived)
	r := a.routes[route]
	if r == nil {
		if len(a.routes) >= maxRoutes {
			clear(a.routes)
		}
		r = &statedTimesOfRoute{}
		a.routes[route] = r
	}
	var result Arrival
	if r.lowest > 0 {
		result.RecognizedAfter = max(0, stated-r.lowest)
	}
	if stated < r.lowest {
		result.FirstArrived = arrived.Add(stated - r.median)
		r.returned++
	}
	if !rejecting {
		r.record(stated)
	}
	r.compare()
	return result
}

// compare forgets the stated times if more calls seem to have returned than can have.
func (r *statedTimesOfRoute) compare() {
	if r.calls++; r.calls < comparedCalls {
		return
	}
	if float64(r.returned) > maxReturnedFraction*comparedCalls {
		*r = statedTimesOfRoute{}
	}
	r.calls, r.returned = 0, 0
}

func (r *statedTimesOfRoute) record(stated time.Duration) {
	if len(r.times) < statedTimes {
		r.times = append(r.times, stated)
	} else {
		r.times[r.next] = stated
		r.next = (r.next + 1) % statedTimes
	}
	if r.since++; len(r.times) >= minStatedTimes && (r.since >= stateInterval || r.median == 0) {
		r.since = 0
		r.compute()
	}
}

// compute derives the lowest usual time from the tenths at both ends, so that a few callers that
// returned, or state something else, don't change it. Of evenly distributed times, the lowest is
// an eighth of their distance below the first tenth; a quarter is taken, because a first call that
// is taken for a return loses its place in the order.
func (r *statedTimesOfRoute) compute() {
	sorted := slices.Sorted(slices.Values(r.times))
	n := len(sorted)
	low, high := sorted[n/10], sorted[n-1-n/10]
	r.median = sorted[n/2]
	r.lowest = low - (high-low)/4 - statedMargin
}
