package experimenter

import (
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/former"
)

// naive is the baseline for groups: a group is given up when an entry of it has
// lapsed, its members leave, and any free instances of a domain become a group of the
// model with the fewest groups, whatever they hold. It prepares no spares.
type naive struct {
	sequence uint32
	// bound are the instances that were ordered into a group, until their entries
	// tell of it.
	bound map[garnetworks.InstanceID]garnetworks.FencingToken
}

// Sent implements groupPolicy.
func (n *naive) Sent(time.Time, garnetworks.GroupOrder) {}

// Answered implements groupPolicy; the baseline learns by the list alone.
func (n *naive) Answered(time.Time, garnetworks.GroupOrder, error) {}

// Plan implements groupPolicy.
func (n *naive) Plan(_ time.Time, in former.Input) []garnetworks.GroupOrder {
	if n.bound == nil {
		n.bound = make(map[garnetworks.InstanceID]garnetworks.FencingToken)
	}
	var orders []garnetworks.GroupOrder
	counts := make(map[garnetworks.ModelName]int)
	for _, g := range former.Observe(in.Servers, in.Service, former.Sizes(in.Profile)) {
		counts[g.Model]++
		switch head, ok := g.Head(); {
		case g.AllIn(garnetworks.MemberReady):
			orders = append(orders, garnetworks.GroupOrder{Kind: garnetworks.GroupOpen, Incarnation: head.Incarnation(), Group: g.ID, Epoch: g.Epoch})
		case (!g.Complete || !ok) && !n.forming(&g):
			for _, m := range g.Members {
				orders = append(orders, garnetworks.GroupOrder{Kind: garnetworks.GroupLeave, Incarnation: m.Incarnation(), Group: g.ID, Epoch: g.Epoch})
			}
		}
	}
	return append(orders, n.form(&in, counts)...)
}

// forming reports whether entries of the group's members are still to come.
func (n *naive) forming(g *former.Group) bool {
	for _, epoch := range n.bound {
		if epoch == g.Epoch {
			return true
		}
	}
	return false
}

// form orders groups of free instances, by their identifiers.
func (n *naive) form(in *former.Input, counts map[garnetworks.ModelName]int) []garnetworks.GroupOrder {
	free := make(map[garnetworks.DomainID][]garnetworks.Incarnation)
	for _, id := range slices.Sorted(maps.Keys(in.Servers)) {
		s := in.Servers[id]
		if s.Membership.Epoch >= n.bound[id] && s.Membership.Group != "" {
			delete(n.bound, id)
		}
		if _, bound := n.bound[id]; s.Membership.Group == "" && !bound {
			free[s.Domain] = append(free[s.Domain], s.Incarnation())
		}
	}
	var orders []garnetworks.GroupOrder
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for m := n.next(in.Profile, counts, len(free[domain])); m != nil; m = n.next(in.Profile, counts, len(free[domain])) {
			orders = append(orders, n.join(m, free[domain][:m.GroupSize])...)
			free[domain] = free[domain][m.GroupSize:]
			counts[m.Name]++
		}
	}
	return orders
}

func (n *naive) next(profile *garnetworks.EngineProfile, counts map[garnetworks.ModelName]int, free int) *garnetworks.ModelProfile {
	var best *garnetworks.ModelProfile
	for i := range profile.Models {
		m := &profile.Models[i]
		if m.GroupSize <= free && (best == nil || counts[m.Name] < counts[best.Name]) {
			best = m
		}
	}
	return best
}

func (n *naive) join(m *garnetworks.ModelProfile, members []garnetworks.Incarnation) []garnetworks.GroupOrder {
	n.sequence++
	epoch := garnetworks.NewFencingToken(1, n.sequence)
	var orders []garnetworks.GroupOrder
	for _, id := range members {
		n.bound[id.Instance] = epoch
		orders = append(orders, garnetworks.GroupOrder{
			Kind: garnetworks.GroupJoin, Incarnation: id, Group: former.GroupName(m.Name, epoch), Epoch: epoch, Model: m.Name, Members: members,
		})
	}
	return orders
}
