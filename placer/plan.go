package placer

import (
	"maps"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// Plan decides what to do next in the zone.
//
// A group that ends frees members that slots before its own may want, so a
// plan that ends groups on the way is made again with those groups ending from
// the start. Each round ends one group more at least, which bounds them.
func Plan(in Input) Output {
	ended := map[garnetworks.GroupID]ending{}
	for {
		p := newPlanner(in)
		p.ended = ended
		p.decide()
		if !p.endedLate {
			p.collect()
			p.countWanted()
			p.remember()
			return p.out
		}
		in.State.Sheds = p.out.State.Sheds
		in.State.Moves = p.out.State.Moves
	}
}

func (p *planner) decide() {
	p.out.State.Sheds = cloned(p.in.State.Sheds)
	p.out.State.Moves = cloned(p.in.State.Moves)
	p.lostGrace = p.graceForLost()
	p.judgeGroups()
	p.fillSlots()
	p.replaceMembers()
	if p.endedLate {
		return
	}
	p.keepSpares()
	p.describeHolds()
	p.decidePower()
	p.shareRate()
}

// cloned returns a copy that is never nil, so that a plan can write into it.
func cloned[V any](m map[garnetworks.ModelName]V) map[garnetworks.ModelName]V {
	c := make(map[garnetworks.ModelName]V, len(m))
	maps.Copy(c, m)
	return c
}

// collect puts the decisions in the order in which they can be carried out:
// what frees members and power comes before what takes them.
func (p *planner) collect() {
	count := len(p.closing) + len(p.offs) + len(p.ons) + len(p.forms) + len(p.loads)
	if count == 0 {
		return
	}
	p.out.Decisions = make([]Decision, 0, count)
	p.out.Decisions = append(p.out.Decisions, p.closing...)
	p.out.Decisions = append(p.out.Decisions, p.offs...)
	p.out.Decisions = append(p.out.Decisions, p.ons...)
	for _, f := range p.forms {
		p.out.Decisions = append(p.out.Decisions, f.decision())
	}
	p.out.Decisions = append(p.out.Decisions, p.loads...)
}

func (f *pendingForm) decision() FormGroup {
	d := FormGroup{
		Domain:   f.choice.domain.ID,
		Model:    f.model.Name,
		Version:  f.model.Version,
		Adapters: slices.Clone(f.model.Adapters),
		Members:  idsOf(f.choice.members),
		LoadRate: f.rate,
		Reason:   f.reason,
	}
	if f.replaces != nil {
		d.Replaces = f.replaces.ID
	}
	return d
}
