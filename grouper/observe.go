package grouper

import (
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Bounds are the times after which a missing sign is taken for a failure.
type Bounds struct {
	// Loss is how long an instance may go without a confirmation before its
	// group is broken. It is above garnetworks.ConfirmationBound: routers stop
	// sending first, and a group that only missed some probes is not torn down.
	Loss time.Duration
	// Boot is how long a class may take from power-on to the first answer.
	Boot map[string]time.Duration
	// Form is how long a member may take to take an order.
	Form time.Duration
	// Load is how long a group may load.
	Load time.Duration
	// Drain is the grace of a group with a leaving member.
	Drain time.Duration
}

// Observation is what the controller sees of a domain's instances at once.
type Observation struct {
	Now time.Time
	// Fresh are the statuses no older than garnetworks.ConfirmationBound.
	Fresh Statuses
	// Heard is when the newest status of an instance was asked for, or when the
	// controller began to listen if that is later, or when it last knew itself
	// cut off.
	Heard map[garnetworks.InstanceID]time.Time
	// Leaving are the instances that the list or their engine calls leaving.
	Leaving garnetworks.Set[garnetworks.InstanceID]
	// Ordered is when this holder first sent the order that powers a starting
	// instance; absent before.
	Ordered map[garnetworks.InstanceID]time.Time
	// Asked is when this holder first sent an instance the order to form the group
	// that it is in; absent before.
	Asked  map[garnetworks.InstanceID]time.Time
	Bounds Bounds
}

// impossibleLead is how far above the writer's term a term can't be: terms grow by
// one with each change of holder, and a restored lease record is not older than
// this many changes.
const impossibleLead = 1 << 20

// Observe takes in what the instances say of themselves. It reports a status
// that holds a token of a higher term than the writer's: another holder has
// taken over, and the writer must stop.
func (a *Aggregate) Observe(o Observation) (superseded garnetworks.FencingToken, ok bool) {
	for n := range a.domain.Instances {
		id := a.domain.Instances[n].ID
		s, fresh := o.Fresh[id]
		if !fresh {
			a.observeSilence(id, o)
			continue
		}
		if s.Token.Term() > a.domain.Term+impossibleLead {
			// Garbage from one engine must not push the zone's terms to their end.
			a.Lose(id, o.Now, "names a token that nobody can have issued")
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

func (a *Aggregate) observeSilence(id garnetworks.InstanceID, o Observation) {
	i := a.Instance(id)
	silence := o.Now.Sub(o.Heard[id])
	switch i.Power {
	case garnetworks.PowerOn:
		if silence > o.Bounds.Loss {
			a.Lose(id, o.Now, "no confirmation for "+silence.Round(time.Second).String())
		}
	case garnetworks.PowerStarting:
		at, sent := o.Ordered[id]
		if sent && o.Now.Sub(at) > o.Bounds.Boot[i.Class] {
			a.Lose(id, o.Now, "did not answer after its boot time")
		}
	case garnetworks.PowerUnknown:
		if silence > o.Bounds.Boot[i.Class] {
			a.Lose(id, o.Now, "has not answered since it was listed")
		}
	}
}

func (a *Aggregate) observeStatus(id garnetworks.InstanceID, s garnetworks.EngineStatus, o Observation) {
	i := a.Instance(id)
	if i.Power == garnetworks.PowerStopping {
		return
	}
	a.SeeRunning(id)
	switch {
	case i.Condition == garnetworks.ConditionLost:
		a.Return(id, s.Incarnation, o.Now, "answers again")
	case i.Incarnation == 0:
		a.Learn(id, s.Incarnation)
	case i.Incarnation != s.Incarnation:
		a.Return(id, s.Incarnation, o.Now, "restarted and lost its state")
	case a.strayed(i, s):
		a.Return(id, s.Incarnation, o.Now, "says that it belongs to "+place(s))
	}
	a.Hold(id, s.Weights)
	if i.Condition == garnetworks.ConditionReturned && i.Group == "" && released(i, s) {
		_ = a.Readmit(id, s)
	}
	if s.Leaving || o.Leaving.Has(id) {
		a.Judge(id, garnetworks.ConditionLeaving)
	} else if i.Condition == garnetworks.ConditionLeaving {
		a.Judge(id, garnetworks.ConditionHealthy)
	}
}

// strayed reports whether a member of a group that had taken the group's order
// now says otherwise.
func (a *Aggregate) strayed(i *garnetworks.Instance, s garnetworks.EngineStatus) bool {
	g := a.Group(i.Group)
	if g == nil {
		return false
	}
	elsewhere := s.Group != g.ID || s.Token != g.Token || s.Phase == garnetworks.EngineIdle
	switch g.State {
	case garnetworks.GroupLoading, garnetworks.GroupServing:
		// A drain that an earlier holder ordered and never got written can't be
		// taken back: the engines would refuse all calls for good.
		return elsewhere || s.Phase == garnetworks.EngineDraining
	case garnetworks.GroupDraining:
		return elsewhere
	case garnetworks.GroupForming:
		return s.Group == g.ID && s.Phase == garnetworks.EngineDraining
	}
	return false
}

func place(s garnetworks.EngineStatus) string {
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
		// Rule D9: the first sign of leaving ends new calls to the whole group.
		a.Drain(id, o.Now, o.Bounds.Drain, "a member is leaving")
	}
	a.Advance(id, o.Fresh, o.Now)
	switch {
	case g.State == garnetworks.GroupForming:
		a.blame(g, o)
	case g.State == garnetworks.GroupLoading && o.Now.Sub(g.Since) > o.Bounds.Load:
		a.Break(id, o.Now, "did not load in time")
	}
	a.settleReplaced(id, o)
}

func (a *Aggregate) hasLeaving(g *garnetworks.Group) bool {
	return slices.ContainsFunc(g.Members, func(m garnetworks.InstanceID) bool {
		i := a.Instance(m)
		return i != nil && i.Condition == garnetworks.ConditionLeaving
	})
}

// blame refuses the members that have not taken the group's order in time, until
// they show by a release that they take orders again.
func (a *Aggregate) blame(g *garnetworks.Group, o Observation) {
	for _, m := range slices.Clone(g.Members) {
		s, ok := o.Fresh[m]
		at, asked := o.Asked[m]
		late := asked && o.Now.Sub(at) > o.Bounds.Form
		if late && (!ok || s.Group != g.ID || s.Token != g.Token) {
			a.Return(m, a.Instance(m).Incarnation, o.Now, "did not take the order to form "+string(g.ID))
		}
	}
}

// settleReplaced drains the group that a serving one replaces.
func (a *Aggregate) settleReplaced(id garnetworks.GroupID, o Observation) {
	g := a.Group(id)
	if g.State != garnetworks.GroupServing || g.Replaces == "" {
		return
	}
	replaced := g.Replaces
	g.Replaces = ""
	a.raise(Hard)
	a.Drain(replaced, o.Now, o.Bounds.Drain, "replaced by "+string(id))
}
