package router

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// rankingSize is the maximum number of groups in a ranking; a prefix that needs more is
	// spread over all groups.
	rankingSize = 16
	// spreadFactor is the ratio of the groups that a prefix is spread over to its share of the
	// calls (R5). At 1, a prefix that fills a whole group would overload its home, which other
	// prefixes share.
	spreadFactor = 3
	// spillRanks is the number of ranks after the home that a call can be spilled to (R6).
	spillRanks = 4
	// A call is never spilled if the other group's utilization is lower by less than
	// minSpillGain, which does not outweigh the home's cache, and always if it is lower by more
	// than maxSpillGain (R6).
	minSpillGain, maxSpillGain = 0.15, 0.5
	// hintTolerance is how much more utilized than the home a hinted group may be (R9).
	hintTolerance = 0.15
	// crossZoneGain is the difference in mean utilization that outweighs the cost of using
	// another zone or region (R8).
	crossZoneGain = 0.25
	// fullUtilization is the utilization of the region from which other regions are used (R8).
	fullUtilization = 0.95
)

// ranking holds the best groups by rendezvous hashing, best first.
type ranking struct {
	groups [rankingSize]*group
	scores [rankingSize]uint64
	n      int
	// limit is the maximum of n; at most rankingSize.
	limit int
}

// scan ranks the eligible groups of a scope and keeps the best limit of them (R1, R4). Most
// groups are rejected after one comparison of scores.
func (r *ranking) scan(now int64, s *scope, hash uint64, limit int, tried []garnetworks.GroupID) {
	r.n = 0
	r.limit = min(limit, rankingSize)
	minScore := uint64(0)
	for i := range s.entries {
		e := &s.entries[i]
		score := mix(hash ^ e.seed)
		if score <= minScore {
			continue
		}
		if !e.group.eligible(now) || isTried(e.group, tried) {
			continue
		}
		r.insert(e.group, score)
		if r.n == r.limit {
			minScore = r.scores[r.n-1]
		}
	}
}

func isTried(g *group, tried []garnetworks.GroupID) bool {
	for _, id := range tried {
		if id == g.view.ID {
			return true
		}
	}
	return false
}

func (r *ranking) insert(g *group, score uint64) {
	i := r.n
	if i == r.limit {
		i--
	} else {
		r.n++
	}
	for i > 0 && r.scores[i-1] < score {
		r.scores[i], r.groups[i] = r.scores[i-1], r.groups[i-1]
		i--
	}
	r.scores[i], r.groups[i] = score, g
}

// rerank reorders the first m groups by the hash of a longer prefix (R5).
func (r *ranking) rerank(m int, hash uint64) {
	m = min(m, r.n)
	for i := range m {
		g := r.groups[i]
		score := mix(hash ^ g.seed)
		j := i
		for j > 0 && r.scores[j-1] < score {
			r.scores[j], r.groups[j] = r.scores[j-1], r.groups[j-1]
			j--
		}
		r.scores[j], r.groups[j] = score, g
	}
}

// spreadWidth returns the number of groups that a prefix is spread over: a power of two, or 0
// for all groups of the scope (R5).
func (t *table) spreadWidth(hash uint64, eligible int) int {
	want := t.sketch.share(hash) * float64(eligible) * spreadFactor
	for m := 1; m <= rankingSize; m *= 2 {
		if want <= float64(m) {
			return m
		}
	}
	return 0
}

// choose returns the group for a call, or nil if none is eligible.
func (t *table) choose(now int64, call *garnetworks.CallRequest, tried []garnetworks.GroupID) *group {
	p := t.pools[poolKey{call.Model, call.Adapter}]
	if p == nil {
		return nil
	}
	t.updateStragglers(now)
	s := t.scope(now, p)
	prefix := newPrefix(call)
	if !prefix.next() {
		return t.chooseByLoad(now, p, s, tried)
	}
	var r ranking
	m := t.spreadWidth(prefix.hash, s.eligible)
	more := true
	for m == 0 && more {
		if more = prefix.next(); more {
			m = t.spreadWidth(prefix.hash, s.eligible)
		}
	}
	if m == 0 {
		return t.chooseByLoad(now, p, s, tried)
	}
	r.scan(now, s, prefix.hash, m+spillRanks, tried)
	for m > 1 && prefix.next() {
		r.rerank(m, prefix.hash)
		m = min(m, max(1, t.spreadWidth(prefix.hash, s.eligible)))
	}
	if r.n == 0 {
		return t.chooseByLoad(now, p, s, tried)
	}
	var hinted *group
	if t.hints.nonEmpty {
		hinted = t.longestHint(now, call, tried)
	}
	return t.homeOrSpill(now, &r, m, hinted)
}

// homeOrSpill chooses the home or a group of the next ranks (R6). The probability of a spill
// grows with the difference in utilization, and spilled calls go to several groups:
// otherwise nodes that act on the same report would all move from group to group together.
func (t *table) homeOrSpill(now int64, r *ranking, m int, hinted *group) *group {
	m = min(m, r.n)
	home := r.groups[t.lessLoaded(now, r, 0, m)]
	if hinted != nil && hinted.cost(now) < home.cost(now)+hintTolerance {
		// A hint is backed by an event and the hash is not, but the hint can be outdated (R9).
		home = hinted
	}
	n := min(spillRanks, r.n-m)
	if n == 0 {
		return home
	}
	other := r.groups[t.lessLoaded(now, r, m, n)]
	gain := minSpillGain + (maxSpillGain-minSpillGain)*t.uniform()
	if other.cost(now)+gain < home.cost(now) {
		return other
	}
	return home
}

// uniform returns a pseudo-random number in [0, 1).
func (t *table) uniform() float64 { return float64(t.next()>>11) / (1 << 53) }

// lessLoaded returns the rank of the less loaded of two random groups among n, starting at
// rank first. Comparing the same few groups at every node would send all calls to the one
// that the last report showed as idle.
func (t *table) lessLoaded(now int64, r *ranking, first, n int) int {
	if n == 1 {
		return first
	}
	i := int(t.next() % uint64(n))
	j := int(t.next() % uint64(n-1))
	if j >= i {
		j++
	}
	if r.groups[first+j].cost(now) < r.groups[first+i].cost(now) {
		return first + j
	}
	return first + i
}

// cost returns the group's utilization, with a penalty that ranks groups in cooldown last.
func (g *group) cost(now int64) float64 {
	if g.cooldown.until > now {
		return g.utilization() + 100
	}
	return g.utilization()
}

// scope returns the part of the pool from which the group is chosen (R8).
func (t *table) scope(now int64, p *pool) *scope {
	p.region.refresh(now)
	if p.region.eligible > 0 && p.region.cappedMean < fullUtilization {
		return &p.region
	}
	p.site.refresh(now)
	if p.region.eligible > 0 && p.site.cappedMean > p.region.cappedMean-crossZoneGain {
		return &p.region
	}
	return &p.site
}

// chooseByLoad returns the less loaded of two random groups, from the node's own zone unless
// it is much more loaded (R8).
func (t *table) chooseByLoad(now int64, p *pool, s *scope, tried []garnetworks.GroupID) *group {
	p.zone.refresh(now)
	if p.zone.eligible > 0 && p.zone.mean < s.mean+crossZoneGain {
		if g := t.lessLoadedOfTwo(now, &p.zone, tried); g != nil {
			return g
		}
	}
	if g := t.lessLoadedOfTwo(now, s, tried); g != nil {
		return g
	}
	p.site.refresh(now)
	return t.lessLoadedOfTwo(now, &p.site, tried)
}

// lessLoadedOfTwo returns the less loaded of two random eligible groups.
func (t *table) lessLoadedOfTwo(now int64, s *scope, tried []garnetworks.GroupID) *group {
	a := t.randomEligible(now, s, nil, tried)
	if a == nil {
		return nil
	}
	b := t.randomEligible(now, s, a, tried)
	if b != nil && b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// randomEligible returns a random eligible group other than the given one.
func (t *table) randomEligible(now int64, s *scope, other *group, tried []garnetworks.GroupID) *group {
	n := len(s.entries)
	if n == 0 {
		return nil
	}
	const draws = 8
	for range draws {
		g := s.entries[t.next()%uint64(n)].group
		if g != other && g.eligible(now) && !isTried(g, tried) {
			return g
		}
	}
	// Few groups are eligible: try all, starting at a random one.
	first := int(t.next() % uint64(n))
	for i := range n {
		g := s.entries[(first+i)%n].group
		if g != other && g.eligible(now) && !isTried(g, tried) {
			return g
		}
	}
	return nil
}

// updateStragglers recomputes the pace ratios of all groups, at most once per second.
func (t *table) updateStragglers(now int64) {
	if t.stragglersUpdated != 0 && now-t.stragglersUpdated < int64(time.Second) {
		return
	}
	t.stragglersUpdated = now
	for key, p := range t.pools {
		if key.adapter == "" {
			t.updatePaceRatios(now, p)
		}
	}
}

func (t *table) updatePaceRatios(now int64, p *pool) {
	t.scratch = t.scratch[:0]
	for _, e := range p.site.entries {
		if e.group.pace.reliable(now) {
			t.scratch = append(t.scratch, e.group.pace.perToken)
		}
	}
	median := lowerMedian(t.scratch)
	for _, e := range p.site.entries {
		e.group.updatePaceRatio(now, median)
	}
}

// started counts an attempt as in flight, and the call's prefixes up to the length that a
// decision looks at.
func (t *table) started(now int64, call *garnetworks.CallRequest, id garnetworks.GroupID) {
	if g := t.groups[id]; g != nil {
		g.load.own++
	}
	t.sketch.countCall()
	eligible := 0
	if p := t.pools[poolKey{call.Model, call.Adapter}]; p != nil {
		eligible = p.region.eligible
	}
	prefix := newPrefix(call)
	for prefix.next() {
		t.sketch.add(prefix.hash)
		if t.spreadWidth(prefix.hash, eligible) == 1 {
			return
		}
	}
}

// backoffLeft returns the time until the first backoff of a group that could take the call ends; 0 if
// there is none.
func (t *table) backoffLeft(now int64, call *garnetworks.CallRequest) time.Duration {
	p := t.pools[poolKey{call.Model, call.Adapter}]
	if p == nil {
		return 0
	}
	left := time.Duration(0)
	for _, e := range p.site.entries {
		if e.group.serving(now) {
			left = shorterBackoff(left, e.group.backoffUntil-now)
		}
	}
	return left
}

// shorterBackoff returns the shorter of two backoffs, of which those that have ended do not count.
func shorterBackoff(left time.Duration, backoff int64) time.Duration {
	if backoff > 0 && (left == 0 || time.Duration(backoff) < left) {
		return time.Duration(backoff)
	}
	return left
}

// finished ends an attempt and evaluates its result.
func (t *table) finished(now int64, id garnetworks.GroupID, result garnetworks.AttemptResult) {
	g := t.groups[id]
	if g == nil {
		return
	}
	g.load.own = max(0, g.load.own-1)
	if result.Cancelled {
		return
	}
	if result.StaleToken || result.Leaving {
		t.deny(now, id)
	}
	g.backoffUntil = max(g.backoffUntil, now+int64(result.RetryAfter))
	switch result.Phase {
	case garnetworks.PhaseConnect:
		g.cooldown.fail(now)
	case garnetworks.PhaseDone:
		g.cooldown.succeed()
		g.pace.add(now, result)
	}
}
