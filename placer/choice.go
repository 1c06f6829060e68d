package placer

import (
	"cmp"
	"slices"
	"time"
)

// choice is the best set of members for a group in one domain.
type choice struct {
	domain  *domain
	members []*instance
	// wait is the estimated time until the group can form with its weights.
	wait time.Duration
	// waits is the sum of the members' waits for boots and drains, which is the
	// time that they are stranded.
	waits time.Duration
	// boots counts the members that are yet to be ordered on.
	boots int
	// waste is how many more instances than before fit no largest group.
	waste int
	// rest counts the instances of the class that are left without a use,
	// whatever their power is: so it doesn't change as power is switched.
	rest int
}

// ready reports whether the group can form now.
func (c choice) ready() bool {
	for _, i := range c.members {
		if i.presence != idle {
			return false
		}
	}
	return true
}

// keptChoice is a choice that holds while the domain doesn't change.
type keptChoice struct {
	version  int
	known    bool
	possible bool
	choice   choice
}

type candidate struct {
	instance *instance
	wait     time.Duration
	spoils   bool
}

// best returns the choice of all domains that rule P5 puts first.
func (p *planner) best(m *model, doubtful bool) (choice, bool) {
	var best choice
	found := false
	for index, d := range p.domains {
		c, ok := p.choiceIn(index, d, m, doubtful)
		if ok && (!found || compareChoices(c, best, m) < 0) {
			best, found = c, true
		}
	}
	return best, found
}

func compareChoices(a, b choice, m *model) int {
	if a.ready() != b.ready() {
		if a.ready() {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.wait, b.wait),
		cmp.Compare(a.waits, b.waits),
		cmp.Compare(a.boots, b.boots),
		cmp.Compare(a.waste, b.waste),
		cmp.Compare(a.domain.held[m.index], b.domain.held[m.index]),
		cmp.Compare(b.rest, a.rest),
		cmp.Compare(a.domain.ID, b.domain.ID),
	)
}

func (p *planner) choiceIn(index int, d *domain, m *model, doubtful bool) (choice, bool) {
	if doubtful {
		return p.assemble(d, m, true)
	}
	kept := &m.choices[index]
	if !kept.known || kept.version != d.version {
		c, ok := p.assemble(d, m, false)
		*kept = keptChoice{version: d.version, known: true, possible: ok, choice: c}
	}
	return kept.choice, kept.possible
}

// assemble picks the members that are ready first.
func (p *planner) assemble(d *domain, m *model, doubtful bool) (choice, bool) {
	candidates := p.scratch[:0]
	for _, i := range d.instances {
		if available(i, m, doubtful) {
			candidates = append(candidates, p.rate(i, m))
		}
	}
	p.scratch = candidates
	if len(candidates) < m.GroupSize {
		return choice{}, false
	}
	candidates = presentOnly(candidates, m.GroupSize)
	slices.SortFunc(candidates, compareCandidates)
	before := d.unused(m.class)
	c := choice{domain: d, rest: before - m.GroupSize}
	c.members = make([]*instance, m.GroupSize)
	for n := range c.members {
		c.members[n] = candidates[n].instance
		c.waits += p.presenceWait(c.members[n])
		if c.members[n].presence == powerless {
			c.boots++
		}
	}
	slices.SortFunc(c.members, func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
	c.wait = p.waitOf(c.members, m)
	if m.class.mixed {
		c.waste = c.rest%m.class.largest - before%m.class.largest
	}
	return c, true
}

// presentOnly leaves out those that must be waited for if the others are enough.
func presentOnly(candidates []candidate, enough int) []candidate {
	present := 0
	for _, c := range candidates {
		if c.instance.presence == idle {
			present++
		}
	}
	if present < enough {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.instance.presence != idle })
}

// unused counts the instances of the class that the plan has no use for yet.
func (d *domain) unused(c *class) int {
	count := 0
	for _, i := range d.instances {
		if i.class == c && i.use == unused && i.presence != employed {
			count++
		}
	}
	return count
}

// available reports whether the instance could join a group of the model.
// Doubtful instances must prove themselves by a boot; until then only a plan
// without other ways counts on them (rule P7).
func available(i *instance, m *model, doubtful bool) bool {
	if i.use != unused || i.class != m.class {
		return false
	}
	switch i.presence {
	case idle, returning, leavingGroup:
		return true
	case booting, powerless:
		return doubtful || !i.doubtful
	default:
		return false
	}
}

func compareCandidates(a, b candidate) int {
	c := cmp.Or(
		cmp.Compare(a.wait, b.wait),
		-cmp.Compare(a.instance.presence, b.instance.presence),
	)
	if c != 0 {
		return c
	}
	if a.spoils != b.spoils {
		if a.spoils {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.instance.ID, b.instance.ID)
}

func (p *planner) rate(i *instance, m *model) candidate {
	missing := p.missing(i, m.weights())
	return candidate{
		instance: i,
		wait:     p.presenceWait(i) + p.loadTime(missing, m.WeightBytes),
		spoils:   missing > 0 && len(i.Weights) > 0,
	}
}

// presenceWait estimates when the instance is powered and free.
func (p *planner) presenceWait(i *instance) time.Duration {
	wait := time.Duration(0)
	switch i.presence {
	case powerless:
		wait = i.class.BootTime
	case booting:
		wait = i.class.BootTime
		if on := i.history.PoweredOn; !on.IsZero() {
			wait = max(0, wait-p.in.Now.Sub(on))
		}
	case returning:
		wait = readmitTime
	case leavingGroup:
		wait = max(0, i.free.Sub(p.in.Now))
	}
	if i.presence == powerless || i.presence == booting {
		wait += doubtPenalty * time.Duration(i.history.Strikes)
	}
	if i.isStraggler() {
		wait += stragglerPenalty
	}
	return wait
}

// missing returns the bytes that the instance has yet to load.
func (p *planner) missing(i *instance, w Weights) int64 {
	// What an instance held is gone with its power.
	if i.presence == powerless || i.presence == booting {
		return w.Bytes
	}
	if slices.Contains(i.Weights, w.WeightID) {
		return 0
	}
	if i.observed.Loading == w.WeightID {
		return max(w.Bytes-i.observed.LoadedBytes, 1)
	}
	return w.Bytes
}

// loadTime estimates the time to load some of an instance's weights at the
// whole rate.
func (p *planner) loadTime(missing, whole int64) time.Duration {
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
	if whole <= 0 {
		return 0
	}
	return seconds(DefaultLoadTime.Seconds() * float64(missing) / float64(whole))
}

// waitOf estimates when all members can form the group with loaded weights.
func (p *planner) waitOf(members []*instance, m *model) time.Duration {
	var longest, slowest time.Duration
	var total int64
	for _, i := range members {
		missing := p.missing(i, m.weights())
		longest = max(longest, p.presenceWait(i))
		slowest = max(slowest, p.loadTime(missing, m.WeightBytes))
		total += missing
	}
	if p.in.StoreRate > 0 {
		slowest = max(slowest, seconds(float64(total)/float64(p.in.StoreRate)))
	}
	return longest + slowest
}

// seconds returns s as a duration of at most longestEstimate: a store that
// states next to no rate would else make it overflow and turn negative.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, longestEstimate.Seconds()) * float64(time.Second))
}
