package grouper

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

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
		Token:         a.nextToken(),
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

// MarkLost notes that an instance no longer confirms, and breaks its group (D5).
func (a *Aggregate) MarkLost(id garnetworks.InstanceID, now time.Time, reason string) {
	i := a.Instance(id)
	if i == nil || i.Condition == garnetworks.ConditionLost {
		return
	}
	i.Condition = garnetworks.ConditionLost
	a.raise(Hard)
	a.record(garnetworks.EventMemberLost, i.Group, id, "%s", reason)
	a.breakGroupOf(i, now, reason)
}

// MarkReturned notes that an instance that was lost, or that lost its state, is seen
// again. It is refused until Readmit, under a new token (D6).
func (a *Aggregate) MarkReturned(id garnetworks.InstanceID, incarnation uint64, now time.Time, reason string) {
	i := a.Instance(id)
	if i == nil {
		return
	}
	a.breakGroupOf(i, now, reason)
	i.Condition = garnetworks.ConditionReturned
	i.Incarnation = incarnation
	i.Weights = nil
	i.Token = a.nextToken()
	a.record(garnetworks.EventMemberReturned, "", id, "%s", reason)
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

// SetCondition notes whether a powered, admitted instance is healthy, leaving or a
// straggler; it changes nothing for lost and returned ones.
func (a *Aggregate) SetCondition(id garnetworks.InstanceID, condition garnetworks.Condition) {
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

// SetWeights notes the weights that an instance says it holds.
func (a *Aggregate) SetWeights(id garnetworks.InstanceID, weights []garnetworks.WeightID) {
	i := a.Instance(id)
	if i == nil || slices.Equal(i.Weights, weights) {
		return
	}
	i.Weights = slices.Clone(weights)
	a.raise(Soft)
}

// SetIncarnation notes the incarnation of an instance that never told one before.
func (a *Aggregate) SetIncarnation(id garnetworks.InstanceID, incarnation uint64) {
	i := a.Instance(id)
	if i == nil || i.Incarnation == incarnation {
		return
	}
	i.Incarnation = incarnation
	a.raise(Soft)
}

// RemoveVanished takes an instance out that the power switch does not know and the list
// does not name: there is no machine that could draw (D10). A group that held
// it is broken first, so a second call is needed once the group is dissolved.
func (a *Aggregate) RemoveVanished(id garnetworks.InstanceID, now time.Time) {
	i := a.Instance(id)
	if i == nil {
		return
	}
	a.MarkLost(id, now, "the platform no longer has it")
	if i.Group != "" {
		return
	}
	i.Power = garnetworks.PowerOff
	_ = a.Deregister(id)
}
