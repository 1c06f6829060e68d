package experimenter

import (
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/former"
)

// naivePlanner is the baseline for forming groups: it gives a group up when a member's
// entry has lapsed, and makes any free instances of a domain a group of the model with the
// fewest groups, whatever weights they hold. It prepares no spares.
type naivePlanner struct {
	sequence uint32
	// ordered holds the epochs of instances that were ordered into a group, until the store
	// lists them as members.
	ordered map[garnetworks.InstanceID]garnetworks.FencingToken
}

// Sent implements groupPolicy.
func (n *naivePlanner) Sent(time.Time, garnetworks.GroupOrder) {}

// Answered implements groupPolicy; the baseline uses only the store's list.
func (n *naivePlanner) Answered(time.Time, garnetworks.GroupOrder, error) {}

// Plan implements groupPolicy.
func (n *naivePlanner) Plan(_ time.Time, in former.Input) []garnetworks.GroupOrder {
	if n.ordered == nil {
		n.ordered = make(map[garnetworks.InstanceID]garnetworks.FencingToken)
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
	return append(orders, n.formGroups(&in, counts)...)
}

// forming reports whether members of the group are still to be listed.
func (n *naivePlanner) forming(g *former.Group) bool {
	for _, epoch := range n.ordered {
		if epoch == g.Epoch {
			return true
		}
	}
	return false
}

// formGroups returns orders that form groups of the free instances.
func (n *naivePlanner) formGroups(in *former.Input, counts map[garnetworks.ModelName]int) []garnetworks.GroupOrder {
	free := make(map[garnetworks.DomainID][]garnetworks.Incarnation)
	for _, id := range slices.Sorted(maps.Keys(in.Servers)) {
		s := in.Servers[id]
		if s.Membership.Epoch >= n.ordered[id] && s.Membership.Group != "" {
			delete(n.ordered, id)
		}
		if _, ordered := n.ordered[id]; s.Membership.Group == "" && !ordered {
			free[s.Domain] = append(free[s.Domain], s.Incarnation())
		}
	}
	var orders []garnetworks.GroupOrder
	for _, domain := range slices.Sorted(maps.Keys(free)) {
		for m := n.nextModel(in.Profile, counts, len(free[domain])); m != nil; m = n.nextModel(in.Profile, counts, len(free[domain])) {
			orders = append(orders, n.joinOrders(m, free[domain][:m.GroupSize])...)
			free[domain] = free[domain][m.GroupSize:]
			counts[m.Name]++
		}
	}
	return orders
}

func (n *naivePlanner) nextModel(profile *garnetworks.EngineProfile, counts map[garnetworks.ModelName]int, free int) *garnetworks.ModelProfile {
	var best *garnetworks.ModelProfile
	for i := range profile.Models {
		m := &profile.Models[i]
		if m.GroupSize <= free && (best == nil || counts[m.Name] < counts[best.Name]) {
			best = m
		}
	}
	return best
}

func (n *naivePlanner) joinOrders(m *garnetworks.ModelProfile, members []garnetworks.Incarnation) []garnetworks.GroupOrder {
	n.sequence++
	epoch := garnetworks.NewFencingToken(1, n.sequence)
	var orders []garnetworks.GroupOrder
	for _, id := range members {
		n.ordered[id.Instance] = epoch
		orders = append(orders, garnetworks.GroupOrder{
			Kind: garnetworks.GroupJoin, Incarnation: id, Group: former.GroupName(m.Name, epoch), Epoch: epoch, Model: m.Name, Members: members,
		})
	}
	return orders
}
