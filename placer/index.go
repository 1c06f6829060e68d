package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// availability is the state in which an instance could join a group. Of instances
// with equal waits the higher state is preferred.
type availability int

const (
	// unusable instances can't join a group now.
	unusable availability = iota
	// switchedOff instances are proven off and can be booted.
	switchedOff
	// booting instances were powered on and have not answered yet.
	booting
	// returning instances run and are about to be re-admitted.
	returning
	// drainingMember instances belong to a group that drains.
	drainingMember
	// idle instances are powered, healthy and in no group.
	idle
	// inGroup instances belong to a group that is not ending.
	inGroup
)

// use is the purpose for which the plan takes an instance.
type use int

const (
	unused use = iota
	usedByGroup
	usedBySlot
	usedAsReplacement
	usedAsSpare
)

type instance struct {
	*garnetworks.Instance
	domain       *domain
	class        *class
	observation  InstanceObservation
	history      InstanceHistory
	availability availability
	use          use
	// freeAt is when a member of a draining group becomes free.
	freeAt time.Time
	// suspect instances failed within FailureDecayTime (rule P7).
	suspect bool
	// slotIndex is the index of the slot that the instance is used for.
	slotIndex int
	// reason is the reason of a PowerOn or Preload of the instance.
	reason Reason
	// preload is what a reserved or spare instance should load; its Bytes are 0 if
	// there is nothing.
	preload Weights
	// loadClass is the class of the preload (rule P12).
	loadClass loadClass
	// orderedOff is set once the plan powers the instance off.
	orderedOff bool
	// pool is nil for instances whose class no model uses.
	pool *pool
	// bootDelay is how much later than now the instance should be powered on.
	bootDelay time.Duration
	// draining says that the instance belongs to a group that drains.
	draining bool
	// loading says that the instance loads weights under the plan.
	loading bool
}

// Weights identifies the weights of a model's version, with their size.
type Weights struct {
	garnetworks.WeightID
	// Bytes is the size of the weights on one instance.
	Bytes int64
}

type class struct {
	garnetworks.InstanceClass
	// largest is the largest group size of the models that use the class.
	largest int
	// mixed says that models with different group sizes use the class.
	mixed bool
}

type domain struct {
	*garnetworks.FabricDomain
	instances []*instance
	// groupCounts counts the kept groups and filled slots of each model in the
	// domain, by the model's index.
	groupCounts []int
	// version counts changes of the instances' use; it invalidates cached placements.
	version int
	// unrecovered says that instances have failed and none has come back.
	unrecovered bool
}

type group struct {
	*garnetworks.Group
	domain  *domain
	model   *model
	members []*instance
	// ending is set once the plan drains or dissolves the group.
	ending bool
	// replaces is the group that drains once this one serves; nil if there is none.
	replaces *group
	// replacement is the group that forms to replace this one.
	replacement *group
	// slotIndex is the index of the group's slot.
	slotIndex int
	// minimum says that the group fills a minimum slot.
	minimum bool
}

type model struct {
	garnetworks.ModelSpec
	class *class
	index int
	// feasibleGroups is the most groups that the zone's instances could form.
	feasibleGroups int
	// live are the groups that fill slots, in order of rank.
	live []*group
	// replacements are the groups that form to replace live ones.
	replacements []*group
	// draining counts the groups that drain.
	draining int
	// waiting counts the slots that wait for reserved members.
	waiting int
	// unplaced counts the empty slots for which nothing is reserved.
	unplaced int
	// replacing counts the replacements that the plan prepares or begins.
	replacing int
	// reservations are those of the last plan that no slot has taken over.
	reservations []Reservation
	// placements caches the best placement in each domain, by the domain's index.
	placements []cachedPlacement
}

// groupEnd is how a group ends that an earlier round decided to end.
type groupEnd struct {
	reason Reason
	grace  time.Duration
}

type planner struct {
	in Input
	// ended holds the groups that this round and earlier ones ended after
	// classifyGroups. classified is set once classifyGroups is done, rerun once a
	// group was ended after that.
	ended      map[garnetworks.GroupID]groupEnd
	classified bool
	rerun      bool
	// displaced says that a slot displaced groups, which ends the round.
	displaced    bool
	out          Output
	classes      map[string]*class
	models       []*model
	modelsByName map[garnetworks.ModelName]*model
	domains      []*domain
	instances    []*instance
	groups       []*group
	slots        []slot
	// plannedDraw is the draw of everything that the plan uses.
	plannedDraw garnetworks.Watts
	// waitingSlots are the slots that wait for reserved members, in order.
	waitingSlots []waitingSlot
	// pendingGroups are the groups that can form now.
	pendingGroups []*pendingGroup
	// groupEnds, powerOffs, powerOns and loadOrders are the decisions by kind.
	groupEnds, powerOffs, powerOns, loadOrders []Decision
	pools                                      []*pool
	// spareDraw is the draw of all spares whose benefit exceeds their cost, also of
	// those that the limit leaves no power for.
	spareDraw garnetworks.Watts
	lostGrace time.Duration
	scratch   []candidate
}

func newPlanner(in Input) *planner {
	p := &planner{in: in}
	p.indexClasses()
	p.indexModels()
	p.indexDomains()
	p.indexGroups()
	p.indexFeasible()
	p.slots = slotsOf(p.models)
	return p
}

func (p *planner) indexClasses() {
	p.classes = make(map[string]*class, len(p.in.Classes))
	for _, c := range p.in.Classes {
		if c.BootTime <= 0 {
			c.BootTime = DefaultBootTime
		}
		if c.FailuresPerDay <= 0 {
			c.FailuresPerDay = defaultFailuresPerDay
		}
		p.classes[c.Name] = &class{InstanceClass: c}
	}
}

func (p *planner) indexModels() {
	p.modelsByName = make(map[garnetworks.ModelName]*model, len(p.in.Models))
	for _, m := range p.in.Models {
		c := p.classes[m.Class]
		if m.GroupSize < 1 {
			c = nil
		}
		p.models = append(p.models, &model{ModelSpec: m, class: c})
		if c == nil {
			continue
		}
		c.mixed = c.mixed || c.largest != 0 && c.largest != m.GroupSize
		c.largest = max(c.largest, m.GroupSize)
	}
	slices.SortFunc(p.models, func(a, b *model) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	for i, m := range p.models {
		m.index = i
		m.placements = make([]cachedPlacement, len(p.in.Domains))
		p.modelsByName[m.Name] = m
	}
	for _, r := range p.in.State.Reservations {
		if m := p.modelsByName[r.Model]; m != nil {
			m.reservations = append(m.reservations, r)
		}
	}
}

func (p *planner) indexFeasible() {
	counts := make(map[*class]int, len(p.classes))
	for _, i := range p.instances {
		counts[i.class]++
	}
	for _, m := range p.models {
		if m.class != nil {
			m.feasibleGroups = counts[m.class] / m.GroupSize
		}
	}
}

func (p *planner) indexDomains() {
	count := 0
	for i := range p.in.Domains {
		count += len(p.in.Domains[i].Instances)
	}
	slab := make([]instance, 0, count)
	p.instances = make([]*instance, 0, count)
	for i := range p.in.Domains {
		d := &domain{FabricDomain: &p.in.Domains[i], groupCounts: make([]int, len(p.models))}
		d.instances = make([]*instance, 0, len(d.Instances))
		for j := range d.Instances {
			slab = append(slab, instance{Instance: &d.Instances[j], domain: d})
			d.instances = append(d.instances, &slab[len(slab)-1])
		}
		slices.SortFunc(d.instances, func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
		p.domains = append(p.domains, d)
	}
	slices.SortFunc(p.domains, func(a, b *domain) int { return cmp.Compare(a.ID, b.ID) })
	for _, d := range p.domains {
		p.instances = append(p.instances, d.instances...)
		for _, i := range d.instances {
			p.indexInstance(i)
		}
		d.unrecovered = isUnrecovered(d)
	}
}

func (p *planner) indexInstance(i *instance) {
	i.class = p.classes[i.Class]
	i.observation = p.in.Instances[i.ID]
	i.history = p.in.State.Instances[i.ID]
	p.trackLoss(i)
	p.trackReturn(i)
	i.suspect = i.history.Failures > 0 && p.in.Now.Before(i.history.FailuresChanged.Add(FailureDecayTime))
	i.availability = p.availabilityOf(i)
	if i.Power.Draws() {
		p.out.Drawn += i.Watts
	}
}

// trackLoss counts the instance's failures. An overdue boot counts as one: the
// instance draws power and never answers, and nothing else would end the wait
// for it.
func (p *planner) trackLoss(i *instance) {
	h := &i.history
	running := i.Power == garnetworks.PowerOn || i.Power == garnetworks.PowerUnknown
	starting := i.Power == garnetworks.PowerStarting
	lost := (running || starting) && i.Condition == garnetworks.ConditionLost || p.isBootOverdue(i)
	lost = lost || starting && !h.LostSince.IsZero()
	if i.Power == garnetworks.PowerStopping {
		return
	}
	if !lost {
		h.LostSince = time.Time{}
		p.decayFailures(h)
		return
	}
	if h.LostSince.IsZero() {
		h.LostSince = p.in.Now
		h.FailuresChanged = p.in.Now
		h.Failures++
	}
}

func (p *planner) decayFailures(h *InstanceHistory) {
	for h.Failures > 0 && !p.in.Now.Before(h.FailuresChanged.Add(FailureDecayTime)) {
		h.Failures--
		h.FailuresChanged = h.FailuresChanged.Add(FailureDecayTime)
	}
}

// isBootOverdue reports whether the instance has exceeded its bootLimit. The limit
// grows with each failure: with a boot time stated too short, every boot would be
// given up otherwise.
func (p *planner) isBootOverdue(i *instance) bool {
	if i.Power != garnetworks.PowerStarting || i.class == nil || i.history.PoweredOn.IsZero() {
		return false
	}
	end := i.history.PoweredOn.Add(bootLimit(i))
	p.replanAt(end)
	return !p.in.Now.Before(end)
}

func bootLimit(i *instance) time.Duration {
	limit := bootOverdueFactor*i.class.BootTime + time.Minute
	return limit << min(i.history.Failures, 4)
}

// availabilityOf returns the availability of the instance by itself; classifyGroups
// corrects it for members of groups.
func (p *planner) availabilityOf(i *instance) availability {
	if i.class == nil || p.inBackoff(i) {
		return unusable
	}
	switch i.Power {
	case garnetworks.PowerOff:
		return switchedOff
	case garnetworks.PowerStarting:
		if !i.history.LostSince.IsZero() {
			return unusable
		}
		return booting
	case garnetworks.PowerOn:
		// The group that an instance with an announced stop joins would break soon.
		if !i.observation.LeaveBy.IsZero() {
			return unusable
		}
		switch i.Condition {
		case garnetworks.ConditionHealthy, garnetworks.ConditionStraggler:
			return idle
		case garnetworks.ConditionReturned:
			return p.availabilityOfReturned(i)
		}
	}
	return unusable
}

// availabilityOfReturned treats an instance as usable that is about to be
// re-admitted, as each is after its boot: otherwise its slot would boot another
// instance in its place.
func (p *planner) availabilityOfReturned(i *instance) availability {
	end := i.history.ReturnedSince.Add(ReturnGrace)
	p.replanAt(end)
	if p.in.Now.Before(end) {
		return returning
	}
	return unusable
}

// trackReturn records since when the instance has waited for its re-admission.
func (p *planner) trackReturn(i *instance) {
	if i.Power != garnetworks.PowerOn || i.Condition != garnetworks.ConditionReturned {
		i.history.ReturnedSince = time.Time{}
		return
	}
	if i.history.ReturnedSince.IsZero() {
		i.history.ReturnedSince = p.in.Now
	}
}

// isStraggler reports whether the instance is slow, by its condition or by its
// measured slowdown. A slowdown no longer counts once the power is off.
func (i *instance) isStraggler() bool {
	if i.Power != garnetworks.PowerOn {
		return false
	}
	return i.Condition == garnetworks.ConditionStraggler || i.observation.Slowdown >= stragglerSlowdown
}

// inBackoff keeps an instance that fails repeatedly out of groups, for a time that
// doubles with each failure (rule P7): each return would otherwise break another
// group.
func (p *planner) inBackoff(i *instance) bool {
	until := backoffEnd(i.history)
	if !p.in.Now.Before(until) {
		return false
	}
	p.replanAt(until)
	return true
}

func backoffEnd(h InstanceHistory) time.Time {
	if h.Failures < 2 {
		return time.Time{}
	}
	backoff := minBackoff << min(h.Failures-2, 10)
	return h.FailuresChanged.Add(min(backoff, maxBackoff))
}

// isUnrecovered reports whether instances of the domain have failed and none of
// them has come back.
func isUnrecovered(d *domain) bool {
	failed := false
	for _, i := range d.instances {
		if !i.suspect {
			continue
		}
		if i.Power == garnetworks.PowerOn && i.Condition == garnetworks.ConditionHealthy {
			return false
		}
		failed = true
	}
	return failed
}

func (p *planner) indexGroups() {
	byID := make(map[garnetworks.InstanceID]*instance, len(p.instances))
	for _, i := range p.instances {
		byID[i.ID] = i
	}
	groupsByID := map[garnetworks.GroupID]*group{}
	for _, d := range p.domains {
		for j := range d.Groups {
			g := &group{Group: &d.Groups[j], domain: d, model: p.modelsByName[d.Groups[j].Model]}
			for _, id := range g.Members {
				if i := byID[id]; i != nil && i.domain == d {
					g.members = append(g.members, i)
				}
			}
			p.groups = append(p.groups, g)
			groupsByID[g.ID] = g
		}
	}
	slices.SortFunc(p.groups, func(a, b *group) int { return cmp.Compare(a.ID, b.ID) })
	for _, g := range p.groups {
		if g.Replaces != "" {
			g.replaces = groupsByID[g.Replaces]
		}
	}
}

// replanAt requests a new plan at t, or earlier if another call does.
func (p *planner) replanAt(t time.Time) {
	if !t.After(p.in.Now) {
		return
	}
	if p.out.ReplanAt.IsZero() || t.Before(p.out.ReplanAt) {
		p.out.ReplanAt = t
	}
}

// saveState writes the state for the next plan; instances with an empty history are
// omitted.
func (p *planner) saveState() {
	p.out.State.Instances = make(map[garnetworks.InstanceID]InstanceHistory)
	for _, i := range p.instances {
		if i.history != (InstanceHistory{}) {
			p.out.State.Instances[i.ID] = i.history
		}
	}
}
