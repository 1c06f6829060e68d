package granter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Defaults of the hysteresis (W8).
const (
	// MoveEvery is the shortest time between two changes of a zone's target.
	MoveEvery = time.Minute
	// restoredLead is how far a ledger that went back jumps ahead of what the zones
	// have stated, since they may have read versions that they did not state.
	restoredLead = 1000
	// minMoveShare is MinMove's share of the cap.
	minMoveShare = 100
)

// SiteInput is what the site's controller knows.
type SiteInput struct {
	Now time.Time
	// Term is the site lease's.
	Term uint32
	// Generation and Cap are the manifest's.
	Generation garnetworks.Generation
	Cap        garnetworks.Watts
	// Zones are the manifest's zones that are not left out.
	Zones []garnetworks.ZoneID
	// Ledger is the newest one read; zero if there is none.
	Ledger garnetworks.PowerLedger
	// Powers are the zones' newest statements, read after Ledger was.
	Powers map[garnetworks.ZoneID]garnetworks.ZonePower
	// Memory is what the last plan returned; empty for a new holder.
	Memory SiteMemory
}

// SiteMemory is what one plan tells the next one.
type SiteMemory struct {
	// Moved is when a zone's target was last changed.
	Moved map[garnetworks.ZoneID]time.Time
	// Generation and Zones are those of the last plan.
	Generation garnetworks.Generation
	Zones      int
}

// SiteOutput is a decision about the ledger.
type SiteOutput struct {
	// Ledger is to be written if Changed.
	Ledger  garnetworks.PowerLedger
	Changed bool
	// Excess is the power by which the cap is still exceeded, because zones have
	// not confirmed yet.
	Excess garnetworks.Watts
	Memory SiteMemory
	Events []garnetworks.Event
}

// PlanSite decides the next ledger. It returns KindStaleToken or
// KindStaleGeneration if the ledger was written by a newer writer (W7).
func PlanSite(in SiteInput) (SiteOutput, error) {
	if in.Ledger.Term > in.Term {
		return SiteOutput{}, garnetworks.Errorf(garnetworks.KindStaleToken, "the power ledger holds term %d, above %d", in.Ledger.Term, in.Term)
	}
	if in.Ledger.Generation > in.Generation {
		return SiteOutput{}, garnetworks.Errorf(garnetworks.KindStaleGeneration, "the power ledger holds generation %d, above %d", in.Ledger.Generation, in.Generation)
	}
	p := newSitePlan(in)
	p.confirmShrinks()
	p.moveTargets()
	p.grow()
	return p.output(), nil
}

// sitePlan is a plan in the course of being made.
type sitePlan struct {
	SiteInput
	grants []garnetworks.ZoneGrant
	next   uint64
	events []garnetworks.Event
}

func newSitePlan(in SiteInput) *sitePlan {
	p := &sitePlan{SiteInput: in, grants: slices.Clone(in.Ledger.Grants), next: in.Ledger.Sequence + 1}
	for _, power := range in.Powers {
		// A ledger that was deleted or restored would count from behind what the
		// zones have seen, and they would not heed it.
		if power.SeenSequence >= p.next {
			p.next = power.SeenSequence + restoredLead
		}
	}
	p.Memory.Moved = maps.Clone(in.Memory.Moved)
	for _, z := range in.Zones {
		p.ensure(z)
	}
	for z := range in.Powers {
		p.ensure(z)
	}
	slices.SortFunc(p.grants, func(a, b garnetworks.ZoneGrant) int { return cmp.Compare(a.Zone, b.Zone) })
	return p
}

// ensure gives a zone a row. A zone that was never granted anything and has
// never stated its draw has none: nothing may be given away to it, and its
// silence must not be taken for a draw of 0 later.
func (p *sitePlan) ensure(z garnetworks.ZoneID) {
	has := slices.ContainsFunc(p.grants, func(g garnetworks.ZoneGrant) bool { return g.Zone == z })
	if _, stated := p.Powers[z]; has || !stated {
		return
	}
	p.grants = append(p.grants, garnetworks.ZoneGrant{Zone: z, TargetSequence: p.next})
}

// counted is what a zone counts with (W1).
func (p *sitePlan) counted(g garnetworks.ZoneGrant) garnetworks.Watts {
	power := p.Powers[g.Zone]
	return max(g.Granted, power.Limit, power.Drawn)
}

func (p *sitePlan) sum() garnetworks.Watts {
	var sum garnetworks.Watts
	for _, g := range p.grants {
		sum += p.counted(g)
	}
	return sum
}

// confirmShrinks lowers the grants that zones have confirmed (W2).
func (p *sitePlan) confirmShrinks() {
	for n := range p.grants {
		g := &p.grants[n]
		power, stated := p.Powers[g.Zone]
		if !stated || power.SeenSequence < g.TargetSequence || g.Target >= g.Granted {
			continue
		}
		confirmed := max(g.Target, power.Limit, power.Drawn)
		if confirmed < g.Granted {
			p.note(g.Zone, "grant shrinks from %d W to %d W", g.Granted, confirmed)
			g.Granted = confirmed
		}
	}
}

// moveTargets sets what is wanted of each zone (W8).
func (p *sitePlan) moveTargets() {
	targets := p.targets()
	forced := p.Generation != p.Memory.Generation || len(p.grants) != p.Memory.Zones
	if p.Memory.Moved == nil {
		p.Memory.Moved = map[garnetworks.ZoneID]time.Time{}
	}
	var over garnetworks.Watts
	for _, g := range p.grants {
		over += g.Target
	}
	forced = forced || over > p.Cap
	for n := range p.grants {
		g := &p.grants[n]
		if !p.mayMove(*g, targets[g.Zone], forced) {
			continue
		}
		p.note(g.Zone, "wanted moves from %d W to %d W", g.Target, targets[g.Zone])
		g.Target = targets[g.Zone]
		g.TargetSequence = p.next
		p.Memory.Moved[g.Zone] = p.Now
	}
	p.Memory.Generation = p.Generation
	p.Memory.Zones = len(p.grants)
}

func (p *sitePlan) mayMove(g garnetworks.ZoneGrant, target garnetworks.Watts, forced bool) bool {
	move := target - g.Target
	if move == 0 {
		return false
	}
	if forced {
		return true
	}
	if max(move, -move) < p.Cap/minMoveShare {
		return false
	}
	last, moved := p.Memory.Moved[g.Zone]
	return !moved || p.Now.Sub(last) >= MoveEvery
}

// grow raises grants towards what is wanted, as far as the cap allows (W1).
func (p *sitePlan) grow() {
	room := p.Cap - p.sum()
	if p.unstated() {
		room = 0
	}
	for n := range p.grants {
		g := &p.grants[n]
		counted := p.counted(*g)
		if g.Target <= g.Granted {
			continue
		}
		// Up to counted the zone's draw is in the sum already.
		granted := min(g.Target, counted+max(room, 0))
		if granted <= g.Granted {
			continue
		}
		room -= max(granted-counted, 0)
		p.note(g.Zone, "grant grows from %d W to %d W", g.Granted, granted)
		g.Granted = granted
	}
}

// unstated reports whether a zone has never said what it draws (W9).
func (p *sitePlan) unstated() bool {
	return slices.ContainsFunc(p.Zones, func(z garnetworks.ZoneID) bool {
		return !slices.ContainsFunc(p.grants, func(g garnetworks.ZoneGrant) bool { return g.Zone == z })
	})
}

func (p *sitePlan) note(zone garnetworks.ZoneID, format string, from, to garnetworks.Watts) {
	p.events = append(p.events, garnetworks.Event{
		Kind: garnetworks.EventGrantChanged, Zone: zone, Generation: p.Generation,
		Detail: sprintf(format, from, to),
	})
}

func (p *sitePlan) output() SiteOutput {
	sum := p.sum()
	ledger := garnetworks.PowerLedger{
		Cap:        max(p.Cap, sum), // rule W6
		Grants:     p.grants,
		Term:       p.Term,
		Sequence:   p.next,
		Generation: p.Generation,
	}
	old := p.Ledger
	changed := old.Cap != ledger.Cap || old.Generation != ledger.Generation || old.Term != ledger.Term || !slices.Equal(old.Grants, ledger.Grants)
	if !changed {
		ledger = old
	}
	return SiteOutput{Ledger: ledger, Changed: changed, Excess: max(sum-p.Cap, 0), Memory: p.Memory, Events: p.events}
}
