package grouper

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Timeouts are the times after which a missing status or effect counts as a failure.
type Timeouts struct {
	// Loss is how long an instance may go without a confirmation before its group is broken.
	// It exceeds garnetworks.ConfirmationBound: routers stop sending first, and a group that
	// only missed some probes is not broken.
	Loss time.Duration
	// Boot is how long an instance of a class may take from power-on to its first status.
	Boot map[string]time.Duration
	// Form is how long a member may take to accept an order to form its group.
	Form time.Duration
	// Load is how long a group may load.
	Load time.Duration
	// Drain is the grace of a group with a leaving member, or that is replaced.
	Drain time.Duration
}

// Observation is the controller's view of the instances at one time.
type Observation struct {
	Now time.Time
	// Fresh are the statuses no older than garnetworks.ConfirmationBound.
	Fresh Statuses
	// LastStatus is when the newest status of an instance was requested. It is later if the
	// controller began to listen, or was itself cut off, after that.
	LastStatus map[garnetworks.InstanceID]time.Time
	// Leaving are the instances that the list reports as leaving.
	Leaving garnetworks.Set[garnetworks.InstanceID]
	// PowerOnSent is when this lease holder first sent the order to power on a starting
	// instance; absent before.
	PowerOnSent map[garnetworks.InstanceID]time.Time
	// FormSent is when this lease holder first sent an instance the order to form its group;
	// absent before.
	FormSent map[garnetworks.InstanceID]time.Time
	Timeouts Timeouts
}

// maxTermLead is how far a reported term may be above the writer's. Terms grow by one with
// each change of the lease holder, and a restored lease record is at most this many changes
// old.
const maxTermLead = 1 << 20

// Observe applies the instances' statuses to the domain. It returns a token of a higher term
// than the writer's if a status reports one: another lease holder has taken over, and the
// writer must stop.
func (a *Aggregate) Observe(o Observation) (superseded garnetworks.FencingToken, ok bool) {
	for n := range a.domain.Instances {
		id := a.domain.Instances[n].ID
		s, fresh := o.Fresh[id]
		if !fresh {
			a.observeMissing(id, o)
			continue
		}
		if s.Token.Term() > a.domain.Term+maxTermLead {
			// A corrupt token from one engine must not exhaust the zone's terms.
			a.MarkLost(id, o.Now, "reported a token of an impossible term")
			continue
		}
		if !a.SkipSequence(s.Token) {
			return s.Token, true
		}
		a.observeStatus(id, s, o)
	}
	for _, g := range slices.Clone(a.domain.Groups) {
		a.observeGroup(g.ID, o)
	}
	return 0, false
}

func (a *Aggregate) observeMissing(id garnetworks.InstanceID, o Observation) {
	i := a.Instance(id)
	elapsed := o.Now.Sub(o.LastStatus[id])
	switch i.Power {
	case garnetworks.PowerOn:
		if elapsed > o.Timeouts.Loss {
			a.MarkLost(id, o.Now, "no confirmation for "+elapsed.Round(time.Second).String())
		}
	case garnetworks.PowerStarting:
		at, sent := o.PowerOnSent[id]
		if sent && o.Now.Sub(at) > o.Timeouts.Boot[i.Class] {
			a.MarkLost(id, o.Now, "did not answer after its boot time")
		}
	case garnetworks.PowerUnknown:
		if elapsed > o.Timeouts.Boot[i.Class] {
			a.MarkLost(id, o.Now, "has not answered since it was listed")
		}
	}
}

func (a *Aggregate) observeStatus(id garnetworks.InstanceID, s garnetworks.EngineStatus, o Observation) {
	i := a.Instance(id)
	if i.Power == garnetworks.PowerStopping {
		return
	}
	a.MarkRunning(id)
	switch {
	case i.Condition == garnetworks.ConditionLost:
		a.MarkReturned(id, s.Incarnation, o.Now, "responds again")
	case i.Incarnation == 0:
		a.SetIncarnation(id, s.Incarnation)
	case i.Incarnation != s.Incarnation:
		a.MarkReturned(id, s.Incarnation, o.Now, "restarted and lost its state")
	case a.contradictsGroup(i, s):
		a.MarkReturned(id, s.Incarnation, o.Now, "reports membership in "+describePlacement(s))
	}
	a.SetWeights(id, s.Weights)
	if i.Condition == garnetworks.ConditionReturned && i.Group == "" && released(i, s) {
		_ = a.Readmit(id, s)
	}
	if s.Leaving || o.Leaving.Has(id) {
		a.SetCondition(id, garnetworks.ConditionLeaving)
	} else if i.Condition == garnetworks.ConditionLeaving {
		a.SetCondition(id, garnetworks.ConditionHealthy)
	}
}

// contradictsGroup reports whether a member's status contradicts its group's state.
func (a *Aggregate) contradictsGroup(i *garnetworks.Instance, s garnetworks.EngineStatus) bool {
	g := a.Group(i.Group)
	if g == nil {
		return false
	}
	elsewhere := s.Group != g.ID || s.Token != g.Token || s.Phase == garnetworks.EngineIdle
	switch g.State {
	case garnetworks.GroupLoading, garnetworks.GroupServing:
		// A drain that an earlier lease holder ordered but never wrote can't be undone: the
		// engines would refuse all calls from then on.
		return elsewhere || s.Phase == garnetworks.EngineDraining
	case garnetworks.GroupDraining:
		return elsewhere
	case garnetworks.GroupForming:
		return s.Group == g.ID && s.Phase == garnetworks.EngineDraining
	}
	return false
}

func describePlacement(s garnetworks.EngineStatus) string {
	if s.Group == "" {
		return "no group"
	}
	return string(s.Group) + " under " + s.Token.String() + ", " + string(s.Phase)
}

func (a *Aggregate) observeGroup(id garnetworks.GroupID, o Observation) {
	g := a.Group(id)
	if g == nil || g.State == garnetworks.GroupBroken {
		return
	}
	if a.hasLeaving(g) {
		// Rule D9: the first sign of leaving stops new calls to the whole group.
		a.Drain(id, o.Now, o.Timeouts.Drain, "a member is leaving")
	}
	a.Advance(id, o.Fresh, o.Now)
	switch {
	case g.State == garnetworks.GroupForming:
		a.returnLateMembers(g, o)
	case g.State == garnetworks.GroupLoading && o.Now.Sub(g.Since) > o.Timeouts.Load:
		a.Break(id, o.Now, "did not load in time")
	}
	a.drainReplaced(id, o)
}

func (a *Aggregate) hasLeaving(g *garnetworks.Group) bool {
	return slices.ContainsFunc(g.Members, func(m garnetworks.InstanceID) bool {
		i := a.Instance(m)
		return i != nil && i.Condition == garnetworks.ConditionLeaving
	})
}

// returnLateMembers marks the members that have not accepted the group's order in time as
// returned, until they confirm a release.
func (a *Aggregate) returnLateMembers(g *garnetworks.Group, o Observation) {
	for _, m := range slices.Clone(g.Members) {
		s, ok := o.Fresh[m]
		at, sent := o.FormSent[m]
		late := sent && o.Now.Sub(at) > o.Timeouts.Form
		if late && (!ok || s.Group != g.ID || s.Token != g.Token) {
			a.MarkReturned(m, a.Instance(m).Incarnation, o.Now, "did not accept the order to form "+string(g.ID))
		}
	}
}

// drainReplaced drains the group that a serving one replaces.
func (a *Aggregate) drainReplaced(id garnetworks.GroupID, o Observation) {
	g := a.Group(id)
	if g.State != garnetworks.GroupServing || g.Replaces == "" {
		return
	}
	replaced := g.Replaces
	g.Replaces = ""
	a.raise(Hard)
	a.Drain(replaced, o.Now, o.Timeouts.Drain, "replaced by "+string(id))
}
