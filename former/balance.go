package former

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// reallocationTimeout bounds a reallocation. It covers the longest usual call
	// deadline, 8 s, because a closed group finishes its calls before its members can join
	// another.
	reallocationTimeout = 8 * time.Second
	// reallocationDowntime is the assumed time from the closing of a group until its members
	// serve again: its calls end, and the new group starts without loading weights.
	reallocationDowntime = 4 * time.Second
	// paybackTime is the time within which paysOff requires a reallocation to recover its cost.
	// Where engines are lost every few seconds, a domain changes again about as soon.
	paybackTime = 20 * time.Second
	// takeoverGrace is the time after taking the lease in which no several groups are closed for
	// another one. Groups that the last holder was changing are complete or lost by then.
	takeoverGrace = returnGrace
	// unreachableCount missing instances of a domain indicate that it is unreachable, for up to
	// unreachableWindow after their entries vanished; losses are of two or three each 3 s.
	unreachableCount  = 8
	unreachableWindow = 12 * time.Second
	// minReserve is the number of instances of a domain outside a model's groups that should
	// hold the model, so that a lost member can be replaced without a load even when no spare
	// is left. In a domain of 27 that loses one instance every 6 s, eight last for 48 s, the
	// time of three loads.
	minReserve = 8
	// secondModelLoadFraction is the part of MaxConcurrentLoads that loads of second models may
	// use. The rest is kept for the models that a domain lacks; beyond MaxConcurrentLoads each
	// load takes longer.
	secondModelLoadFraction = 0.5
)

// reallocation describes the groups that a domain closes so that their instances can form
// a group of another model.
type reallocation struct {
	groups   []garnetworks.GroupID
	model    garnetworks.ModelName
	deadline time.Time
}

// utility is the sum over the models of InitialShare times the logarithm of the number of
// groups. It is highest when the instances are divided in proportion to the shares.
func utility(profile *garnetworks.EngineProfile, counts map[garnetworks.ModelName]int) float64 {
	// ungroupedWeight stands in for the number of groups of a model without any.
	const ungroupedWeight = 0.1
	total := 0.0
	for i := range profile.Models {
		m := &profile.Models[i]
		total += m.InitialShare * math.Log(max(ungroupedWeight, float64(counts[m.Name])))
	}
	return total
}

// reallocateGroups closes groups whose members complete a group of another model without a
// load, where that raises the utility. At most one reallocation runs in a domain.
//
// This guards against two failures: losses leave a domain one instance short of a large group
// while a member of a small group has the large model on its host; and the instances of a
// domain restart and form only small groups, so that no single one has enough members for a
// large group. The second needs several groups to be closed at once. That is limited to one
// domain at a time and to reallocations that pay off, because otherwise a single lost instance
// starts reallocations in all domains.
func (r *plan) reallocateGroups(free map[garnetworks.DomainID][]garnetworks.RegisteredServer, counts map[garnetworks.ModelName]int) {
	r.updateReallocations(counts)
	r.isUnsettled = r.unsettled()
	evacuated := r.evacuatedDomains()
	for _, domain := range r.listedDomains() {
		if evacuated.Has(domain) { // rule O10
			continue
		}
		if r.reallocations[domain] != nil || r.pendingLeaves.Has(domain) || r.now.Before(r.uncertainUntil[domain]) {
			continue
		}
		closed, model := r.bestReallocation(free[domain], domain, counts)
		if model == nil {
			continue
		}
		e := &reallocation{model: model.Name, deadline: r.now.Add(reallocationTimeout)}
		counts[model.Name]++
		for _, g := range closed {
			e.groups = append(e.groups, g.ID)
			counts[g.Model]--
			if head, ok := g.Head(); ok {
				r.close(head)
			}
		}
		r.reallocations[domain] = e
	}
}

// updateReallocations deletes the reallocations that have timed out. It changes counts as if
// the others were complete.
func (r *plan) updateReallocations(counts map[garnetworks.ModelName]int) {
	for domain, e := range r.reallocations {
		if r.now.After(e.deadline) {
			delete(r.reallocations, domain)
			continue
		}
		counts[e.model]++
		for i := range r.groups {
			if g := &r.groups[i]; slices.Contains(e.groups, g.ID) && r.healthy(g) {
				counts[g.Model]--
			}
		}
	}
}

// reallocatingSeveral reports whether a reallocation that closes several groups is in progress.
func (r *plan) reallocatingSeveral() bool {
	for _, e := range r.reallocations {
		if len(e.groups) > 1 {
			return true
		}
	}
	return false
}

// unsettled reports whether the numbers of groups are uncertain: the lease was just taken, or a
// domain is unreachable or has just returned. Its groups serve again without a load, and those
// closed in their favor would be missing.
func (r *plan) unsettled() bool {
	if r.domainUnreachable() {
		r.unsettledUntil = r.now.Add(returnGrace)
	}
	return r.now.Sub(r.termSince) < takeoverGrace || r.now.Before(r.unsettledUntil)
}

// domainUnreachable reports whether at least unreachableCount instances of a domain are missing,
// and more than it has left. The instances of a domain that restarts are listed again, under new
// identifiers.
func (r *plan) domainUnreachable() bool {
	missing := make(map[garnetworks.DomainID]int)
	for id, at := range r.vanishedAt {
		if r.now.Sub(at) <= unreachableWindow {
			missing[r.domainOf[id]]++
		}
	}
	for id := range r.Unresponsive {
		if s, ok := r.server(id); ok {
			missing[s.Domain]++
		}
	}
	for domain, n := range missing {
		if n >= unreachableCount && n > r.usableIn(domain) {
			return true
		}
	}
	return false
}

// usableIn returns the number of usable instances of a domain.
func (r *plan) usableIn(domain garnetworks.DomainID) int {
	n := 0
	for _, s := range r.Servers {
		if s.Domain == domain && r.usable(&s) {
			n++
		}
	}
	return n
}

// listedDomains returns the domains of the service's registered instances, sorted.
func (r *plan) listedDomains() []garnetworks.DomainID {
	domains := make(garnetworks.Set[garnetworks.DomainID])
	for _, s := range r.Servers {
		if s.Service == r.Service {
			domains.Add(s.Domain)
		}
	}
	return sortedKeys(domains)
}

// evacuatedDomains returns the domains with servers in an evacuated availability zone.
func (r *plan) evacuatedDomains() garnetworks.Set[garnetworks.DomainID] {
	domains := make(garnetworks.Set[garnetworks.DomainID])
	if len(r.Evacuated) == 0 {
		return domains
	}
	for _, s := range r.Servers {
		if r.Evacuated.Has(s.Zone) {
			domains.Add(s.Domain)
		}
	}
	return domains
}

// reallocating reports whether the group is being closed by a reallocation.
func (r *plan) reallocating(id garnetworks.GroupID) bool {
	for _, e := range r.reallocations {
		if slices.Contains(e.groups, id) {
			return true
		}
	}
	return false
}

// bestReallocation returns the groups of a domain to close and the model of the group that
// their members complete, with the highest gain. The model is nil if none has a gain.
func (r *plan) bestReallocation(free []garnetworks.RegisteredServer, domain garnetworks.DomainID, counts map[garnetworks.ModelName]int) ([]*Group, *garnetworks.ModelProfile) {
	healthy := r.healthyGroups(domain)
	var best []*Group
	var bestModel *garnetworks.ModelProfile
	bestGain := 0.0
	for k := range r.Profile.Models {
		m := &r.Profile.Models[k]
		ready := len(joinable(free, m))
		if ready >= m.GroupSize {
			continue // complete without a reallocation
		}
		candidates := candidatesFor(healthy, m)
		for i := range candidates {
			groups := groupsToClose(ready, candidates, i, m)
			if groups == nil || len(groups) > 1 && (r.reallocatingSeveral() || r.isUnsettled) {
				continue
			}
			// A single group that is replaced by a single one serves again after a warm start.
			if oneForOne := len(groups) == 1 && candidates[i].ready < 2*m.GroupSize; !oneForOne && !r.paysOff(groups, m, free, counts) {
				continue
			}
			if gain := r.reallocationGain(free, groups, m, counts); gain > bestGain {
				best, bestModel, bestGain = groups, m, gain
			}
		}
	}
	return best, bestModel
}

// healthyGroups returns the domain's groups that serve and are not being changed.
func (r *plan) healthyGroups(domain garnetworks.DomainID) []*Group {
	var list []*Group
	for i := range r.groups {
		g := &r.groups[i]
		if head, ok := g.Head(); ok && head.Domain == domain && r.healthy(g) {
			list = append(list, g)
		}
	}
	return list
}

func (r *plan) healthy(g *Group) bool {
	return g.Serves() && g.Complete && !r.hasUnresponsive(g) && r.formations[g.ID] == nil
}

// candidate is a group of another model that a reallocation may close.
type candidate struct {
	group *Group
	// ready is the number of its members that can join the new group without a load.
	ready int
}

// candidatesFor returns the groups of models other than m.
func candidatesFor(healthy []*Group, m *garnetworks.ModelProfile) []candidate {
	var candidates []candidate
	for _, g := range healthy {
		if g.Model != m.Name {
			candidates = append(candidates, candidate{g, len(joinable(g.Members, m))})
		}
	}
	return candidates
}

// groupsToClose returns groups, beginning with candidates[first], whose members complete a
// group of the model together with the ready free instances, without a load. It returns nil
// if there are not enough. After the first one it adds those with the most ready members.
func groupsToClose(ready int, candidates []candidate, first int, m *garnetworks.ModelProfile) []*Group {
	others := slices.Clone(candidates)
	others = slices.DeleteFunc(slices.Delete(others, first, first+1), func(o candidate) bool { return o.ready == 0 })
	slices.SortStableFunc(others, func(a, b candidate) int { return cmp.Compare(b.ready, a.ready) })
	var groups []*Group
	for _, o := range append([]candidate{candidates[first]}, others...) {
		groups = append(groups, o.group)
		if ready += o.ready; ready >= m.GroupSize {
			return groups
		}
	}
	return nil
}

// reallocationGain returns the utility with the reallocation minus the utility without it. Both
// include the groups that the remaining instances can form without a load.
func (r *plan) reallocationGain(free []garnetworks.RegisteredServer, closed []*Group, m *garnetworks.ModelProfile, counts map[garnetworks.ModelName]int) float64 {
	with, unchanged := maps.Clone(counts), maps.Clone(counts)
	all := slices.Clone(free)
	for _, g := range closed {
		all = append(all, g.Members...)
		with[g.Model]--
	}
	ready := joinable(all, m)
	n := max(1, len(ready)/m.GroupSize)
	with[m.Name] += n
	r.addFormableGroups(with, without(all, r.pick(all, m, n)), closed)
	r.addFormableGroups(unchanged, free, closed)
	return utility(r.Profile, with) - utility(r.Profile, unchanged)
}

// paysOff reports whether the utility that a reallocation gains during paybackTime exceeds what
// the closed groups lose during reallocationDowntime.
func (r *plan) paysOff(closed []*Group, m *garnetworks.ModelProfile, free []garnetworks.RegisteredServer, counts map[garnetworks.ModelName]int) bool {
	meanwhile := maps.Clone(counts)
	for _, g := range closed {
		meanwhile[g.Model]--
	}
	cost := utility(r.Profile, counts) - utility(r.Profile, meanwhile)
	return r.reallocationGain(free, closed, m, counts)*paybackTime.Seconds() > cost*reallocationDowntime.Seconds()
}

// addFormableGroups adds to counts the groups of the closed groups' models that the servers
// can form without a load.
func (r *plan) addFormableGroups(counts map[garnetworks.ModelName]int, servers []garnetworks.RegisteredServer, closed []*Group) {
	counted := make(garnetworks.Set[garnetworks.ModelName])
	for _, g := range closed {
		m := r.profile(g.Model)
		if m == nil || counted.Has(m.Name) {
			continue
		}
		counted.Add(m.Name)
		ready := joinable(servers, m)
		n := len(ready) / m.GroupSize
		counts[m.Name] += n
		servers = without(servers, ready[:n*m.GroupSize])
	}
}

// joinable returns the instances that can join a group of the model without a load.
func joinable(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) []garnetworks.RegisteredServer {
	return slices.DeleteFunc(slices.Clone(servers), func(s garnetworks.RegisteredServer) bool { return readiness(&s, m) > 1 })
}

// close orders a group's head to finish its calls and take no new ones.
func (r *plan) close(head garnetworks.RegisteredServer) {
	r.send(urgentForming, garnetworks.GroupOrder{
		Kind: garnetworks.GroupClose, Incarnation: head.Incarnation(), Address: head.Address,
		Group: head.Membership.Group, Epoch: head.Membership.Epoch,
	})
}

// stageSecondModels loads a second model onto the hosts of instances, so that an instance can
// replace a lost member of either model without a load. Spares come first; members of other
// models' groups follow until minReserve instances of the domain outside the model's groups
// hold it. Before the first call there is no such limit. Afterwards only
// secondModelLoadFraction of the concurrent loads is available (rule O5).
func (r *plan) stageSecondModels() {
	if !r.BeforeFirstCall {
		r.loadsLeft = min(r.loadsLeft, int(float64(r.Profile.MaxConcurrentLoads)*secondModelLoadFraction)-r.loadsInProgress())
	}
	domains := make(map[garnetworks.DomainID][]garnetworks.RegisteredServer)
	for _, s := range r.Servers {
		if r.usable(&s) {
			domains[s.Domain] = append(domains[s.Domain], s)
		}
	}
	for _, domain := range sortedKeys(domains) {
		servers := domains[domain]
		slices.SortFunc(servers, func(a, b garnetworks.RegisteredServer) int {
			// Spares have no group and sort first.
			return cmp.Or(cmp.Compare(a.Membership.Group, b.Membership.Group), cmp.Compare(a.ID, b.ID))
		})
		for i := range r.Profile.Models {
			r.stageOutsideGroups(servers, &r.Profile.Models[i])
		}
	}
}

// loadsInProgress returns the number of loads that are in progress.
func (r *plan) loadsInProgress() int {
	n := 0
	for _, f := range r.formations {
		n += len(f.loading)
	}
	for id := range r.staged {
		if s, ok := r.server(id); ok && r.stagingModel(&s) != "" {
			n++
		}
	}
	return n
}

// stageOutsideGroups loads the model onto hosts of instances that are in none of its groups.
func (r *plan) stageOutsideGroups(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) {
	ready, reserve := 0, r.reserve(servers, m)
	var hosts []garnetworks.RegisteredServer
	for i := range servers {
		s := &servers[i]
		switch {
		case GroupModel(s.Membership.Group) == m.Name:
		case s.Model == m.Name || slices.Contains(s.Staged, m.Name) || r.stagingModel(s) == m.Name:
			ready++
		case r.stagingModel(s) == "" && lacksSecondModel(s) && s.Membership.State != garnetworks.MemberJoining:
			hosts = append(hosts, *s)
		}
	}
	for _, s := range hosts {
		if r.loadsLeft <= 0 || ready >= reserve && s.Membership.Group != "" && !r.BeforeFirstCall {
			return
		}
		ready++
		r.stage(urgentSpare, &s, m)
	}
}

// reserve returns the number of a domain's instances outside the model's groups that should hold
// the model: minReserve, or a whole group's in a domain without one if the model is short of
// groups.
//
// Load pattern: a domain loses its group of 16 and forms four groups of 4 of the rest, each of which
// leaves only its own model on its hosts. With eight instances that hold the larger model, the
// domain never forms a group of 16 again, however short that model is.
func (r *plan) reserve(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) int {
	if !r.apportioner.Short(m.Name, r.counts[m.Name]) {
		return minReserve
	}
	for i := range servers {
		if GroupModel(servers[i].Membership.Group) == m.Name {
			return minReserve
		}
	}
	return max(minReserve, m.GroupSize)
}

// lacksSecondModel reports whether the instance has a model in memory and the newest model on
// its host, if any, is the same one.
func lacksSecondModel(s *garnetworks.RegisteredServer) bool {
	return s.Model != "" && (len(s.Staged) == 0 || s.Staged[len(s.Staged)-1] == s.Model)
}

// stagingModel returns the model that the instance was ordered to load onto its host and does
// not hold yet. It returns "" if there is none or the load has timed out.
func (r *plan) stagingModel(s *garnetworks.RegisteredServer) garnetworks.ModelName {
	if model, ok := r.plannedStages[s.Incarnation()]; ok {
		return model
	}
	last, ok := r.staged[s.Incarnation()]
	if !ok || slices.Contains(s.Staged, last.model) || r.now.Sub(last.at) > r.joinTime(last.model)+joinMargin {
		return ""
	}
	return last.model
}

// stage orders the instance to load the model onto its host and takes the load from the budget.
func (r *plan) stage(u urgency, s *garnetworks.RegisteredServer, m *garnetworks.ModelProfile) {
	r.loadsLeft--
	r.plannedStages[s.Incarnation()] = m.Name
	r.add(u, garnetworks.GroupOrder{Kind: garnetworks.GroupStage, Incarnation: s.Incarnation(), Address: s.Address, Model: m.Name})
}
