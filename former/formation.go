package former

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/warmer"
)

// abandon ends a formation. The instance that caused it, if any, is excluded for exclusionTime.
func (p *Planner) abandon(now time.Time, id garnetworks.GroupID, cause garnetworks.Incarnation) {
	if p.formations[id] == nil {
		return
	}
	if cause != (garnetworks.Incarnation{}) {
		p.excluded[cause] = now.Add(exclusionTime)
	}
	delete(p.formations, id)
	p.abandoned.Add(id)
}

// advanceFormations sends the next orders of the groups being formed, or abandons them.
func (r *plan) advanceFormations() {
	for _, id := range sortedKeys(r.formations) {
		r.advanceFormation(r.formations[id])
	}
}

func (r *plan) advanceFormation(f *formation) {
	ready := 0
	for i, id := range f.members {
		s, ok := r.server(id)
		switch {
		case !ok, !r.usable(&s):
			r.abandon(r.now, f.id, garnetworks.Incarnation{})
			return
		case s.Membership.Group == f.id && s.Membership.Epoch == f.epoch:
			if i == 0 && s.Membership.State == garnetworks.MemberOpen {
				delete(r.formations, f.id)
				return
			}
			if s.Membership.State == garnetworks.MemberReady {
				ready++
			}
		default:
			if last := r.sent[id]; last != nil && last.attempts >= maxJoinAttempts && !last.accepted && r.now.Sub(last.at) >= resendInterval {
				r.abandon(r.now, f.id, id)
				return
			}
			if last := r.sent[id]; last == nil || !last.accepted || last.order.Group != f.id {
				r.join(f, s)
			}
		}
	}
	if ready == len(f.members) && f.prewarms {
		r.prewarmed[f.members[0]] = f.model
		r.abandon(r.now, f.id, garnetworks.Incarnation{})
		return
	}
	if ready == len(f.members) { // rule O1
		head, _ := r.server(f.members[0])
		r.send(urgentOpening, garnetworks.GroupOrder{Kind: garnetworks.GroupOpen, Incarnation: head.Incarnation(), Address: head.Address, Group: f.id, Epoch: f.epoch})
		return
	}
	if r.now.After(f.deadline) || r.hasBetterMembers(f) {
		r.abandon(r.now, f.id, garnetworks.Incarnation{})
	}
}

// hasBetterMembers reports whether the group would open sooner with other members.
//
// This prevents a group from waiting for a load without need: a member is cut off for some
// seconds, an instance that has to load the weights takes its place, and the member returns
// with the weights.
func (r *plan) hasBetterMembers(f *formation) bool {
	m := r.profile(f.model)
	if m == nil || len(f.loading) == 0 {
		return false
	}
	first, _ := r.server(f.members[0])
	available := len(f.members)
	for _, id := range f.loading {
		if s, _ := r.server(id); s.Membership.Group != f.id || s.Membership.State == garnetworks.MemberJoining {
			available--
		}
	}
	if available == len(f.members) {
		return false
	}
	for _, s := range r.free()[first.Domain] {
		if readiness(&s, m) <= 1 {
			available++
		}
	}
	return available >= m.GroupSize
}

// join orders an instance into the group that is being formed.
func (r *plan) join(f *formation, s garnetworks.RegisteredServer) {
	u := urgentForming
	if f.prewarms {
		u = urgentCleanup
	}
	r.send(u, garnetworks.GroupOrder{
		Kind: garnetworks.GroupJoin, Incarnation: s.Incarnation(), Address: s.Address,
		Group: f.id, Epoch: f.epoch, Model: f.model, Members: f.members,
	})
}

// adopt continues the formation of a group that an earlier lease holder ordered.
func (r *plan) adopt(g *Group) {
	f := &formation{id: g.ID, epoch: g.Epoch, model: g.Model, deadline: r.now.Add(r.joinTime(g.Model) + joinMargin)}
	for i := range g.Members {
		f.members = append(f.members, g.Members[i].Incarnation())
	}
	r.formations[f.id] = f
}

// free returns the instances of each domain that may be ordered into a group.
func (r *plan) free() map[garnetworks.DomainID][]garnetworks.RegisteredServer {
	bound := make(garnetworks.Set[garnetworks.Incarnation])
	for _, f := range r.formations {
		for _, id := range f.members {
			bound.Add(id)
		}
	}
	free := make(map[garnetworks.DomainID][]garnetworks.RegisteredServer)
	for _, s := range r.Servers {
		if bound.Has(s.Incarnation()) || !r.usable(&s) || !r.released(&s) {
			continue
		}
		free[s.Domain] = append(free[s.Domain], s)
	}
	return free
}

func (r *plan) profile(model garnetworks.ModelName) *garnetworks.ModelProfile {
	for i := range r.Profile.Models {
		if r.Profile.Models[i].Name == model {
			return &r.Profile.Models[i]
		}
	}
	return nil
}

func (r *plan) joinTime(model garnetworks.ModelName) time.Duration {
	m := r.profile(model)
	if m == nil {
		return 0
	}
	return m.LoadTime
}

// formGroups orders new groups while a domain has enough free instances.
func (r *plan) formGroups() {
	counts := r.servingCounts()
	free := r.free()
	for domain := range free {
		if r.pendingLeaves.Has(domain) {
			delete(free, domain)
		}
	}
	r.reallocateGroups(free, counts)
	evacuated := make(map[garnetworks.DomainID][]garnetworks.RegisteredServer)
	for domain := range r.evacuatedDomains() {
		if servers, ok := free[domain]; ok {
			evacuated[domain] = servers
			delete(free, domain)
		}
	}
	r.formGroupsOf(free, counts)
	r.formGroupsOf(evacuated, r.groupCounts()) // rule O10
}

// formGroupsOf orders new groups of the free instances of some domains.
func (r *plan) formGroupsOf(free map[garnetworks.DomainID][]garnetworks.RegisteredServer, counts map[garnetworks.ModelName]int) {
	for {
		domain, model := r.nextGroup(free, counts)
		if model == nil {
			return
		}
		members := r.pick(free[domain], model, 1)
		free[domain] = without(free[domain], members)
		counts[model.Name]++
		r.form(model, members)
	}
}

// findPendingLeaves finds the domains with instances that are ordered to leave by this plan,
// or were ordered a moment ago and have not acknowledged it.
//
// No group is formed of such a domain's instances yet. The members of a broken group
// acknowledge one after the other; if the first few formed a group of a smaller model, the
// rest would be too few to replace the lost group.
func (r *plan) findPendingLeaves() {
	r.pendingLeaves = make(garnetworks.Set[garnetworks.DomainID])
	for i := range r.orders {
		if o := &r.orders[i]; o.Kind == garnetworks.GroupLeave {
			r.pendingLeaves.Add(r.Servers[o.Incarnation.Instance].Domain)
		}
	}
	for id, s := range r.sent {
		if s.order.Kind != garnetworks.GroupLeave || s.accepted || r.now.Sub(s.at) >= resendInterval {
			continue
		}
		if server, ok := r.server(id); ok && r.usable(&server) && !r.released(&server) {
			r.pendingLeaves.Add(server.Domain)
		}
	}
}

// groupCounts returns the number of groups of each model that are ready or being formed, those of
// evacuated zones included.
func (r *plan) groupCounts() map[garnetworks.ModelName]int { return r.countGroups(nil) }

// servingCounts returns the number of groups of each model that serve or are being formed.
//
// Failure: a zone is evacuated that holds most groups of a model. While its groups count, that model
// gets no more of the other zones' instances, and its calls wait for the few groups there.
func (r *plan) servingCounts() map[garnetworks.ModelName]int {
	return r.countGroups(r.evacuatedDomains())
}

// countGroups returns the number of groups of each model outside some domains.
func (r *plan) countGroups(without garnetworks.Set[garnetworks.DomainID]) map[garnetworks.ModelName]int {
	counts := make(map[garnetworks.ModelName]int)
	for i := range r.groups {
		if g := &r.groups[i]; !without.Has(g.Members[0].Domain) && g.Serves() && r.formations[g.ID] == nil && (g.Complete && !r.hasUnresponsive(g) || r.Progressing.Has(g.ID)) {
			counts[g.Model]++
		}
	}
	for _, f := range r.formations {
		if !f.prewarms && !without.Has(r.Servers[f.members[0].Instance].Domain) {
			counts[f.model]++
		}
	}
	return counts
}

// nextGroup returns the domain and the model of the group to form next: the model with the
// fewest groups for its share of the work, in the domain where its members need the fewest
// loads. Among equal domains it takes the one with the fewest free instances, which leaves
// larger gaps to larger models.
func (r *plan) nextGroup(free map[garnetworks.DomainID][]garnetworks.RegisteredServer, counts map[garnetworks.ModelName]int) (garnetworks.DomainID, *garnetworks.ModelProfile) {
	for _, m := range r.modelsByNeed(counts) {
		if domain, ok := r.bestDomain(free, m); ok {
			return domain, m
		}
	}
	return "", nil
}

// modelsByNeed returns the models sorted by descending marginalShare.
func (r *plan) modelsByNeed(counts map[garnetworks.ModelName]int) []*garnetworks.ModelProfile {
	models := make([]*garnetworks.ModelProfile, 0, len(r.Profile.Models))
	for i := range r.Profile.Models {
		if r.Profile.Models[i].GroupSize > 0 {
			models = append(models, &r.Profile.Models[i])
		}
	}
	slices.SortStableFunc(models, func(a, b *garnetworks.ModelProfile) int {
		return cmp.Compare(marginalShare(b, counts[b.Name]), marginalShare(a, counts[a.Name]))
	})
	return models
}

// marginalShare is the share of the work that one more group would carry, for each instance
// that it takes.
func marginalShare(m *garnetworks.ModelProfile, groups int) float64 {
	return m.InitialShare / float64(m.GroupSize*(groups+1))
}

func (r *plan) bestDomain(free map[garnetworks.DomainID][]garnetworks.RegisteredServer, m *garnetworks.ModelProfile) (garnetworks.DomainID, bool) {
	best, found := garnetworks.DomainID(""), false
	bestLoads, bestFree := 0, 0
	for _, domain := range sortedKeys(free) {
		servers := free[domain]
		if len(servers) < m.GroupSize {
			continue
		}
		loads := r.loadsNeeded(r.pick(servers, m, 1), m)
		if loads > r.loadsLeft || loads > 0 && !r.BeforeFirstCall {
			continue // rules O5 and O7
		}
		if e := r.reallocations[domain]; e != nil && e.model != m.Name {
			continue // reserved for the group that the reallocation completes
		}
		if !found || loads < bestLoads || loads == bestLoads && len(servers) < bestFree {
			best, found, bestLoads, bestFree = domain, true, loads, len(servers)
		}
	}
	return best, found
}

// readiness ranks an instance by how soon it can join a group of the model; lower is sooner.
func readiness(s *garnetworks.RegisteredServer, m *garnetworks.ModelProfile) int {
	switch {
	case s.Model == m.Name:
		return 0
	case slices.Contains(s.Staged, m.Name):
		return 1
	case s.Model == "" && len(s.Staged) == 0:
		return 2
	}
	return 3
}

// pick returns the instances for the given number of groups that would join soonest.
func (r *plan) pick(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile, groups int) []garnetworks.RegisteredServer {
	sorted := slices.Clone(servers)
	slices.SortFunc(sorted, func(a, b garnetworks.RegisteredServer) int {
		return cmp.Or(cmp.Compare(readiness(&a, m), readiness(&b, m)), warmer.Prefer(r.now, &a, &b), cmp.Compare(a.ID, b.ID))
	})
	return sorted[:groups*m.GroupSize]
}

func (r *plan) loadsNeeded(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) int {
	loads := 0
	for i := range servers {
		if readiness(&servers[i], m) > 1 {
			loads++
		}
	}
	return loads
}

// form orders the members into a new group.
func (r *plan) form(m *garnetworks.ModelProfile, members []garnetworks.RegisteredServer) {
	r.loadsLeft -= r.loadsNeeded(members, m)
	r.sequence++
	epoch := garnetworks.NewFencingToken(r.Term, r.sequence)
	f := &formation{id: GroupName(m.Name, epoch), epoch: epoch, model: m.Name, deadline: r.now.Add(m.LoadTime + joinMargin)}
	for i := range members {
		f.members = append(f.members, members[i].Incarnation())
		if readiness(&members[i], m) > 1 {
			f.loading = append(f.loading, members[i].Incarnation())
		}
	}
	r.formations[f.id] = f
	delete(r.reallocations, members[0].Domain)
	for i := range members {
		r.join(f, members[i])
	}
}
