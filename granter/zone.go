package granter

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// ZoneInput is the input of a plan of a zone's controller.
type ZoneInput struct {
	Zone garnetworks.ZoneID
	Term uint32
	// Stated is the statement in the object API as last read or written by this lease holder;
	// zero if there is none.
	Stated garnetworks.ZonePower
	// Ledger is the newest ledger that this lease holder has read; absent before the first one.
	Ledger garnetworks.Option[garnetworks.PowerLedger]
	// Drawn is the power draw now, counting every instance not proven off and decisions that
	// are not written yet.
	Drawn garnetworks.Watts
	Need  garnetworks.Watts
	Needs []garnetworks.PowerNeed
}

// ZoneOutput is a decision on a zone's statement.
type ZoneOutput struct {
	// Statement must be written if Changed.
	Statement garnetworks.ZonePower
	Changed   bool
	// Limit is what the zone may draw now, before Statement is written.
	Limit garnetworks.Watts
	// Granted is false for a zone that was never granted anything. It must not power
	// instances on or off (W5).
	Granted bool
}

// PlanZone decides a zone's statement and its limit.
func PlanZone(in ZoneInput) ZoneOutput {
	next := in.Stated
	next.Zone = in.Zone
	next.Term = in.Term
	next.Need = in.Need
	next.Needs = in.Needs
	next.Drawn = in.Drawn
	grant, granted := in.grant()
	if !granted {
		// Rule W5: the statement is the newest information. A zone that was never granted
		// anything keeps the draw that it was found with.
		limit := in.Stated.Limit
		if in.Stated.SeenSequence == 0 {
			limit = in.Drawn
		}
		return ZoneOutput{Statement: next, Changed: needsWrite(in.Stated, next), Limit: limit, Granted: in.Stated.SeenSequence != 0}
	}
	allowed := min(grant.Granted, grant.Target)
	next.SeenSequence = in.Ledger.Value.Sequence
	next.Limit = statedLimit(allowed, in.Stated.Limit, in.Drawn)
	return ZoneOutput{
		Statement: next,
		Changed:   needsWrite(in.Stated, next) || in.Stated.SeenSequence < grant.TargetSequence,
		// Rule W3: the zone draws more than the stated limit only once the higher one is
		// stated. What it draws already need not be given up for that.
		Limit:   min(allowed, max(in.Stated.Limit, in.Drawn)),
		Granted: true,
	}
}

// grant returns the zone's grant in a ledger at least as new as the statement. An older one
// could raise the limit to what the zone has given back since (W3).
func (in ZoneInput) grant() (garnetworks.ZoneGrant, bool) {
	ledger, ok := in.Ledger.Get()
	if !ok || ledger.Sequence < in.Stated.SeenSequence {
		return garnetworks.ZoneGrant{}, false
	}
	n := slices.IndexFunc(ledger.Grants, func(g garnetworks.ZoneGrant) bool { return g.Zone == in.Zone })
	if n < 0 {
		return garnetworks.ZoneGrant{}, false
	}
	return ledger.Grants[n], true
}

// statedLimit returns the limit to state. It is never below the draw (W4). On the way down
// it falls in steps, so that not every instance proven off costs a write.
func statedLimit(allowed, stated, drawn garnetworks.Watts) garnetworks.Watts {
	if drawn <= allowed {
		return allowed
	}
	if drawn >= stated || stated-drawn < stated/stepDivisor {
		return stated
	}
	return drawn
}

// stepDivisor: a change of the draw or the need is written on its own if it is at least the
// limit divided by it.
const stepDivisor = 20

// needsWrite limits the writes of the statement: a changed limit or list of needs is written
// at once, a changed draw or total need only in steps.
func needsWrite(old, next garnetworks.ZonePower) bool {
	if old.Term != next.Term || old.Limit != next.Limit || old.Zone != next.Zone {
		return true
	}
	// A draw above what the site counts for the zone is stated at once.
	if next.Drawn > max(old.Drawn, old.Limit) {
		return true
	}
	if !slices.Equal(old.Needs, next.Needs) {
		return true
	}
	step := max(next.Limit, old.Drawn) / stepDivisor
	return differsBy(old.Drawn, next.Drawn, step) || differsBy(old.Need, next.Need, step)
}

func differsBy(a, b, step garnetworks.Watts) bool { return a != b && max(a-b, b-a) >= step }
