package former

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// maintainGroups dissolves, closes, opens or adopts the groups that are not being formed.
func (r *plan) maintainGroups() {
	for i := range r.groups {
		if g := &r.groups[i]; r.formations[g.ID] == nil {
			r.maintainGroup(g)
		}
	}
}

func (r *plan) maintainGroup(g *Group) {
	head, ok := g.Head()
	switch {
	case r.abandoned.Has(g.ID) || g.Lost || ok && head.Membership.State == garnetworks.MemberBroken:
		r.dissolve(g)
	case !g.Complete || r.hasUnresponsive(g):
		// A group that still makes progress has all its members: they are only cut off from
		// the store or from this node, or the head stopped without notice. Dissolving the
		// group would end its calls.
		if !r.Progressing.Has(g.ID) {
			r.dissolve(g)
		}
	case g.Leaving || r.reallocating(g.ID):
		r.closeGroup(g, head)
	case !r.noMemberLeft(g):
		r.dissolve(g)
	case g.AllIn(garnetworks.MemberReady): // rule O1: an earlier lease holder left it unopened
		r.send(urgentOpening, garnetworks.GroupOrder{Kind: garnetworks.GroupOpen, Incarnation: head.Incarnation(), Address: head.Address, Group: g.ID, Epoch: g.Epoch})
	case head.Membership.State == garnetworks.MemberJoining || head.Membership.State == garnetworks.MemberReady:
		r.adopt(g)
	}
}

// noMemberLeft reports whether no member has acknowledged that it left the group, which the
// registered entries show only later.
func (r *plan) noMemberLeft(g *Group) bool {
	return !slices.ContainsFunc(g.Members, func(s garnetworks.RegisteredServer) bool { return r.membership(&s).Group != g.ID })
}

func (r *plan) hasUnresponsive(g *Group) bool {
	return slices.ContainsFunc(g.Members, func(s garnetworks.RegisteredServer) bool { return r.Unresponsive.Has(s.Incarnation()) })
}

// dissolve orders the members of a group that can't serve to leave it. Each one must
// acknowledge that before it is ordered into another group (rule O2): a head behind a
// partition may still serve, and a member that was reassigned without its acknowledgement
// would belong to two groups.
func (r *plan) dissolve(g *Group) {
	for i := range g.Members {
		m := &g.Members[i]
		if r.now.Before(r.uncertainUntil[m.Domain]) {
			return
		}
		r.release(m, urgentForming)
	}
}

// release orders an instance to leave the group that it is or may be in.
func (r *plan) release(s *garnetworks.RegisteredServer, u urgency) {
	in := r.membership(s)
	if in.Group == "" || !r.usable(s) || r.formations[in.Group] != nil {
		return
	}
	r.send(u, garnetworks.GroupOrder{Kind: garnetworks.GroupLeave, Incarnation: s.Incarnation(), Address: s.Address, Group: in.Group, Epoch: in.Epoch})
}

// membership returns the group that the instance is in, by its entry or by the orders that it
// was sent since; it is empty if the instance has left the group.
//
// The orders count because the entry lags. Otherwise an instance that was ordered into a group
// that is abandoned a moment later would be ordered into a second group before leaving the
// first.
func (r *plan) membership(s *garnetworks.RegisteredServer) garnetworks.Membership {
	in := s.Membership
	if joined := r.joined[s.Incarnation()]; joined.Epoch > in.Epoch {
		in = joined
	}
	if left, ok := r.left[s.Incarnation()]; ok && left.Group == in.Group && left.Epoch == in.Epoch {
		return garnetworks.Membership{}
	}
	return in
}

// closeGroup lets a group finish its calls before it is dissolved (rule O6).
func (r *plan) closeGroup(g *Group, head garnetworks.RegisteredServer) {
	switch head.Membership.State {
	case garnetworks.MemberOpen:
		r.close(head)
	case garnetworks.MemberClosing:
	default:
		r.dissolve(g)
	}
}

// releaseAbandoned orders instances to leave groups that were abandoned before the instances'
// entries showed them.
func (r *plan) releaseAbandoned() {
	for _, id := range sortedIncarnations(r.joined) {
		s, ok := r.server(id)
		if !ok {
			delete(r.joined, id)
			continue
		}
		if r.joined[id].Epoch > s.Membership.Epoch {
			r.release(&s, urgentCleanup)
		}
	}
}

// released reports whether the instance belongs to no group (rule O2).
func (r *plan) released(s *garnetworks.RegisteredServer) bool { return r.membership(s).Group == "" }
