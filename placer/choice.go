package placer

import (
	"cmp"
	"slices"
	"time"
)

// placement is a choice of members for a group, all in one domain.
type placement struct {
	domain  *domain
	members []*instance
	// wait is the estimated time until the group can form with loaded weights.
	wait time.Duration
	// totalWait is the sum of the members' waits for boots and drains, an estimate
	// of the time for which they are stranded.
	totalWait time.Duration
	// boots counts the members that must be powered on first.
	boots int
	// fragmentation is by how much the placement raises the number of instances
	// left over from groups of the largest size.
	fragmentation int
	// remaining counts the instances of the class that are left unused, powered or
	// not, so that it doesn't change as power is switched.
	remaining int
}

// ready reports whether the group can form now.
func (c placement) ready() bool {
	for _, i := range c.members {
		if i.availability != idle {
			return false
		}
	}
	return true
}

// cachedPlacement is a placement that is valid while the domain doesn't change.
type cachedPlacement struct {
	domainVersion int
	valid         bool
	found         bool
	placement     placement
}

type candidate struct {
	instance      *instance
	wait          time.Duration
	evictsWeights bool
}

// bestPlacement returns the placement that rule P5 ranks first over all domains.
func (p *planner) bestPlacement(m *model, allowSuspect bool) (placement, bool) {
	var best placement
	found := false
	for index, d := range p.domains {
		c, ok := p.placementIn(index, d, m, allowSuspect)
		if ok && (!found || comparePlacements(c, best, m) < 0) {
			best, found = c, true
		}
	}
	return best, found
}

func comparePlacements(a, b placement, m *model) int {
	if a.ready() != b.ready() {
		if a.ready() {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.wait, b.wait),
		cmp.Compare(a.totalWait, b.totalWait),
		cmp.Compare(a.boots, b.boots),
		cmp.Compare(a.fragmentation, b.fragmentation),
		cmp.Compare(a.domain.groupCounts[m.index], b.domain.groupCounts[m.index]),
		cmp.Compare(b.remaining, a.remaining),
		cmp.Compare(a.domain.ID, b.domain.ID),
	)
}

func (p *planner) placementIn(index int, d *domain, m *model, allowSuspect bool) (placement, bool) {
	if allowSuspect {
		return p.findPlacement(d, m, true)
	}
	cached := &m.placements[index]
	if !cached.valid || cached.domainVersion != d.version {
		c, ok := p.findPlacement(d, m, false)
		*cached = cachedPlacement{domainVersion: d.version, valid: true, found: ok, placement: c}
	}
	return cached.placement, cached.found
}

// findPlacement picks the members that are available first.
func (p *planner) findPlacement(d *domain, m *model, allowSuspect bool) (placement, bool) {
	candidates := p.scratch[:0]
	for _, i := range d.instances {
		if available(i, m, allowSuspect) {
			candidates = append(candidates, p.newCandidate(i, m))
		}
	}
	p.scratch = candidates
	if len(candidates) < m.GroupSize {
		return placement{}, false
	}
	candidates = preferIdle(candidates, m.GroupSize)
	slices.SortFunc(candidates, compareCandidates)
	before := d.countUnused(m.class)
	c := placement{domain: d, remaining: before - m.GroupSize}
	c.members = make([]*instance, m.GroupSize)
	for n := range c.members {
		c.members[n] = candidates[n].instance
		c.totalWait += p.availabilityWait(c.members[n])
		if c.members[n].availability == switchedOff {
			c.boots++
		}
	}
	slices.SortFunc(c.members, func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
	c.wait = p.placementWait(c.members, m)
	if m.class.mixed {
		c.fragmentation = c.remaining%m.class.largest - before%m.class.largest
	}
	return c, true
}

// preferIdle drops the candidates that must be waited for if the idle ones are
// enough.
func preferIdle(candidates []candidate, size int) []candidate {
	idleCount := 0
	for _, c := range candidates {
		if c.instance.availability == idle {
			idleCount++
		}
	}
	if idleCount < size {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.instance.availability != idle })
}

// countUnused counts the instances of the class that the plan does not use yet.
func (d *domain) countUnused(c *class) int {
	count := 0
	for _, i := range d.instances {
		if i.class == c && i.use == unused && i.availability != inGroup {
			count++
		}
	}
	return count
}

// available reports whether the instance could join a group of the model. A
// suspect instance that is off or booting counts only if allowSuspect is set,
// since its boot may fail again (rule P7).
func available(i *instance, m *model, allowSuspect bool) bool {
	if i.use != unused || i.class != m.class {
		return false
	}
	switch i.availability {
	case idle, returning, drainingMember:
		return true
	case booting, switchedOff:
		return allowSuspect || !i.suspect
	default:
		return false
	}
}

func compareCandidates(a, b candidate) int {
	c := cmp.Or(
		cmp.Compare(a.wait, b.wait),
		-cmp.Compare(a.instance.availability, b.instance.availability),
	)
	if c != 0 {
		return c
	}
	if a.evictsWeights != b.evictsWeights {
		if a.evictsWeights {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.instance.ID, b.instance.ID)
}

func (p *planner) newCandidate(i *instance, m *model) candidate {
	missing := p.missingBytes(i, m.weights())
	return candidate{
		instance:      i,
		wait:          p.availabilityWait(i) + p.loadTime(missing, m.WeightBytes),
		evictsWeights: missing > 0 && len(i.Weights) > 0,
	}
}

// availabilityWait estimates the time until the instance is powered and free.
func (p *planner) availabilityWait(i *instance) time.Duration {
	wait := time.Duration(0)
	switch i.availability {
	case switchedOff:
		wait = i.class.BootTime
	case booting:
		wait = i.class.BootTime
		if on := i.history.PoweredOn; !on.IsZero() {
			wait = max(0, wait-p.in.Now.Sub(on))
		}
	case returning:
		wait = readmitTime
	case drainingMember:
		wait = max(0, i.freeAt.Sub(p.in.Now))
	}
	if i.availability == switchedOff || i.availability == booting {
		wait += failurePenalty * time.Duration(i.history.Failures)
	}
	if i.isStraggler() {
		wait += stragglerPenalty
	}
	return wait
}

// missingBytes returns the bytes that the instance has yet to load.
func (p *planner) missingBytes(i *instance, w Weights) int64 {
	// Weights are lost with the power.
	if i.availability == switchedOff || i.availability == booting {
		return w.Bytes
	}
	if slices.Contains(i.Weights, w.WeightID) {
		return 0
	}
	if i.observation.Loading == w.WeightID {
		return max(w.Bytes-i.observation.LoadedBytes, 1)
	}
	return w.Bytes
}

// loadTime estimates the time in which one instance loads the missing bytes of its
// weights at the full rate.
func (p *planner) loadTime(missing, total int64) time.Duration {
	if missing == 0 {
		return 0
	}
	rate := p.in.StoreRate
	if p.in.InstanceRate > 0 {
		rate = min(rate, p.in.InstanceRate)
	}
	if rate > 0 {
		return seconds(float64(missing) / float64(rate))
	}
	if total <= 0 {
		return 0
	}
	return seconds(DefaultLoadTime.Seconds() * float64(missing) / float64(total))
}

// placementWait estimates the time until all members can form the group with
// loaded weights.
func (p *planner) placementWait(members []*instance, m *model) time.Duration {
	var longest, slowest time.Duration
	var total int64
	for _, i := range members {
		missing := p.missingBytes(i, m.weights())
		longest = max(longest, p.availabilityWait(i))
		slowest = max(slowest, p.loadTime(missing, m.WeightBytes))
		total += missing
	}
	if p.in.StoreRate > 0 {
		slowest = max(slowest, seconds(float64(total)/float64(p.in.StoreRate)))
	}
	return longest + slowest
}

// seconds returns s as a duration of at most maxEstimate: at a very low store rate
// the duration would otherwise overflow and become negative.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxEstimate.Seconds()) * float64(time.Second))
}
