package grouper

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Register adds a listed instance to the domain, or updates what the list says of it. A new
// instance is not admitted yet (D6), and its power state is unknown.
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
	// The draw counted for an instance changes only with its class or the manifest's figures
	// for the class, both of which take effect at once.
	if i.Address != listed.Address || i.Class != listed.Class || i.Watts != class.Watts || i.ChecksFencing != class.ChecksFencing {
		i.Address, i.Class, i.Watts, i.ChecksFencing = listed.Address, listed.Class, class.Watts, class.ChecksFencing
		a.raise(Hard)
	}
}

// Deregister removes an instance from the domain (D10).
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

// MarkLost records that an instance no longer confirms, and breaks its group (D5).
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

// MarkReturned records that an instance that was lost, or that lost its state, responds again.
// It joins no group until Readmit, under a new token (D6).
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

// Readmit marks an instance that has confirmed its release as healthy (D6, D7).
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

// released reports whether the status shows that the instance carried out the release under
// its newest token and belongs to no group.
func released(i *garnetworks.Instance, s garnetworks.EngineStatus) bool {
	carriedOut := s.Token == i.Token || s.LastOrder == releaseID(i.Token)
	return s.Group == "" && carriedOut && s.Incarnation == i.Incarnation &&
		(s.Phase == garnetworks.EngineIdle || s.Phase == garnetworks.EngineLoading)
}

// releaseID returns the ID of a release order. Engines that report no token while idle still
// report the last order that they carried out.
func releaseID(token garnetworks.FencingToken) string { return "release/" + token.String() }

// SetCondition marks an admitted instance as healthy, leaving or a straggler. It changes
// nothing for lost and returned ones.
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

// SetWeights records the weights that an instance reports.
func (a *Aggregate) SetWeights(id garnetworks.InstanceID, weights []garnetworks.WeightID) {
	i := a.Instance(id)
	if i == nil || slices.Equal(i.Weights, weights) {
		return
	}
	i.Weights = slices.Clone(weights)
	a.raise(Soft)
}

// SetIncarnation records the first incarnation that an instance reports.
func (a *Aggregate) SetIncarnation(id garnetworks.InstanceID, incarnation uint64) {
	i := a.Instance(id)
	if i == nil || i.Incarnation == incarnation {
		return
	}
	i.Incarnation = incarnation
	a.raise(Soft)
}

// RemoveVanished removes an instance that neither the power switch nor the list knows: there
// is no machine that could draw power (D10). If the instance is in a group, the group is only
// broken, and a second call is needed once it is dissolved.
func (a *Aggregate) RemoveVanished(id garnetworks.InstanceID, now time.Time) {
	i := a.Instance(id)
	if i == nil {
		return
	}
	a.MarkLost(id, now, "it no longer exists on the platform")
	if i.Group != "" {
		return
	}
	i.Power = garnetworks.PowerOff
	_ = a.Deregister(id)
}
