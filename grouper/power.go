package grouper

import "github.com/garnetworks/garnetworks"

// PowerOn decides to power an instance on; it counts as drawing from here on.
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

// PowerOff decides to cut an instance's power (D8).
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

// ConfirmOff notes that the power switch has acknowledged the power-off under
// token and reads off since (D8). It reports false if the proof is not of the
// newest decision.
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

// MarkRunning notes that an instance answers: it is powered. An instance that
// was ordered off stays so until it is proven off.
func (a *Aggregate) MarkRunning(id garnetworks.InstanceID) {
	i := a.Instance(id)
	if i == nil || i.Power == garnetworks.PowerOn || i.Power == garnetworks.PowerStopping {
		return
	}
	if i.Power == garnetworks.PowerOff {
		// Somebody else powered it: it draws, whatever was proven.
		i.Condition = garnetworks.ConditionReturned
		i.Token = a.nextToken()
	}
	i.Power = garnetworks.PowerOn
	a.raise(Soft)
}
