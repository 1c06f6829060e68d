package gateway

import (
	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/former"
	"github.com/garnetworks/garnetworks/matcher"
)

// groupIndex holds the groups that the registered engines report. It observes only the groups
// of engines that have changed: thousands of engines change one after the other when a site
// starts or is released, and observing all of them for each change takes a node's processor.
type groupIndex struct {
	// routing is the version of the routing that groups were observed with.
	routing uint64
	engines follower.Servers
	// related holds for each group the engines that report to be in it, or to have been in it
	// before they restarted.
	related map[garnetworks.GroupID]garnetworks.Set[garnetworks.InstanceID]
	groups  map[garnetworks.GroupID]former.Group
	// observed counts the engines that were looked at.
	observed int
}

func newGroupIndex() *groupIndex {
	return &groupIndex{
		engines: make(follower.Servers), related: make(map[garnetworks.GroupID]garnetworks.Set[garnetworks.InstanceID]),
		groups: make(map[garnetworks.GroupID]former.Group),
	}
}

// relatedGroups returns the groups whose state an entry has a part in.
func relatedGroups(s *garnetworks.RegisteredServer) []garnetworks.GroupID {
	var ids []garnetworks.GroupID
	for _, m := range []garnetworks.Membership{s.Membership, s.PreviousMembership} {
		if m.Group != "" {
			ids = append(ids, m.Group)
		}
	}
	return ids
}

// update applies changed entries and observes the groups that they concern, or all groups if the
// routing has changed.
func (x *groupIndex) update(routing *matcher.Index, updates map[garnetworks.InstanceID]follower.Update) {
	concerned := make(garnetworks.Set[garnetworks.GroupID])
	for id, u := range updates {
		if old, ok := x.engines[id]; ok {
			for _, group := range relatedGroups(&old) {
				x.related[group].Remove(id)
				concerned.Add(group)
			}
		}
		delete(x.engines, id)
		if !u.Registered {
			continue
		}
		x.engines[id] = u.RegisteredServer
		for _, group := range relatedGroups(&u.RegisteredServer) {
			if x.related[group] == nil {
				x.related[group] = make(garnetworks.Set[garnetworks.InstanceID])
			}
			x.related[group].Add(id)
			concerned.Add(group)
		}
	}
	if routing.Version != x.routing {
		x.routing = routing.Version
		for group := range x.related {
			concerned.Add(group)
		}
	}
	for group := range concerned {
		x.observe(routing, group)
	}
}

// observe replaces a group by what its engines report.
func (x *groupIndex) observe(routing *matcher.Index, id garnetworks.GroupID) {
	delete(x.groups, id)
	if len(x.related[id]) == 0 {
		delete(x.related, id)
		return
	}
	engines := make(follower.Servers, len(x.related[id]))
	services := make(garnetworks.Set[garnetworks.ServiceName])
	for instance := range x.related[id] {
		s := x.engines[instance]
		engines[instance] = s
		services.Add(s.Service)
	}
	x.observed += len(engines)
	for name := range services {
		service, ok := routing.Service(name)
		if !ok {
			continue
		}
		profile, ok := service.Engines.Get()
		if !ok {
			continue
		}
		for _, group := range former.Observe(engines, name, former.Sizes(&profile)) {
			if group.ID == id {
				x.groups[id] = group
			}
		}
	}
}
