package former

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// stageMissing loads models onto the hosts of free instances that could form a group if each
// of them held the model (rule O7).
//
// In a group that is ordered with members that still have to load the model, the other members
// wait for the load and are unavailable to groups that lose a member meanwhile: for 16 s, up to
// 70 of 140 engines.
func (r *plan) stageMissing() {
	free := r.free()
	counts := r.groupCounts()
	for _, domain := range sortedKeys(free) {
		for _, m := range r.modelsByNeed(counts) {
			r.stageGroup(free[domain], m)
		}
	}
}

// stageGroup loads the models that free instances lack for one group of the model.
func (r *plan) stageGroup(free []garnetworks.RegisteredServer, m *garnetworks.ModelProfile) {
	if len(free) < m.GroupSize {
		return
	}
	ready := 0
	var others []garnetworks.RegisteredServer
	for i := range free {
		s := &free[i]
		switch {
		case readiness(s, m) <= 1 || r.stagingModel(s) == m.Name:
			ready++
		case r.stagingModel(s) == "":
			others = append(others, *s)
		}
	}
	missing := m.GroupSize - ready
	if missing > len(others) {
		return
	}
	// Empty hosts first, then those that hold only the model in memory.
	slices.SortFunc(others, func(a, b garnetworks.RegisteredServer) int {
		return cmp.Or(cmp.Compare(len(a.Staged), len(b.Staged)), compareBool(lacksSecondModel(&b), lacksSecondModel(&a)), cmp.Compare(a.ID, b.ID))
	})
	for i := range max(0, missing) {
		if r.loadsLeft <= 0 {
			return // rule O5
		}
		r.stage(urgentMissing, &others[i], m)
	}
}

// stageSpares loads a model onto the hosts of free instances, so that they can join with a
// warm start.
func (r *plan) stageSpares() {
	free := r.free()
	for _, domain := range sortedKeys(free) {
		r.stageDomainSpares(free[domain])
	}
}

func (r *plan) stageDomainSpares(spares []garnetworks.RegisteredServer) {
	held := make(map[garnetworks.ModelName]int)
	var empty []garnetworks.RegisteredServer
	for _, s := range spares {
		switch first := r.spareModelOf(&s); first {
		case "":
			empty = append(empty, s)
		default:
			held[first]++
		}
	}
	slices.SortFunc(empty, func(a, b garnetworks.RegisteredServer) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range empty {
		if r.loadsLeft <= 0 {
			return // rule O5
		}
		m := r.nextSpareModel(held)
		if m == nil {
			return
		}
		held[m.Name]++
		r.stage(urgentSpare, &s, m)
	}
}

// spareModelOf returns the model that a spare is for: the one in its memory, on its host, or
// being loaded.
func (r *plan) spareModelOf(s *garnetworks.RegisteredServer) garnetworks.ModelName {
	if len(s.Staged) > 0 {
		return cmp.Or(s.Model, s.Staged[len(s.Staged)-1])
	}
	return cmp.Or(s.Model, r.stagingModel(s))
}

// nextSpareModel returns the model for the next spare of a domain: the one with the fewest
// spares, and of several the one with the largest share of the work.
//
// Dividing the spares by the models' shares would give all spares of a domain to the larger
// model, so that each loss in a small group waits 12 s for a load. A second loss of one model in a
// domain is rarer than a first one of another.
func (r *plan) nextSpareModel(held map[garnetworks.ModelName]int) *garnetworks.ModelProfile {
	var best *garnetworks.ModelProfile
	for i := range r.Profile.Models {
		m := &r.Profile.Models[i]
		if best == nil || held[m.Name] < held[best.Name] || held[m.Name] == held[best.Name] && m.InitialShare > best.InitialShare {
			best = m
		}
	}
	return best
}

// prewarmSpares lets spares that hold a model on their host load it into memory, by a group of
// their own that never opens, so that they replace a lost member without a warm start.
func (r *plan) prewarmSpares() {
	free := r.free()
	for _, domain := range sortedKeys(free) {
		if r.pendingLeaves.Has(domain) || r.now.Before(r.uncertainUntil[domain]) {
			continue
		}
		for _, s := range free[domain] {
			r.prewarm(&s)
		}
	}
}

func (r *plan) prewarm(s *garnetworks.RegisteredServer) {
	if len(s.Staged) == 0 {
		return
	}
	m := r.profile(s.Staged[len(s.Staged)-1])
	if m == nil || s.Model != "" || r.prewarmed[s.Incarnation()] == m.Name {
		return
	}
	r.sequence++
	epoch := garnetworks.NewFencingToken(r.Term, r.sequence)
	f := &formation{
		id: GroupName(m.Name, epoch), epoch: epoch, model: m.Name, members: []garnetworks.Incarnation{s.Incarnation()},
		deadline: r.now.Add(m.WarmLoadTime + joinMargin), prewarms: true,
	}
	r.formations[f.id] = f
	r.join(f, *s)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
