package former

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// followGroups looks after the groups that are not being formed.
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
		// Failure: members are cut off from the store or from this node, or the head
		// stops without having said so, and the group serves on. Taking it for lost
		// would cut its calls off and cost the time of forming it anew. Where a member
		// really is lost, nothing moves.
		if !r.Progressing.Has(g.ID) {
			r.dissolve(g)
		}
	case g.Leaving || r.reallocating(g.ID):
		r.closeGroup(g, head)
	case !r.noMemberLeft(g):
		r.dissolve(g)
	case g.AllIn(garnetworks.MemberReady): // rule O1: an earlier holder left it so.
		r.send(urgentOpening, garnetworks.GroupOrder{Kind: garnetworks.GroupOpen, Incarnation: head.Incarnation(), Address: head.Address, Group: g.ID, Epoch: g.Epoch})
	case head.Membership.State == garnetworks.MemberJoining || head.Membership.State == garnetworks.MemberReady:
		r.adopt(g)
	}
}

// together reports whether no member has left the group by its own word. Its entry
// tells that later.
func (r *plan) noMemberLeft(g *Group) bool {
	return !slices.ContainsFunc(g.Members, func(s garnetworks.RegisteredServer) bool { return r.membership(&s).Group != g.ID })
}

func (r *plan) hasUnresponsive(g *Group) bool {
	return slices.ContainsFunc(g.Members, func(s garnetworks.RegisteredServer) bool { return r.Unresponsive.Has(s.Incarnation()) })
}

// dissolve makes the members of a group that can't serve leave it. Each one says
// itself that it has left before it is ordered into another group (rule O2): a
// head that can't be reached may serve on behind a partition, and a member that
// was taken away without its word would belong to two groups.
func (r *plan) dissolve(g *Group) {
	for i := range g.Members {
		m := &g.Members[i]
		if r.now.Before(r.uncertainUntil[m.Domain]) {
			return
		}
		r.release(m, urgentForming)
	}
}

// release makes an instance leave the group that it is or may be in.
func (r *plan) release(s *garnetworks.RegisteredServer, u urgency) {
	in := r.membership(s)
	if in.Group == "" || !r.usable(s) || r.formations[in.Group] != nil {
		return
	}
	r.send(u, garnetworks.GroupOrder{Kind: garnetworks.GroupLeave, Incarnation: s.Incarnation(), Address: s.Address, Group: in.Group, Epoch: in.Epoch})
}

// membership returns the group that the instance is in, as far as its entry or the
// orders since tell; none if it has left it.
//
// Failure: an instance takes the order to join a group that is given up a moment
// later. Its entry, which lags, shows no group; it would be ordered into a second
// group without having left the first one.
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

// releaseGivenUp makes instances leave the groups that they were ordered into and
// that were given up before their entries told of them.
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
