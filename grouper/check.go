package grouper

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// Statuses are the engines' reported statuses that are recent enough to count.
type Statuses map[garnetworks.InstanceID]garnetworks.EngineStatus

// Confirmed reports whether every member confirms the group (rule G1).
func Confirmed(d *garnetworks.FabricDomain, g *garnetworks.Group, fresh Statuses) bool {
	for _, m := range g.Members {
		if !Confirms(FindInstance(d, m), g, fresh) {
			return false
		}
	}
	return len(g.Members) > 0
}

// Confirms reports whether one member confirms the group.
func Confirms(i *garnetworks.Instance, g *garnetworks.Group, fresh Statuses) bool {
	if i == nil {
		return false
	}
	s, ok := fresh[i.ID]
	if !ok {
		return false
	}
	return s.Phase == garnetworks.EngineReady &&
		s.Group == g.ID &&
		s.Token == g.Token &&
		s.Model == g.Model &&
		s.Version == g.Version &&
		s.Incarnation == i.Incarnation
}

// Check returns an error for the first invariant that the domain violates.
func Check(d *garnetworks.FabricDomain) error {
	if err := checkOrder(d); err != nil {
		return err
	}
	maxToken := garnetworks.NewFencingToken(d.Term, d.Sequence)
	for n := range d.Instances {
		i := &d.Instances[n]
		if i.Token > maxToken {
			return violation(d, "instance %s holds token %s above the domain's %s", i.ID, i.Token, maxToken)
		}
		if i.Group == "" {
			continue
		}
		g := FindGroup(d, i.Group)
		if g == nil || !slices.Contains(g.Members, i.ID) {
			return violation(d, "instance %s names group %s, which does not name it", i.ID, i.Group)
		}
	}
	assigned := garnetworks.NewSet[garnetworks.InstanceID]()
	for n := range d.Groups {
		if err := checkGroup(d, &d.Groups[n], assigned, maxToken); err != nil {
			return err
		}
	}
	return nil
}

func checkOrder(d *garnetworks.FabricDomain) error {
	for n := 1; n < len(d.Instances); n++ {
		if d.Instances[n-1].ID >= d.Instances[n].ID {
			return violation(d, "instance %s is out of order", d.Instances[n].ID)
		}
	}
	for n := 1; n < len(d.Groups); n++ {
		if d.Groups[n-1].ID >= d.Groups[n].ID {
			return violation(d, "group %s is out of order", d.Groups[n].ID)
		}
	}
	return nil
}

func checkGroup(d *garnetworks.FabricDomain, g *garnetworks.Group, assigned garnetworks.Set[garnetworks.InstanceID], maxToken garnetworks.FencingToken) error {
	if g.Token > maxToken {
		return violation(d, "group %s holds token %s above the domain's %s", g.ID, g.Token, maxToken)
	}
	if len(g.Members) == 0 {
		return violation(d, "group %s has no members", g.ID)
	}
	for _, m := range g.Members {
		i := FindInstance(d, m)
		switch {
		case i == nil:
			return violation(d, "group %s names %s, which is not in the domain", g.ID, m)
		case assigned.Has(m):
			return violation(d, "instance %s is in two groups, one of them %s", m, g.ID)
		case i.Group != g.ID:
			return violation(d, "group %s names %s, which names %q", g.ID, m, i.Group)
		case g.State != garnetworks.GroupBroken && i.Token != g.Token:
			return violation(d, "member %s of %s holds token %s, not %s", m, g.ID, i.Token, g.Token)
		case g.State != garnetworks.GroupBroken && i.Power == garnetworks.PowerOff:
			return violation(d, "member %s of %s is off", m, g.ID)
		}
		assigned.Add(m)
	}
	return nil
}

func violation(d *garnetworks.FabricDomain, format string, args ...any) error {
	return garnetworks.WrapError(garnetworks.KindInternal, garnetworks.Errorf(garnetworks.KindInternal, format, args...), "domain "+string(d.ID))
}
