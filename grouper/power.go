package grouper

import "github.com/garnetworks/garnetworks"

// PowerOn decides to power an instance on. From then on it counts as drawing power.
func (a *Aggregate) PowerOn(id garnetworks.InstanceID, reason string) error {
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
	i.Token = a.nextToken()
	a.record(garnetworks.EventPowerOn, "", id, "%s", reason)
	return nil
}

// PowerOff decides to power an instance off (D8).
func (a *Aggregate) PowerOff(id garnetworks.InstanceID, reason string) error {
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
	i.Token = a.nextToken()
	a.record(garnetworks.EventPowerOff, "", id, "%s", reason)
	return nil
}

// ConfirmOff records that the power switch has acknowledged the power-off under token and has
// read off since (D8). It returns false if the token is not of the newest decision.
func (a *Aggregate) ConfirmOff(id garnetworks.InstanceID, token garnetworks.FencingToken) bool {
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

// MarkRunning records that an instance responds and so is powered. An instance that is being
// powered off keeps its state until that is confirmed.
func (a *Aggregate) MarkRunning(id garnetworks.InstanceID) {
	i := a.Instance(id)
	if i == nil || i.Power == garnetworks.PowerOn || i.Power == garnetworks.PowerStopping {
		return
	}
	if i.Power == garnetworks.PowerOff {
		// Somebody else powered it on: it draws power whatever was confirmed.
		i.Condition = garnetworks.ConditionReturned
		i.Token = a.nextToken()
	}
	i.Power = garnetworks.PowerOn
	a.raise(Soft)
}
