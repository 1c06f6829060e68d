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
	// exchangeTime bounds the wait for the members of a group that is closed for the
	// sake of another model: its calls end within their deadlines, of which 8 s is the
	// longest usual one.
	reallocationTimeout = 8 * time.Second
	// closedTime is the time for which the groups that an exchange closes serve nobody:
	// their calls end within two seconds, and a warm start takes about as long.
	reallocationDowntime = 4 * time.Second
	// keptTime is for how long an exchange of several groups shall pay: where engines are
	// lost every few seconds, a domain changes again about as soon.
	paybackTime = 20 * time.Second
	// outsideReady is the number of instances of a domain outside a model's groups
	// that shall hold the model, so that a lost member is replaced without a load
	// even after the spares are used up. Where a domain of 27 loses one each 6 s, eight
	// last for 48 s, the time of three loads.
	minReserve = 8
	// secondLoadsPart is the part of the loads that the weight store carries at once
	// which second models may take. Beyond that number each load takes longer; the
	// other half is left to what a domain lacks.
	secondModelLoadFraction = 0.5
)

// exchange is what a domain closes so that its instances suffice for a group of another
// model.
type reallocation struct {
	groups   []garnetworks.GroupID
	model    garnetworks.ModelName
	deadline time.Time
}

// worthOf is what a site gets of the groups that it has: each model's share of the
// work, with less for each group more. It is highest where the numbers of groups
// are in proportion to the work, for the instances that there are.
func utility(profile *garnetworks.EngineProfile, counts map[garnetworks.ModelName]int) float64 {
	// none stands for a model without a group; its callers get nothing at all.
	const ungroupedWeight = 0.1
	total := 0.0
	for i := range profile.Models {
		m := &profile.Models[i]
		total += m.InitialShare * math.Log(max(ungroupedWeight, float64(counts[m.Name])))
	}
	return total
}

// exchangeGroups closes groups where their members complete a group of another model
// without a load, and the site is worth more with it.
//
// Failure: engines are lost for good, one every few seconds, and a domain has one too
// few for the large model. Its eleven other instances, which hold the large model,
// became a small group after a load of 12 s, or waited 16 s for a twelfth that had to
// load it; so the large model had 3 of its 6 groups left after 22 s, while the small
// one had all it needed. A member of a small group that has the large model on its
// host completes the large one within the warm time, and the others often find a
// spare and are a group again. Mean part of the worth earned over 30 overloaded
// days of 66 engines: 0.678 before, 0.696 with it and with rule O7.
//
// Failure: the engines of a domain start anew, hold the small model on their hosts and
// become small groups. None of these alone has the members for a large one, so the
// small model stayed with 15 groups and the large one with 3 of its 8. So several are
// closed at once, in one domain at a time and only where that pays for the time in which
// they serve nobody: without these bounds one lost engine set off exchanges in all
// domains, and a calm day earned 0.71 in place of 0.87.
func (r *plan) reallocateGroups(free map[garnetworks.DomainID][]garnetworks.RegisteredServer, counts map[garnetworks.ModelName]int) {
	r.updateReallocations(counts)
	for _, domain := range r.listedDomains() {
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

// followExchanges forgets the exchanges whose time is over, and counts the others as if
// they were done.
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

// exchangingSeveral reports whether an exchange of several groups is under way.
func (r *plan) reallocatingSeveral() bool {
	for _, e := range r.reallocations {
		if len(e.groups) > 1 {
			return true
		}
	}
	return false
}

// listedDomains returns the domains of the instances that are registered.
func (r *plan) listedDomains() []garnetworks.DomainID {
	domains := make(garnetworks.Set[garnetworks.DomainID])
	for _, s := range r.Servers {
		if s.Service == r.Service {
			domains.Add(s.Domain)
		}
	}
	return sortedKeys(domains)
}

// exchanging reports whether the group is closed for the sake of another model.
func (r *plan) reallocating(id garnetworks.GroupID) bool {
	for _, e := range r.reallocations {
		if slices.Contains(e.groups, id) {
			return true
		}
	}
	return false
}

// bestExchange returns the groups of a domain to close, and the model whose group they
// complete, with which the site gains most; no model if it gains by none.
func (r *plan) bestReallocation(free []garnetworks.RegisteredServer, domain garnetworks.DomainID, counts map[garnetworks.ModelName]int) ([]*Group, *garnetworks.ModelProfile) {
	healthy := r.healthyGroups(domain)
	var best []*Group
	var bestModel *garnetworks.ModelProfile
	bestGain := 0.0
	for k := range r.Profile.Models {
		m := &r.Profile.Models[k]
		ready := len(joinable(free, m))
		if ready >= m.GroupSize {
			continue // it is complete without any exchange
		}
		candidates := candidatesFor(healthy, m)
		for i := range candidates {
			groups := groupsToClose(ready, candidates, i, m)
			if groups == nil || len(groups) > 1 && r.reallocatingSeveral() {
				continue
			}
			// One group for one serves again within a warm start.
			if one := len(groups) == 1 && candidates[i].ready < 2*m.GroupSize; !one && !r.paysOff(groups, m, free, counts) {
				continue
			}
			if gain := r.reallocationGain(free, groups, m, counts); gain > bestGain {
				best, bestModel, bestGain = groups, m, gain
			}
		}
	}
	return best, bestModel
}

// soundGroups returns the groups of a domain that serve and with which nothing is under
// way.
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

// offer is a group of another model that may be closed for one of a model.
type candidate struct {
	group *Group
	// ready is the number of its members that can join without a load.
	ready int
}

// offersOf returns the groups of other models.
func candidatesFor(healthy []*Group, m *garnetworks.ModelProfile) []candidate {
	var candidates []candidate
	for _, g := range healthy {
		if g.Model != m.Name {
			candidates = append(candidates, candidate{g, len(joinable(g.Members, m))})
		}
	}
	return candidates
}

// enough returns groups, beginning with one of the offers, whose members complete a group
// of the model together with some that are ready, without a load; nil if they don't.
// After the first one it takes those with the most members that count.
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

// exchangeGain is what the site gains by the groups of the model that the instances make in
// place of some of others, against what the free instances can become without that; neither
// counts groups that wait for a load.
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

// pays reports whether an exchange gains more in keptTime than the closed groups lose in
// closedTime.
func (r *plan) paysOff(closed []*Group, m *garnetworks.ModelProfile, free []garnetworks.RegisteredServer, counts map[garnetworks.ModelName]int) bool {
	meanwhile := maps.Clone(counts)
	for _, g := range closed {
		meanwhile[g.Model]--
	}
	cost := utility(r.Profile, counts) - utility(r.Profile, meanwhile)
	return r.reallocationGain(free, closed, m, counts)*paybackTime.Seconds() > cost*reallocationDowntime.Seconds()
}

// addGroups adds the groups of the closed ones' models that instances can become without
// a load.
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

// soon returns the instances that can join a group of the model without a load.
func joinable(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) []garnetworks.RegisteredServer {
	return slices.DeleteFunc(slices.Clone(servers), func(s garnetworks.RegisteredServer) bool { return readiness(&s, m) > 1 })
}

// close lets a group finish its calls.
func (r *plan) close(head garnetworks.RegisteredServer) {
	r.send(urgentForming, garnetworks.GroupOrder{
		Kind: garnetworks.GroupClose, Incarnation: head.Incarnation(), Address: head.Address,
		Group: head.Membership.Group, Epoch: head.Membership.Epoch,
	})
}

// stageSecond loads a second model onto hosts: of all spares, and of members of other
// models' groups until outsideReady instances of each domain outside a model's groups
// hold it, or all of them before the first call comes. It takes what first loads leave
// of the budget (rule O5).
//
// An instance keeps the model that it has in memory besides the one on its host. So a
// spare replaces a lost member of either of two models, of one in 0.2 s and of the
// other in the warm time.
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
			// Spares have no group and come first.
			return cmp.Or(cmp.Compare(a.Membership.Group, b.Membership.Group), cmp.Compare(a.ID, b.ID))
		})
		for i := range r.Profile.Models {
			r.stageOutsideGroups(servers, &r.Profile.Models[i])
		}
	}
}

// loading returns the number of loads that are under way.
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

// stageOutside loads one model onto hosts of a domain that are not of its groups.
func (r *plan) stageOutsideGroups(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) {
	ready := 0
	var hosts []garnetworks.RegisteredServer
	for i := range servers {
		s := &servers[i]
		switch {
		case GroupModel(s.Membership.Group) == m.Name:
		case s.Model == m.Name || slices.Contains(s.Staged, m.Name) || r.stagingModel(s) == m.Name:
			ready++
		case r.stagingModel(s) == "" && hostDuplicatesMemory(s) && s.Membership.State != garnetworks.MemberJoining:
			hosts = append(hosts, *s)
		}
	}
	for _, s := range hosts {
		if r.loadsLeft <= 0 || ready >= minReserve && s.Membership.Group != "" && !r.BeforeFirstCall {
			return
		}
		ready++
		r.stage(urgentSpare, &s, m)
	}
}

// holdsTwice reports whether the host holds nothing but the model that the instance
// has in memory.
func hostDuplicatesMemory(s *garnetworks.RegisteredServer) bool {
	return s.Model != "" && (len(s.Staged) == 0 || s.Staged[len(s.Staged)-1] == s.Model)
}

// staging returns the model that the instance was ordered to load onto its host and
// does not hold yet.
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

// stage orders a load onto the instance's host.
func (r *plan) stage(u urgency, s *garnetworks.RegisteredServer, m *garnetworks.ModelProfile) {
	r.loadsLeft--
	r.plannedStages[s.Incarnation()] = m.Name
	r.add(u, garnetworks.GroupOrder{Kind: garnetworks.GroupStage, Incarnation: s.Incarnation(), Address: s.Address, Model: m.Name})
}
