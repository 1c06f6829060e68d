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
	exchangeTime = 8 * time.Second
	// outsideReady is the number of instances of a domain outside a model's groups
	// that shall hold the model, so that a lost member is replaced without a load
	// even after the spares are used up. Where a domain of 27 loses one each 6 s, eight
	// last for 48 s, the time of three loads.
	outsideReady = 8
	// secondLoadsPart is the part of the loads that the weight store carries at once
	// which second models may take. Beyond that number each load takes longer; the
	// other half is left to what a domain lacks.
	secondLoadsPart = 0.5
)

// exchange is a group that is closed so that the instances of its domain suffice for
// a group of another model.
type exchange struct {
	group garnetworks.GroupID
	model garnetworks.ModelName
	until time.Time
}

// worthOf is what a site gets of the groups that it has: each model's share of the
// work, with less for each group more. It is highest where the numbers of groups
// are in proportion to the work, for the instances that there are.
func worthOf(profile *garnetworks.EngineProfile, counts map[garnetworks.ModelName]int) float64 {
	// none stands for a model without a group; its callers get nothing at all.
	const none = 0.1
	worth := 0.0
	for i := range profile.Models {
		m := &profile.Models[i]
		worth += m.Share * math.Log(max(none, float64(counts[m.Name])))
	}
	return worth
}

// exchangeGroups closes a group of one model where its members complete a group of
// another model without a load, and the site is worth more with it.
//
// Failure: engines are lost for good, one every few seconds, and a domain has one too
// few for the large model. Its eleven other instances, which hold the large model,
// became a small group after a load of 12 s, or waited 16 s for a twelfth that had to
// load it; so the large model had 3 of its 6 groups left after 22 s, while the small
// one had all it needed. A member of a small group that has the large model on its
// host completes the large one within the warm time, and the others often find a
// spare and are a group again. Mean part of the worth earned over 30 overloaded
// days of 66 engines: 0.678 before, 0.696 with it and with rule O7.
func (r *plan) exchangeGroups(free map[garnetworks.DomainID][]garnetworks.RegisteredServer, counts map[garnetworks.ModelName]int) {
	for domain, e := range r.exchanges {
		if r.now.After(e.until) {
			delete(r.exchanges, domain)
		}
	}
	for _, domain := range sortedKeys(free) {
		if r.exchanges[domain] != nil || r.unsettled(domain) || r.now.Before(r.unsure[domain]) {
			continue
		}
		best, head := r.bestExchange(free[domain], domain, counts)
		if best == nil {
			continue
		}
		r.exchanges[domain] = best
		counts[best.model]++
		counts[GroupModel(best.group)]--
		r.close(head)
	}
}

// exchanging reports whether the group is closed for the sake of another model.
func (r *plan) exchanging(id garnetworks.GroupID) bool {
	for _, e := range r.exchanges {
		if e.group == id {
			return true
		}
	}
	return false
}

// bestExchange returns the exchange in a domain that gains most, with the head of the
// group to close, or nil.
func (r *plan) bestExchange(free []garnetworks.RegisteredServer, domain garnetworks.DomainID, counts map[garnetworks.ModelName]int) (*exchange, garnetworks.RegisteredServer) {
	var best *exchange
	var bestHead garnetworks.RegisteredServer
	bestGain := 0.0
	for i := range r.groups {
		g := &r.groups[i]
		head, ok := g.Head()
		if !ok || head.Domain != domain || !r.sound(g) {
			continue
		}
		for k := range r.Profile.Models {
			m := &r.Profile.Models[k]
			if g.Model == m.Name {
				continue
			}
			if gain := r.exchangeGain(free, g, m, counts); gain > bestGain {
				bestGain, bestHead = gain, head
				best = &exchange{group: g.ID, model: m.Name, until: r.now.Add(exchangeTime)}
			}
		}
	}
	return best, bestHead
}

// sound reports whether the group serves and nothing is under way with it.
func (r *plan) sound(g *Group) bool {
	return g.Serves() && g.Whole && !r.hasDark(g) && r.formations[g.ID] == nil
}

// exchangeGain is what the site gains by a group of the model in place of one of
// another, against what the free instances can become without that; neither counts
// groups that wait for a load. It is 0 where the exchange completes no group.
func (r *plan) exchangeGain(free []garnetworks.RegisteredServer, g *Group, m *garnetworks.ModelProfile, counts map[garnetworks.ModelName]int) float64 {
	old := r.profile(g.Model)
	if old == nil || len(soon(free, m)) >= m.Size {
		return 0
	}
	all := append(slices.Clone(free), g.Members...)
	if len(soon(all, m)) < m.Size {
		return 0
	}
	rest := without(all, r.pick(all, m))
	with, unchanged := maps.Clone(counts), maps.Clone(counts)
	with[m.Name]++
	with[old.Name] += len(soon(rest, old))/old.Size - 1
	unchanged[old.Name] += len(soon(free, old)) / old.Size
	return worthOf(r.Profile, with) - worthOf(r.Profile, unchanged)
}

// soon returns the instances that can join a group of the model without a load.
func soon(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) []garnetworks.RegisteredServer {
	return slices.DeleteFunc(slices.Clone(servers), func(s garnetworks.RegisteredServer) bool { return readiness(&s, m) > 1 })
}

// close lets a group finish its calls.
func (r *plan) close(head garnetworks.RegisteredServer) {
	r.send(garnetworks.GroupOrder{
		Kind: garnetworks.GroupClose, Instance: head.ID, Address: head.Address,
		Group: head.Member.Group, Epoch: head.Member.Epoch,
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
func (r *plan) stageSecond() {
	if !r.Unhurried {
		r.loads = min(r.loads, int(float64(r.Profile.LoadsAtOnce)*secondLoadsPart)-r.loading())
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
			return cmp.Or(cmp.Compare(a.Member.Group, b.Member.Group), cmp.Compare(a.ID, b.ID))
		})
		for i := range r.Profile.Models {
			r.stageOutside(servers, &r.Profile.Models[i])
		}
	}
}

// loading returns the number of loads that are under way.
func (r *plan) loading() int {
	n := 0
	for _, f := range r.formations {
		n += len(f.loading)
	}
	for id := range r.stages {
		if s, ok := r.Servers[id]; ok && r.staging(&s) != "" {
			n++
		}
	}
	return n
}

// stageOutside loads one model onto hosts of a domain that are not of its groups.
func (r *plan) stageOutside(servers []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) {
	ready := 0
	var hosts []garnetworks.RegisteredServer
	for i := range servers {
		s := &servers[i]
		switch {
		case GroupModel(s.Member.Group) == m.Name:
		case s.Model == m.Name || slices.Contains(s.Staged, m.Name) || r.staging(s) == m.Name:
			ready++
		case r.staging(s) == "" && holdsTwice(s) && s.Member.State != garnetworks.MemberJoining:
			hosts = append(hosts, *s)
		}
	}
	for _, s := range hosts {
		if r.loads <= 0 || ready >= outsideReady && s.Member.Group != "" && !r.Unhurried {
			return
		}
		ready++
		r.stage(&s, m)
	}
}

// holdsTwice reports whether the host holds nothing but the model that the instance
// has in memory.
func holdsTwice(s *garnetworks.RegisteredServer) bool {
	return s.Model != "" && (len(s.Staged) == 0 || s.Staged[len(s.Staged)-1] == s.Model)
}

// staging returns the model that the instance was ordered to load onto its host and
// does not hold yet.
func (r *plan) staging(s *garnetworks.RegisteredServer) garnetworks.ModelName {
	last, ok := r.stages[s.ID]
	if !ok || slices.Contains(s.Staged, last.model) || r.now.Sub(last.at) > r.joinTime(last.model)+joinMargin {
		return ""
	}
	return last.model
}

// stage orders a load onto the instance's host.
func (r *plan) stage(s *garnetworks.RegisteredServer, m *garnetworks.ModelProfile) {
	r.loads--
	r.stages[s.ID] = stagedLoad{m.Name, r.now}
	r.orders = append(r.orders, garnetworks.GroupOrder{
		Kind: garnetworks.GroupStage, Instance: s.ID, Address: s.Address, Model: m.Name,
		Token: garnetworks.NewFencingToken(r.Term, 0),
	})
}
