package granter

import (
	"slices"

	"github.com/garnetworks/garnetworks"
)

// ZoneInput is what a zone's controller knows of its power.
type ZoneInput struct {
	Zone garnetworks.ZoneID
	Term uint32
	// Stated is the statement that the object API holds, zero if none, as last
	// read or written by this holder.
	Stated garnetworks.ZonePower
	// Ledger is the newest ledger that this holder has read; absent before the
	// first one.
	Ledger garnetworks.Option[garnetworks.PowerLedger]
	// Drawn is the pessimistic draw now, decisions not yet written included.
	Drawn garnetworks.Watts
	Need  garnetworks.Watts
	Needs []garnetworks.PowerNeed
}

// ZoneOutput is a decision about a zone's statement.
type ZoneOutput struct {
	// Statement is to be written if Changed.
	Statement garnetworks.ZonePower
	Changed   bool
	// Limit is what the zone may draw now, before Statement is written.
	Limit garnetworks.Watts
	// Granted is false for a zone that was never granted anything, which neither
	// powers on nor off (W5).
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
		// Rule W5: nothing newer than the statement is known. A zone that was never
		// granted anything draws what it was found to draw.
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
		// Rule W3: more than the stated limit is drawn only once it is stated; what
		// is drawn already need not be shed for that.
		Limit:   min(allowed, max(in.Stated.Limit, in.Drawn)),
		Granted: true,
	}
}

// grant returns the zone's row of a ledger that is as new as the statement. An
// older one could raise the limit to what the zone has since given back (W3).
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

// statedLimit never confirms less than what is drawn (W4). On the way down it
// moves in steps, so that each instance proven off does not cost a write.
func statedLimit(allowed, stated, drawn garnetworks.Watts) garnetworks.Watts {
	if drawn <= allowed {
		return allowed
	}
	if drawn >= stated || stated-drawn < stated/stepDivisor {
		return stated
	}
	return drawn
}

// drawStep is the change of the draw or the need that is worth a write on its
// own, as a share of the limit.
const stepDivisor = 20

// worthWriting keeps the statement's writes rare: a changed limit or confirmed
// version is written at once, a changed draw or need only in steps.
func needsWrite(old, next garnetworks.ZonePower) bool {
	if old.Term != next.Term || old.Limit != next.Limit || old.Zone != next.Zone {
		return true
	}
	// More than what the site counts for the zone is told at once.
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
