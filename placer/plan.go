package placer

import (
	"maps"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// Plan decides what to do next in the zone.
//
// Ending a group frees members that earlier slots (rule P1) may want. So if filling
// slots or replacing groups dissolved or drained some, the plan is computed again,
// with those groups ending from the start: recordEnd adds them to ended. Each round
// ends at least one more group, so the number of rounds is bounded.
func Plan(in Input) Output {
	ended := map[garnetworks.GroupID]groupEnd{}
	for {
		p := newPlanner(in)
		p.ended = ended
		p.decide()
		if !p.rerun {
			p.sequenceDecisions()
			p.countWanted()
			p.saveState()
			return p.out
		}
		// What this round decided isn't decided again, so its records are kept.
		in.State.Sheds = p.out.State.Sheds
		in.State.StragglerReplacements = p.out.State.StragglerReplacements
	}
}

// decide makes one round's decisions. It stops after those on groups if the plan is to be
// computed again.
func (p *planner) decide() {
	p.out.State.Sheds = copyMap(p.in.State.Sheds)
	p.out.State.StragglerReplacements = copyMap(p.in.State.StragglerReplacements)
	p.lostGrace = p.lostInstanceGrace()
	p.classifyGroups()
	p.fillSlots()
	p.replaceGroups()
	if p.rerun {
		return
	}
	p.chooseSpares()
	p.computeHolds()
	p.decidePower()
	p.allocateRate()
}

// copyMap returns a copy that is never nil, so that a plan can write to it.
func copyMap[V any](m map[garnetworks.ModelName]V) map[garnetworks.ModelName]V {
	c := make(map[garnetworks.ModelName]V, len(m))
	maps.Copy(c, m)
	return c
}

// sequenceDecisions puts the decisions in a sequence in which they can be executed:
// those that free members and power come before those that need them.
func (p *planner) sequenceDecisions() {
	count := len(p.groupEnds) + len(p.powerOffs) + len(p.powerOns) + len(p.pendingGroups) + len(p.loadOrders)
	if count == 0 {
		return
	}
	p.out.Decisions = make([]Decision, 0, count)
	p.out.Decisions = append(p.out.Decisions, p.groupEnds...)
	p.out.Decisions = append(p.out.Decisions, p.powerOffs...)
	p.out.Decisions = append(p.out.Decisions, p.powerOns...)
	for _, f := range p.pendingGroups {
		p.out.Decisions = append(p.out.Decisions, f.decision())
	}
	p.out.Decisions = append(p.out.Decisions, p.loadOrders...)
}

// decision returns the decision that forms the group.
func (f *pendingGroup) decision() FormGroup {
	d := FormGroup{
		Domain:   f.placement.domain.ID,
		Model:    f.model.Name,
		Version:  f.model.Version,
		Adapters: slices.Clone(f.model.Adapters),
		Members:  idsOf(f.placement.members),
		LoadRate: f.rate,
		Reason:   f.reason,
	}
	if f.replaces != nil {
		d.Replaces = f.replaces.ID
	}
	return d
}
