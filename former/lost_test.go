package former

import (
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// Groups with unresponsive members are reported as lost, unless the group is progressing or the
// unresponsive instance is of an earlier incarnation or in no group.
func TestFindLostGroups(t *testing.T) {
	server := func(id garnetworks.InstanceID, startMS int64, group garnetworks.GroupID) garnetworks.RegisteredServer {
		s := garnetworks.RegisteredServer{ListedInstance: garnetworks.ListedInstance{ID: id}, StartMS: startMS}
		s.Membership.Group = group
		return s
	}
	// Group "gone" is lost. Server d has restarted since it was found unresponsive at start 1, e is
	// in no group, and f responds.
	servers := follower.Servers{
		"a": server("a", 1, "gone"), "b": server("b", 1, "gone"), "c": server("c", 1, "progressing"),
		"d": server("d", 2, "restarted"), "e": server("e", 1, ""), "f": server("f", 1, "healthy"),
	}
	f := &Former{options: Options{Progressing: func() garnetworks.Set[garnetworks.GroupID] {
		return garnetworks.NewSet[garnetworks.GroupID]("progressing")
	}}}
	f.unresponsive = make(garnetworks.Set[garnetworks.Incarnation])
	for _, id := range []garnetworks.InstanceID{"a", "b", "c", "d", "e"} {
		f.unresponsive.Add(garnetworks.Incarnation{Instance: id, StartMS: 1})
	}
	f.findLostGroups(servers)
	if got := f.Lost(); len(got) != 1 || got[0] != "gone" {
		t.Errorf("got lost groups %v, want [gone]", got)
	}
}
