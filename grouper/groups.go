package grouper

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Form creates a group under a new token (D3). The group's name contains the token and so is
// never reused.
func (a *Aggregate) Form(spec garnetworks.Group, now time.Time) (garnetworks.GroupID, error) {
	if len(spec.Members) == 0 {
		return "", garnetworks.Errorf(garnetworks.KindConflict, "a group needs at least one member")
	}
	if err := a.checkMembers(spec.Members); err != nil {
		return "", err
	}
	if spec.Replaces != "" && a.Group(spec.Replaces) == nil {
		spec.Replaces = ""
	}
	token := a.nextToken()
	group := spec
	group.ID = garnetworks.GroupID(fmt.Sprintf("%s-%d-%d", a.domain.ID, token.Term(), token.Sequence()))
	group.Token = token
	group.Members = slices.Clone(spec.Members)
	group.Adapters = slices.Clone(spec.Adapters)
	group.State = garnetworks.GroupForming
	group.Since = now
	group.DrainUntil = time.Time{}
	for _, m := range group.Members {
		i := a.Instance(m)
		i.Group = group.ID
		i.Token = token
	}
	a.domain.Groups = append(a.domain.Groups, group)
	slices.SortFunc(a.domain.Groups, func(x, y garnetworks.Group) int { return cmp.Compare(x.ID, y.ID) })
	a.record(garnetworks.EventGroupFormed, group.ID, "", "%s@%s of %v", group.Model, group.Version, group.Members)
	return group.ID, nil
}

func (a *Aggregate) checkMembers(members []garnetworks.InstanceID) error {
	seen := garnetworks.NewSet[garnetworks.InstanceID]()
	class := ""
	for _, m := range members {
		i := a.Instance(m)
		switch {
		case i == nil:
			return garnetworks.Errorf(garnetworks.KindNotFound, "instance %s is not in domain %s", m, a.domain.ID)
		case seen.Has(m):
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is listed twice", m)
		case i.Group != "":
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is in group %s", m, i.Group)
		case i.Condition != garnetworks.ConditionHealthy:
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is %s", m, i.Condition)
		case i.Power != garnetworks.PowerOn:
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is not powered on: its power is %s", m, i.Power)
		case class != "" && i.Class != class:
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is of class %s, not %s", m, i.Class, class)
		}
		seen.Add(m)
		class = i.Class
	}
	return nil
}

// Advance moves a group to loading or serving when its members' statuses show it (D4).
func (a *Aggregate) Advance(id garnetworks.GroupID, fresh Statuses, now time.Time) {
	g := a.Group(id)
	if g == nil || (g.State != garnetworks.GroupForming && g.State != garnetworks.GroupLoading) {
		return
	}
	if Confirmed(&a.domain, g, fresh) {
		a.enter(g, garnetworks.GroupServing, now)
		a.record(garnetworks.EventGroupServing, id, "", "%s@%s", g.Model, g.Version)
		// A new lease holder observes again that the group serves, so the write can wait
		// unless the group replaces another one, which has to be drained.
		if g.Replaces != "" {
			a.raise(Hard)
		}
		return
	}
	if g.State == garnetworks.GroupForming && acceptedByAll(g, fresh) {
		a.enter(g, garnetworks.GroupLoading, now)
	}
}

func (a *Aggregate) enter(g *garnetworks.Group, state garnetworks.GroupState, now time.Time) {
	g.State = state
	g.Since = now
	a.raise(Soft)
}

// acceptedByAll reports whether every member reports that it accepted the group's order.
func acceptedByAll(g *garnetworks.Group, fresh Statuses) bool {
	for _, m := range g.Members {
		s, ok := fresh[m]
		if !ok || s.Group != g.ID || s.Token != g.Token {
			return false
		}
	}
	return true
}

// SetAdapters changes the adapters that the group's members should hold.
func (a *Aggregate) SetAdapters(id garnetworks.GroupID, adapters []garnetworks.AdapterName) {
	g := a.Group(id)
	if g == nil || slices.Equal(g.Adapters, adapters) {
		return
	}
	g.Adapters = slices.Clone(adapters)
	a.raise(Hard)
}

// Break marks a group as unable to serve (D5).
func (a *Aggregate) Break(id garnetworks.GroupID, now time.Time, reason string) {
	g := a.Group(id)
	if g == nil || g.State == garnetworks.GroupBroken {
		return
	}
	a.enter(g, garnetworks.GroupBroken, now)
	a.raise(Hard)
	a.record(garnetworks.EventGroupBroken, id, "", "%s", reason)
	for _, m := range g.Members {
		a.requireRelease(a.Instance(m))
	}
}

func (a *Aggregate) breakGroupOf(i *garnetworks.Instance, now time.Time, reason string) {
	if i.Group != "" {
		a.Break(i.Group, now, string(i.ID)+": "+reason)
	}
}

// requireRelease makes a former member that ignores fencing tokens confirm its release before
// it can join another group (D7).
func (a *Aggregate) requireRelease(i *garnetworks.Instance) {
	if i == nil || i.ChecksFencing || i.Condition != garnetworks.ConditionHealthy {
		return
	}
	i.Condition = garnetworks.ConditionReturned
}

// Drain stops new calls to a group. The group may be dissolved at the latest after grace.
func (a *Aggregate) Drain(id garnetworks.GroupID, now time.Time, grace time.Duration, reason string) {
	g := a.Group(id)
	if g == nil || g.State == garnetworks.GroupBroken {
		return
	}
	until := now.Add(grace)
	if g.State == garnetworks.GroupDraining {
		// The shorter grace wins, since the power may be needed sooner.
		if until.Before(g.DrainUntil) {
			g.DrainUntil = until
			a.raise(Hard)
		}
		return
	}
	a.enter(g, garnetworks.GroupDraining, now)
	a.raise(Hard)
	g.DrainUntil = until
	a.record(garnetworks.EventGroupDraining, id, "", "%s", reason)
}

// Dissolve removes a group and releases its members under a new token.
func (a *Aggregate) Dissolve(id garnetworks.GroupID, reason string) {
	g := a.Group(id)
	if g == nil {
		return
	}
	token := a.nextToken()
	for _, m := range g.Members {
		i := a.Instance(m)
		if i == nil || i.Group != id {
			continue
		}
		i.Group = ""
		i.Token = token
		a.requireRelease(i)
	}
	a.domain.Groups = slices.DeleteFunc(a.domain.Groups, func(x garnetworks.Group) bool { return x.ID == id })
	for n := range a.domain.Groups {
		if a.domain.Groups[n].Replaces == id {
			a.domain.Groups[n].Replaces = ""
		}
	}
	a.record(garnetworks.EventGroupReleased, id, "", "%s", reason)
}
