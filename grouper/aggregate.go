package grouper

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Urgency says how soon a change must be written.
type Urgency int

const (
	// Unchanged means that there is nothing to write.
	Unchanged Urgency = iota
	// Soft changes restate what instances themselves say (loading, serving,
	// weights); a successor finds them out again, so they can wait for the next
	// write.
	Soft
	// Hard changes are decisions: they are written before any order is sent.
	Hard
)

// Aggregate is a private copy of a fabric domain in the course of a decision.
type Aggregate struct {
	domain  garnetworks.FabricDomain
	urgency Urgency
	events  []garnetworks.Event
}

// Open copies the domain for a writer of the given term (D1).
func Open(domain *garnetworks.FabricDomain, term uint32) (*Aggregate, error) {
	if term == 0 || term < domain.Term {
		return nil, garnetworks.Errorf(garnetworks.KindStaleToken, "domain %s was written under term %d, which is above %d", domain.ID, domain.Term, term)
	}
	a := &Aggregate{domain: Clone(domain)}
	if term > domain.Term {
		a.domain.Term = term
		a.domain.Sequence = 0
		a.raise(Hard)
	}
	return a, nil
}

// Clone returns a deep copy, so that no decision changes what another reads.
func Clone(domain *garnetworks.FabricDomain) garnetworks.FabricDomain {
	d := *domain
	d.Instances = slices.Clone(domain.Instances)
	d.Groups = slices.Clone(domain.Groups)
	return d
}

// Domain returns the domain as decided so far. The caller must not change it
// while it goes on using the aggregate.
func (a *Aggregate) Domain() *garnetworks.FabricDomain { return &a.domain }

// Urgency returns how soon the result must be written.
func (a *Aggregate) Urgency() Urgency { return a.urgency }

// Events returns the events of the transitions made.
func (a *Aggregate) Events() []garnetworks.Event { return a.events }

func (a *Aggregate) raise(u Urgency) { a.urgency = max(a.urgency, u) }

func (a *Aggregate) record(kind garnetworks.EventKind, group garnetworks.GroupID, instance garnetworks.InstanceID, format string, args ...any) {
	a.events = append(a.events, garnetworks.Event{
		Kind:     kind,
		Zone:     a.domain.Zone,
		Group:    group,
		Instance: instance,
		Detail:   fmt.Sprintf(format, args...),
	})
}

// issue returns the next token (D2).
func (a *Aggregate) issue() garnetworks.FencingToken {
	a.domain.Sequence++
	a.raise(Hard)
	return garnetworks.NewFencingToken(a.domain.Term, a.domain.Sequence)
}

// SkipSequence makes the next token lie above token, which an engine has said
// it holds though the domain never recorded it. It reports false if the token's
// term is higher than the writer's: then another holder has taken over.
func (a *Aggregate) SkipSequence(token garnetworks.FencingToken) bool {
	if token.Term() > a.domain.Term {
		return false
	}
	if token.Term() == a.domain.Term && token.Sequence() > a.domain.Sequence {
		a.domain.Sequence = token.Sequence()
		a.raise(Hard)
	}
	return true
}

// SetGeneration notes the manifest generation that decisions are made by.
func (a *Aggregate) SetGeneration(generation garnetworks.Generation) {
	if generation > a.domain.Generation {
		a.domain.Generation = generation
		a.raise(Soft)
	}
}

// Instance returns the named instance, or nil.
func (a *Aggregate) Instance(id garnetworks.InstanceID) *garnetworks.Instance {
	return FindInstance(&a.domain, id)
}

// Group returns the named group, or nil.
func (a *Aggregate) Group(id garnetworks.GroupID) *garnetworks.Group {
	return FindGroup(&a.domain, id)
}

// FindInstance returns the named instance of the domain, or nil.
func FindInstance(d *garnetworks.FabricDomain, id garnetworks.InstanceID) *garnetworks.Instance {
	i, ok := slices.BinarySearchFunc(d.Instances, id, func(x garnetworks.Instance, id garnetworks.InstanceID) int {
		return cmp.Compare(x.ID, id)
	})
	if !ok {
		return nil
	}
	return &d.Instances[i]
}

// FindGroup returns the named group of the domain, or nil.
func FindGroup(d *garnetworks.FabricDomain, id garnetworks.GroupID) *garnetworks.Group {
	i, ok := slices.BinarySearchFunc(d.Groups, id, func(x garnetworks.Group, id garnetworks.GroupID) int {
		return cmp.Compare(x.ID, id)
	})
	if !ok {
		return nil
	}
	return &d.Groups[i]
}

// Register takes a listed instance into the domain, or takes over what the list
// newly says of it. A new one is not admitted yet (D6), and its power is not
// known.
func (a *Aggregate) Register(listed garnetworks.ListedInstance, class garnetworks.InstanceClass) {
	if i := a.Instance(listed.ID); i != nil {
		a.update(i, listed, class)
		return
	}
	at, _ := slices.BinarySearchFunc(a.domain.Instances, listed.ID, func(x garnetworks.Instance, id garnetworks.InstanceID) int {
		return cmp.Compare(x.ID, id)
	})
	a.domain.Instances = slices.Insert(a.domain.Instances, at, garnetworks.Instance{
		ID:            listed.ID,
		Address:       listed.Address,
		Class:         listed.Class,
		Watts:         class.Watts,
		Power:         garnetworks.PowerUnknown,
		Condition:     garnetworks.ConditionReturned,
		ChecksFencing: class.ChecksFencing,
		Token:         a.issue(),
	})
}

func (a *Aggregate) update(i *garnetworks.Instance, listed garnetworks.ListedInstance, class garnetworks.InstanceClass) {
	// The draw counted for an instance falls only with its class; what the
	// manifest says of the class is taken over at once.
	if i.Address != listed.Address || i.Class != listed.Class || i.Watts != class.Watts || i.ChecksFencing != class.ChecksFencing {
		i.Address, i.Class, i.Watts, i.ChecksFencing = listed.Address, listed.Class, class.Watts, class.ChecksFencing
		a.raise(Hard)
	}
}

// Deregister takes an instance out of the domain (D10).
func (a *Aggregate) Deregister(id garnetworks.InstanceID) error {
	i := a.Instance(id)
	if i == nil {
		return nil
	}
	if i.Power.Draws() || i.Group != "" {
		return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is %s and in group %q", id, i.Power, i.Group)
	}
	a.domain.Instances = slices.DeleteFunc(a.domain.Instances, func(x garnetworks.Instance) bool { return x.ID == id })
	a.raise(Hard)
	return nil
}

// Lose notes that an instance no longer confirms, and breaks its group (D5).
func (a *Aggregate) Lose(id garnetworks.InstanceID, now time.Time, why string) {
	i := a.Instance(id)
	if i == nil || i.Condition == garnetworks.ConditionLost {
		return
	}
	i.Condition = garnetworks.ConditionLost
	a.raise(Hard)
	a.record(garnetworks.EventMemberLost, i.Group, id, "%s", why)
	a.breakOf(i, now, why)
}

// Return notes that an instance that was lost, or that lost its state, is seen
// again. It is refused until Readmit, under a new token (D6).
func (a *Aggregate) Return(id garnetworks.InstanceID, incarnation uint64, now time.Time, why string) {
	i := a.Instance(id)
	if i == nil {
		return
	}
	a.breakOf(i, now, why)
	i.Condition = garnetworks.ConditionReturned
	i.Incarnation = incarnation
	i.Weights = nil
	i.Token = a.issue()
	a.record(garnetworks.EventMemberReturned, "", id, "%s", why)
}

// Readmit makes an instance healthy that has confirmed its release (D6, D7).
func (a *Aggregate) Readmit(id garnetworks.InstanceID, status garnetworks.EngineStatus) error {
	i := a.Instance(id)
	if i == nil {
		return garnetworks.Errorf(garnetworks.KindNotFound, "no instance %s", id)
	}
	if i.Condition != garnetworks.ConditionReturned {
		return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is %s", id, i.Condition)
	}
	if !released(i, status) {
		return garnetworks.Errorf(garnetworks.KindConflict, "instance %s has not confirmed its release under %s", id, i.Token)
	}
	i.Condition = garnetworks.ConditionHealthy
	a.raise(Hard)
	return nil
}

// released reports whether the status shows that the instance carried out the
// release under its newest token and belongs to no group.
func released(i *garnetworks.Instance, s garnetworks.EngineStatus) bool {
	carriedOut := s.Token == i.Token || s.LastOrder == releaseID(i.Token)
	return s.Group == "" && carriedOut && s.Incarnation == i.Incarnation &&
		(s.Phase == garnetworks.EngineIdle || s.Phase == garnetworks.EngineLoading)
}

// releaseID names a release; engines that name no token while they are idle
// still name the last order that they carried out.
func releaseID(token garnetworks.FencingToken) string { return "release/" + token.String() }

// Judge notes whether a powered, admitted instance is healthy, leaving or a
// straggler; it changes nothing for lost and returned ones.
func (a *Aggregate) Judge(id garnetworks.InstanceID, condition garnetworks.Condition) {
	i := a.Instance(id)
	if i == nil || i.Condition == condition {
		return
	}
	if i.Condition == garnetworks.ConditionLost || i.Condition == garnetworks.ConditionReturned {
		return
	}
	i.Condition = condition
	a.raise(Hard)
}

// Hold notes the weights that an instance says it holds.
func (a *Aggregate) Hold(id garnetworks.InstanceID, weights []garnetworks.WeightID) {
	i := a.Instance(id)
	if i == nil || slices.Equal(i.Weights, weights) {
		return
	}
	i.Weights = slices.Clone(weights)
	a.raise(Soft)
}

// Learn notes the incarnation of an instance that never told one before.
func (a *Aggregate) Learn(id garnetworks.InstanceID, incarnation uint64) {
	i := a.Instance(id)
	if i == nil || i.Incarnation == incarnation {
		return
	}
	i.Incarnation = incarnation
	a.raise(Soft)
}

// Form decides a group under a new token (D3). The group's name holds the token
// and so is never used twice.
func (a *Aggregate) Form(spec garnetworks.Group, now time.Time) (garnetworks.GroupID, error) {
	if len(spec.Members) == 0 {
		return "", garnetworks.Errorf(garnetworks.KindConflict, "a group needs members")
	}
	if err := a.mayForm(spec.Members); err != nil {
		return "", err
	}
	if spec.Replaces != "" && a.Group(spec.Replaces) == nil {
		spec.Replaces = ""
	}
	token := a.issue()
	group := spec
	group.ID = garnetworks.GroupID(fmt.Sprintf("%s-%d-%d", a.domain.ID, token.Term(), token.Sequence()))
	group.Token = token
	group.Members = slices.Clone(spec.Members)
	group.Adapters = slices.Clone(spec.Adapters)
	group.State = garnetworks.GroupForming
	group.Since = now
	group.DrainUntil = time.Time{}
	for _, m := range group.Members {
		i := a.Instance(m)
		i.Group = group.ID
		i.Token = token
	}
	a.domain.Groups = append(a.domain.Groups, group)
	slices.SortFunc(a.domain.Groups, func(x, y garnetworks.Group) int { return cmp.Compare(x.ID, y.ID) })
	a.record(garnetworks.EventGroupFormed, group.ID, "", "%s@%s of %v", group.Model, group.Version, group.Members)
	return group.ID, nil
}

func (a *Aggregate) mayForm(members []garnetworks.InstanceID) error {
	seen := garnetworks.NewSet[garnetworks.InstanceID]()
	class := ""
	for _, m := range members {
		i := a.Instance(m)
		switch {
		case i == nil:
			return garnetworks.Errorf(garnetworks.KindNotFound, "instance %s is not in domain %s", m, a.domain.ID)
		case seen.Has(m):
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is named twice", m)
		case i.Group != "":
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is in group %s", m, i.Group)
		case i.Condition != garnetworks.ConditionHealthy:
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is %s", m, i.Condition)
		case i.Power != garnetworks.PowerOn:
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is not powered but %s", m, i.Power)
		case class != "" && i.Class != class:
			return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is of class %s, not %s", m, i.Class, class)
		}
		seen.Add(m)
		class = i.Class
	}
	return nil
}

// Advance notes that members load or serve (D4). Statuses are those that are
// fresh enough to count.
func (a *Aggregate) Advance(id garnetworks.GroupID, fresh Statuses, now time.Time) {
	g := a.Group(id)
	if g == nil || (g.State != garnetworks.GroupForming && g.State != garnetworks.GroupLoading) {
		return
	}
	if Confirmed(&a.domain, g, fresh) {
		a.enter(g, garnetworks.GroupServing, now)
		a.record(garnetworks.EventGroupServing, id, "", "%s@%s", g.Model, g.Version)
		// A successor that does not know that the group serves would drain
		// nothing, so the write can wait unless another group makes way for it.
		if g.Replaces != "" {
			a.raise(Hard)
		}
		return
	}
	if g.State == garnetworks.GroupForming && taken(g, fresh) {
		a.enter(g, garnetworks.GroupLoading, now)
	}
}

func (a *Aggregate) enter(g *garnetworks.Group, state garnetworks.GroupState, now time.Time) {
	g.State = state
	g.Since = now
	a.raise(Soft)
}

// taken reports whether every member says that it has taken the group's order.
func taken(g *garnetworks.Group, fresh Statuses) bool {
	for _, m := range g.Members {
		s, ok := fresh[m]
		if !ok || s.Group != g.ID || s.Token != g.Token {
			return false
		}
	}
	return true
}

// SetAdapters changes the adapters that the group's members shall hold.
func (a *Aggregate) SetAdapters(id garnetworks.GroupID, adapters []garnetworks.AdapterName) {
	g := a.Group(id)
	if g == nil || slices.Equal(g.Adapters, adapters) {
		return
	}
	g.Adapters = slices.Clone(adapters)
	a.raise(Hard)
}

// Break notes that a group can't serve any more (D5).
func (a *Aggregate) Break(id garnetworks.GroupID, now time.Time, why string) {
	g := a.Group(id)
	if g == nil || g.State == garnetworks.GroupBroken {
		return
	}
	a.enter(g, garnetworks.GroupBroken, now)
	a.raise(Hard)
	a.record(garnetworks.EventGroupBroken, id, "", "%s", why)
	for _, m := range g.Members {
		a.unsettle(a.Instance(m))
	}
}

func (a *Aggregate) breakOf(i *garnetworks.Instance, now time.Time, why string) {
	if i.Group != "" {
		a.Break(i.Group, now, string(i.ID)+": "+why)
	}
}

// unsettle makes a member that ignores fencing tokens show that it has left its
// group before it can join another one (D7).
func (a *Aggregate) unsettle(i *garnetworks.Instance) {
	if i == nil || i.ChecksFencing || i.Condition != garnetworks.ConditionHealthy {
		return
	}
	i.Condition = garnetworks.ConditionReturned
}

// Drain ends new calls to a group until its release.
func (a *Aggregate) Drain(id garnetworks.GroupID, now time.Time, grace time.Duration, why string) {
	g := a.Group(id)
	if g == nil || g.State == garnetworks.GroupBroken {
		return
	}
	until := now.Add(grace)
	if g.State == garnetworks.GroupDraining {
		// A shorter grace than before wins: power is needed sooner.
		if until.Before(g.DrainUntil) {
			g.DrainUntil = until
			a.raise(Hard)
		}
		return
	}
	a.enter(g, garnetworks.GroupDraining, now)
	a.raise(Hard)
	g.DrainUntil = until
	a.record(garnetworks.EventGroupDraining, id, "", "%s", why)
}

// Dissolve frees the members of a group under a new token.
func (a *Aggregate) Dissolve(id garnetworks.GroupID, why string) {
	g := a.Group(id)
	if g == nil {
		return
	}
	token := a.issue()
	for _, m := range g.Members {
		i := a.Instance(m)
		if i == nil || i.Group != id {
			continue
		}
		i.Group = ""
		i.Token = token
		a.unsettle(i)
	}
	a.domain.Groups = slices.DeleteFunc(a.domain.Groups, func(x garnetworks.Group) bool { return x.ID == id })
	for n := range a.domain.Groups {
		if a.domain.Groups[n].Replaces == id {
			a.domain.Groups[n].Replaces = ""
		}
	}
	a.record(garnetworks.EventGroupReleased, id, "", "%s", why)
}

// Gone takes an instance out that the power switch does not know and the list
// does not name: there is no machine that could draw (D10). A group that held
// it is broken first, so a second call is needed once the group is dissolved.
func (a *Aggregate) Gone(id garnetworks.InstanceID, now time.Time) {
	i := a.Instance(id)
	if i == nil {
		return
	}
	a.Lose(id, now, "the platform no longer has it")
	if i.Group != "" {
		return
	}
	i.Power = garnetworks.PowerOff
	_ = a.Deregister(id)
}

// PowerOn decides to power an instance on; it counts as drawing from here on.
func (a *Aggregate) PowerOn(id garnetworks.InstanceID, why string) error {
	i := a.Instance(id)
	if i == nil {
		return garnetworks.Errorf(garnetworks.KindNotFound, "no instance %s", id)
	}
	if i.Power != garnetworks.PowerOff {
		return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is %s", id, i.Power)
	}
	i.Power = garnetworks.PowerStarting
	i.Condition = garnetworks.ConditionReturned
	i.Incarnation = 0
	i.Weights = nil
	i.Token = a.issue()
	a.record(garnetworks.EventPowerOn, "", id, "%s", why)
	return nil
}

// PowerOff decides to cut an instance's power (D8).
func (a *Aggregate) PowerOff(id garnetworks.InstanceID, why string) error {
	i := a.Instance(id)
	if i == nil {
		return garnetworks.Errorf(garnetworks.KindNotFound, "no instance %s", id)
	}
	if i.Group != "" {
		return garnetworks.Errorf(garnetworks.KindConflict, "instance %s is in group %s", id, i.Group)
	}
	if i.Power == garnetworks.PowerOff || i.Power == garnetworks.PowerStopping {
		return nil
	}
	i.Power = garnetworks.PowerStopping
	i.Condition = garnetworks.ConditionReturned
	i.Token = a.issue()
	a.record(garnetworks.EventPowerOff, "", id, "%s", why)
	return nil
}

// ProveOff notes that the power switch has acknowledged the power-off under
// token and reads off since (D8). It reports false if the proof is not of the
// newest decision.
func (a *Aggregate) ProveOff(id garnetworks.InstanceID, token garnetworks.FencingToken) bool {
	i := a.Instance(id)
	if i == nil || i.Power != garnetworks.PowerStopping || i.Token != token {
		return false
	}
	i.Power = garnetworks.PowerOff
	i.Incarnation = 0
	i.Weights = nil
	a.raise(Hard)
	return true
}

// SeeRunning notes that an instance answers: it is powered. An instance that
// was ordered off stays so until it is proven off.
func (a *Aggregate) SeeRunning(id garnetworks.InstanceID) {
	i := a.Instance(id)
	if i == nil || i.Power == garnetworks.PowerOn || i.Power == garnetworks.PowerStopping {
		return
	}
	if i.Power == garnetworks.PowerOff {
		// Somebody else powered it: it draws, whatever was proven.
		i.Condition = garnetworks.ConditionReturned
		i.Token = a.issue()
	}
	i.Power = garnetworks.PowerOn
	a.raise(Soft)
}
