package former

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// Group is a replica group as its members report it.
type Group struct {
	ID      garnetworks.GroupID
	Epoch   garnetworks.FencingToken
	Service garnetworks.ServiceName
	Model   garnetworks.ModelName
	// Members are the registered members, sorted by rank.
	Members []garnetworks.RegisteredServer
	// Complete says that all ranks of the model's group size are present in one epoch.
	Complete bool
	// Leaving says that a member is about to stop.
	Leaving bool
	// Lost says that a member has restarted since it was ready, so that the group can't
	// serve whatever its head reports.
	Lost bool
}

// Head returns the member with rank 0, if it is registered.
func (g *Group) Head() (garnetworks.RegisteredServer, bool) {
	if len(g.Members) > 0 && g.Members[0].Membership.Rank == 0 {
		return g.Members[0], true
	}
	return garnetworks.RegisteredServer{}, false
}

// Serves reports whether the group may get calls. It was opened when all members were ready
// (rule O1). A member that is not listed may only be cut off from the store; if it is lost,
// the group makes no progress and is detected by that.
func (g *Group) Serves() bool {
	h, ok := g.Head()
	return ok && !g.Leaving && !g.Lost && h.Membership.State == garnetworks.MemberOpen
}

// AllIn reports whether the group is complete and each member has one of the states.
func (g *Group) AllIn(states ...garnetworks.MemberState) bool {
	for i := range g.Members {
		if !slices.Contains(states, g.Members[i].Membership.State) {
			return false
		}
	}
	return g.Complete
}

// groupSeparator separates the model from the epoch in a group's name.
const groupSeparator = "."

// GroupName returns the name of a group. It contains the model, so that the model of a group
// whose members are still joining is known from their reports alone.
func GroupName(model garnetworks.ModelName, epoch garnetworks.FencingToken) garnetworks.GroupID {
	return garnetworks.GroupID(string(model) + groupSeparator + strconv.FormatUint(uint64(epoch), 36))
}

// GroupModel returns the model in a group's name.
func GroupModel(id garnetworks.GroupID) garnetworks.ModelName {
	at := strings.LastIndex(string(id), groupSeparator)
	if at < 0 {
		return ""
	}
	return garnetworks.ModelName(id[:at])
}

// GroupEpoch returns the epoch in a group's name, if there is one.
func GroupEpoch(id garnetworks.GroupID) (epoch garnetworks.FencingToken, ok bool) {
	at := strings.LastIndex(string(id), groupSeparator)
	n, err := strconv.ParseUint(string(id[at+1:]), 36, 64)
	return garnetworks.FencingToken(n), err == nil
}

// Observe returns the groups that a service's servers report, sorted by name. Reports of
// servers of other or unknown services are ignored.
func Observe(servers follower.Servers, service garnetworks.ServiceName, sizes map[garnetworks.ModelName]int) []Group {
	byName := make(map[garnetworks.GroupID]*Group)
	ended := make(map[garnetworks.GroupID]garnetworks.FencingToken)
	for _, s := range servers {
		if s.Service != service {
			continue
		}
		if s.PreviousMembership.Group != "" {
			ended[s.PreviousMembership.Group] = max(ended[s.PreviousMembership.Group], s.PreviousMembership.Epoch)
		}
		if s.Membership.Group == "" {
			continue
		}
		g := byName[s.Membership.Group]
		if g == nil {
			g = &Group{ID: s.Membership.Group, Service: s.Service, Model: GroupModel(s.Membership.Group)}
			byName[g.ID] = g
		}
		g.Epoch = max(g.Epoch, s.Membership.Epoch)
		g.Members = append(g.Members, s)
	}
	groups := make([]Group, 0, len(byName))
	for _, g := range byName {
		g.finish(sizes[g.Model])
		if epoch, ok := ended[g.ID]; ok && epoch == g.Epoch {
			g.Lost = true
		}
		groups = append(groups, *g)
	}
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(a.ID, b.ID) })
	return groups
}

// finish removes members of other epochs, sorts the rest by rank and sets the group's flags.
//
// Failure: another program writes an entry that claims a group at a later epoch. No order has joined
// an engine to a group at another epoch than that of its name, so the group's own members count.
func (g *Group) finish(size int) {
	named, ok := GroupEpoch(g.ID)
	if ok && slices.ContainsFunc(g.Members, func(s garnetworks.RegisteredServer) bool { return s.Membership.Epoch == named }) {
		g.Epoch = named
	}
	g.Members = slices.DeleteFunc(g.Members, func(s garnetworks.RegisteredServer) bool {
		return s.Membership.Epoch != g.Epoch
	})
	slices.SortFunc(g.Members, func(a, b garnetworks.RegisteredServer) int {
		return cmp.Or(cmp.Compare(a.Membership.Rank, b.Membership.Rank), cmp.Compare(a.ID, b.ID))
	})
	g.Complete = size > 0 && len(g.Members) == size
	opened := len(g.Members) > 0 && g.Members[0].Membership.Rank == 0 && g.Members[0].Membership.State == garnetworks.MemberOpen
	for i := range g.Members {
		// All members were ready when the head opened (rule O1). One that joins an open group
		// has restarted and carried out a delayed join.
		g.Lost = g.Lost || opened && g.Members[i].Membership.State == garnetworks.MemberJoining
		if g.Members[i].Membership.Rank != i {
			g.Complete = false
		}
		if g.Members[i].State == garnetworks.ListedLeaving {
			g.Leaving = true
		}
	}
}

// Sizes returns the group size of each model.
func Sizes(profile *garnetworks.EngineProfile) map[garnetworks.ModelName]int {
	sizes := make(map[garnetworks.ModelName]int, len(profile.Models))
	for _, m := range profile.Models {
		sizes[m.Name] = m.GroupSize
	}
	return sizes
}
