package granter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Parameters of the targets' hysteresis (W8) and of restored ledgers.
const (
	// MinMoveInterval is the shortest time between two changes of a zone's target.
	MinMoveInterval = time.Minute
	// sequenceGap is how far the sequence of a restored ledger is set above the versions that
	// the zones have stated, since they may have read later ones.
	sequenceGap = 1000
	// minMoveDivisor: a target changes by at least the cap divided by it.
	minMoveDivisor = 100
)

// SiteInput is the input of a plan of the site's controller.
type SiteInput struct {
	Now time.Time
	// Term is the term of the site's lease.
	Term uint32
	// Generation and Cap are the manifest's.
	Generation garnetworks.Generation
	Cap        garnetworks.Watts
	// Zones are the manifest's zones that are not left out.
	Zones []garnetworks.ZoneID
	// Ledger is the newest one read; zero if there is none.
	Ledger garnetworks.PowerLedger
	// Powers are the zones' newest statements. They must be read after Ledger.
	Powers map[garnetworks.ZoneID]garnetworks.ZonePower
	// State is the one that the last plan returned; empty for a new lease holder.
	State SiteState
}

// SiteState is what one plan passes to the next one.
type SiteState struct {
	// LastMove is when a zone's target was last changed.
	LastMove map[garnetworks.ZoneID]time.Time
	// Generation and Zones are those of the last plan.
	Generation garnetworks.Generation
	Zones      int
}

// SiteOutput is a decision on the ledger.
type SiteOutput struct {
	// Ledger must be written if Changed.
	Ledger  garnetworks.PowerLedger
	Changed bool
	// Excess is the power above the cap that zones have not confirmed to have given up yet.
	Excess garnetworks.Watts
	State  SiteState
	Events []garnetworks.Event
}

// PlanSite decides the next ledger. It returns an error of kind KindStaleToken or
// KindStaleGeneration if a newer writer wrote the ledger (W7).
func PlanSite(in SiteInput) (SiteOutput, error) {
	if in.Ledger.Term > in.Term {
		return SiteOutput{}, garnetworks.Errorf(garnetworks.KindStaleToken, "the power ledger was written under term %d, later than term %d", in.Ledger.Term, in.Term)
	}
	if in.Ledger.Generation > in.Generation {
		return SiteOutput{}, garnetworks.Errorf(garnetworks.KindStaleGeneration, "the power ledger was written under generation %d, later than generation %d", in.Ledger.Generation, in.Generation)
	}
	p := newSitePlan(in)
	p.applyConfirmedShrinks()
	p.updateTargets()
	p.raiseGrants()
	return p.output(), nil
}

// sitePlan is the state of one run of PlanSite.
type sitePlan struct {
	SiteInput
	grants       []garnetworks.ZoneGrant
	nextSequence uint64
	events       []garnetworks.Event
}

func newSitePlan(in SiteInput) *sitePlan {
	p := &sitePlan{SiteInput: in, grants: slices.Clone(in.Ledger.Grants), nextSequence: in.Ledger.Sequence + 1}
	for _, power := range in.Powers {
		// The sequence of a deleted or restored ledger would be below the versions that the
		// zones have seen, and they would ignore it.
		if power.SeenSequence >= p.nextSequence {
			p.nextSequence = power.SeenSequence + sequenceGap
		}
	}
	p.State.LastMove = maps.Clone(in.State.LastMove)
	for _, z := range in.Zones {
		p.ensureGrant(z)
	}
	for z := range in.Powers {
		p.ensureGrant(z)
	}
	slices.SortFunc(p.grants, func(a, b garnetworks.ZoneGrant) int { return cmp.Compare(a.Zone, b.Zone) })
	return p
}

// ensureGrant adds a grant for a zone that has none. A zone that has never stated its draw gets
// none: no power may be granted to it, and its draw must not be taken for 0.
func (p *sitePlan) ensureGrant(z garnetworks.ZoneID) {
	has := slices.ContainsFunc(p.grants, func(g garnetworks.ZoneGrant) bool { return g.Zone == z })
	if _, stated := p.Powers[z]; has || !stated {
		return
	}
	p.grants = append(p.grants, garnetworks.ZoneGrant{Zone: z, TargetSequence: p.nextSequence})
}

// reserved is the power that a zone is counted with (W1).
func (p *sitePlan) reserved(g garnetworks.ZoneGrant) garnetworks.Watts {
	power := p.Powers[g.Zone]
	return max(g.Granted, power.Limit, power.Drawn)
}

func (p *sitePlan) total() garnetworks.Watts {
	var total garnetworks.Watts
	for _, g := range p.grants {
		total += p.reserved(g)
	}
	return total
}

// applyConfirmedShrinks lowers the grants whose reduction the zones have confirmed (W2).
func (p *sitePlan) applyConfirmedShrinks() {
	for n := range p.grants {
		g := &p.grants[n]
		power, stated := p.Powers[g.Zone]
		if !stated || power.SeenSequence < g.TargetSequence || g.Target >= g.Granted {
			continue
		}
		confirmed := max(g.Target, power.Limit, power.Drawn)
		if confirmed < g.Granted {
			p.recordChange(g.Zone, "grant shrinks from %d W to %d W", g.Granted, confirmed)
			g.Granted = confirmed
		}
	}
}

// updateTargets sets the zones' targets (W8).
func (p *sitePlan) updateTargets() {
	targets := p.targets()
	forced := p.Generation != p.State.Generation || len(p.grants) != p.State.Zones
	if p.State.LastMove == nil {
		p.State.LastMove = map[garnetworks.ZoneID]time.Time{}
	}
	var totalTarget garnetworks.Watts
	for _, g := range p.grants {
		totalTarget += g.Target
	}
	forced = forced || totalTarget > p.Cap
	for n := range p.grants {
		g := &p.grants[n]
		if !p.shouldMove(*g, targets[g.Zone], forced) {
			continue
		}
		p.recordChange(g.Zone, "target moves from %d W to %d W", g.Target, targets[g.Zone])
		g.Target = targets[g.Zone]
		g.TargetSequence = p.nextSequence
		p.State.LastMove[g.Zone] = p.Now
	}
	p.State.Generation = p.Generation
	p.State.Zones = len(p.grants)
}

func (p *sitePlan) shouldMove(g garnetworks.ZoneGrant, target garnetworks.Watts, forced bool) bool {
	move := target - g.Target
	if move == 0 {
		return false
	}
	if forced {
		return true
	}
	if max(move, -move) < p.Cap/minMoveDivisor {
		return false
	}
	last, moved := p.State.LastMove[g.Zone]
	return !moved || p.Now.Sub(last) >= MinMoveInterval
}

// raiseGrants raises grants towards their targets as far as the cap allows (W1).
func (p *sitePlan) raiseGrants() {
	headroom := p.Cap - p.total()
	if p.hasUnstatedZone() {
		headroom = 0
	}
	for n := range p.grants {
		g := &p.grants[n]
		reserved := p.reserved(*g)
		if g.Target <= g.Granted {
			continue
		}
		// The total includes the zone's power up to reserved already.
		granted := min(g.Target, reserved+max(headroom, 0))
		if granted <= g.Granted {
			continue
		}
		headroom -= max(granted-reserved, 0)
		p.recordChange(g.Zone, "grant grows from %d W to %d W", g.Granted, granted)
		g.Granted = granted
	}
}

// hasUnstatedZone reports whether a zone has never stated its draw (W9).
func (p *sitePlan) hasUnstatedZone() bool {
	return slices.ContainsFunc(p.Zones, func(z garnetworks.ZoneID) bool {
		return !slices.ContainsFunc(p.grants, func(g garnetworks.ZoneGrant) bool { return g.Zone == z })
	})
}

func (p *sitePlan) recordChange(zone garnetworks.ZoneID, format string, from, to garnetworks.Watts) {
	p.events = append(p.events, garnetworks.Event{
		Kind: garnetworks.EventGrantChanged, Zone: zone, Generation: p.Generation,
		Detail: sprintf(format, from, to),
	})
}

func (p *sitePlan) output() SiteOutput {
	total := p.total()
	ledger := garnetworks.PowerLedger{
		Cap:        max(p.Cap, total), // rule W6
		Grants:     p.grants,
		Term:       p.Term,
		Sequence:   p.nextSequence,
		Generation: p.Generation,
	}
	old := p.Ledger
	changed := old.Cap != ledger.Cap || old.Generation != ledger.Generation || old.Term != ledger.Term || !slices.Equal(old.Grants, ledger.Grants)
	if !changed {
		ledger = old
	}
	return SiteOutput{Ledger: ledger, Changed: changed, Excess: max(total-p.Cap, 0), State: p.State, Events: p.events}
}
