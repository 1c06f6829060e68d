package granter

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const unit = 10

// site simulates a ledger and three zones whose plans are based on reads that are some steps
// old, in any order.
type site struct {
	now      time.Time
	cap      garnetworks.Watts
	gen      garnetworks.Generation
	ledger   garnetworks.PowerLedger
	ledgerAt int
	memory   garnetworks.Option[SiteState]
	zones    []*zone
	// read is the input of a site plan in progress: the ledger, then the statements.
	read   *SiteInput
	readAt int
	moves  map[garnetworks.ZoneID]int
}

type zone struct {
	id     garnetworks.ZoneID
	stated garnetworks.ZonePower
	at     int
	// known is the ledger that the lease holder has read; cached is the statement it knows.
	known    garnetworks.Option[garnetworks.PowerLedger]
	cached   garnetworks.ZonePower
	cachedAt int
	drawn    garnetworks.Watts
	limit    garnetworks.Watts
	term     uint32
	needs    []garnetworks.PowerNeed
	// earlyLedger is a ledger that the next lease holder reads before the statement.
	earlyLedger garnetworks.Option[garnetworks.PowerLedger]
	// pending is a statement that was decided and not written yet.
	pending *garnetworks.ZonePower
	active  bool
}

func newSite(cap garnetworks.Watts) *site {
	s := &site{now: time.Unix(1_000_000, 0), cap: cap, gen: 1, moves: map[garnetworks.ZoneID]int{}}
	for n := range 3 {
		z := &zone{id: garnetworks.ZoneID(fmt.Sprintf("z%d", n)), term: 1, drawn: 3 * unit}
		z.needs = []garnetworks.PowerNeed{{Minimum: true, Priority: n, Watts: 2 * unit, Groups: 2}, {Priority: 1, Watts: unit, Groups: 3}}
		s.zones = append(s.zones, z)
	}
	return s
}

// startPlan reads the ledger; readPowers reads the statements later.
func (s *site) startPlan() {
	in := SiteInput{Now: s.now, Term: 1, Generation: s.gen, Cap: s.cap, Ledger: s.ledger, Powers: map[garnetworks.ZoneID]garnetworks.ZonePower{}}
	for _, z := range s.zones {
		in.Zones = append(in.Zones, z.id)
	}
	s.read, s.readAt = &in, s.ledgerAt
}

func (s *site) readPowers() {
	if s.read == nil {
		return
	}
	for _, z := range s.zones {
		if z.at > 0 {
			s.read.Powers[z.id] = z.stated
		}
	}
}

func (s *site) finishPlan(rt *rapid.T, lost bool) {
	in := s.read
	s.read = nil
	if in == nil || len(in.Powers) == 0 {
		return
	}
	in.State = s.memory.Value
	out, err := PlanSite(*in)
	if err != nil || s.readAt != s.ledgerAt {
		return
	}
	if out.Changed {
		for _, g := range out.Ledger.Grants {
			for _, old := range s.ledger.Grants {
				if old.Zone == g.Zone && old.Target != g.Target {
					s.moves[g.Zone]++
				}
			}
		}
		// The ledger's cap may exceed the manifest's only for what was drawn before.
		if len(s.ledger.Grants) == len(s.zones) && out.Ledger.Cap > max(in.Cap, s.ledger.Cap) {
			rt.Fatalf("the ledger's cap rises from %d W to %d W above the manifest's %d W", s.ledger.Cap, out.Ledger.Cap, in.Cap)
		}
		s.ledger = out.Ledger
		s.ledgerAt++
	}
	if !lost {
		s.memory = garnetworks.Some(out.State)
	}
	s.check(rt)
}

func (z *zone) readLedger(s *site) {
	if s.ledgerAt > 0 {
		z.known = garnetworks.Some(s.ledger)
	}
}

// plan decides a statement; write stores it later.
func (z *zone) plan() {
	out := PlanZone(ZoneInput{Zone: z.id, Term: z.term, Stated: z.cached, Ledger: z.known, Drawn: z.drawn, Needs: z.needs, Need: Total(z.needs)})
	z.limit = out.Limit
	z.active = true
	if out.Changed {
		z.pending = &out.Statement
	}
}

// write stores the decided statement if nobody else has written since.
func (z *zone) write(lost bool) {
	if z.pending == nil {
		return
	}
	if z.cachedAt == z.at {
		z.stated = *z.pending
		z.at++
		if !lost {
			z.cached, z.cachedAt = z.stated, z.at
		}
	}
	z.pending = nil
}

// takeOver replaces the lease holder; the new one reads the statement and writes its term to it.
func (z *zone) takeOver() {
	z.term++
	z.active = false
	z.known, z.earlyLedger = z.earlyLedger, garnetworks.Option[garnetworks.PowerLedger]{}
	if z.at > 0 {
		z.stated.Term = z.term
		z.at++
	}
	z.cached, z.cachedAt, z.pending = z.stated, z.at, nil
}

func (s *site) check(rt *rapid.T) {
	var drawn, granted garnetworks.Watts
	for _, z := range s.zones {
		drawn += z.drawn
	}
	for _, g := range s.ledger.Grants {
		granted += g.Granted
	}
	if len(s.ledger.Grants) == len(s.zones) && (drawn > s.ledger.Cap || granted > s.ledger.Cap) {
		rt.Fatalf("drawn %d W and granted %d W under a cap of %d W", drawn, granted, s.ledger.Cap)
	}
}

// TestGrantsNeverExceedTheCap races controllers with stale reads, lost writes and new lease
// holders. The draw stays within the ledger's cap, which converges to the manifest's.
func TestGrantsNeverExceedTheCap(t *testing.T) {
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSite(12 * unit)
		pick := func(rt *rapid.T) *zone { return s.zones[rapid.IntRange(0, 2).Draw(rt, "zone")] }
		rt.Repeat(map[string]func(*rapid.T){
			"":            func(rt *rapid.T) { s.now = s.now.Add(20 * time.Second); steps++; s.check(rt) },
			"start":       func(*rapid.T) { s.startPlan() },
			"powers":      func(*rapid.T) { s.readPowers() },
			"finish":      func(rt *rapid.T) { s.finishPlan(rt, false) },
			"finish-lost": func(rt *rapid.T) { s.finishPlan(rt, true) },
			"whole":       func(rt *rapid.T) { s.startPlan(); s.readPowers(); s.finishPlan(rt, false) },
			"zone-ledger": func(rt *rapid.T) { pick(rt).readLedger(s) },
			"zone-plan":   func(rt *rapid.T) { pick(rt).plan() },
			"zone-write":  func(rt *rapid.T) { pick(rt).write(false) },
			"zone-lost":   func(rt *rapid.T) { pick(rt).write(true) },
			"zone-read":   func(rt *rapid.T) { z := pick(rt); z.cached, z.cachedAt = z.stated, z.at },
			"peek": func(rt *rapid.T) {
				if s.ledgerAt > 0 {
					pick(rt).earlyLedger = garnetworks.Some(s.ledger)
				}
			},
			"take-over": func(rt *rapid.T) { pick(rt).takeOver() },
			"new-site":  func(*rapid.T) { s.memory = garnetworks.Option[SiteState]{}; s.read = nil },
			"cap":       func(rt *rapid.T) { s.cap = garnetworks.Watts(rapid.IntRange(2, 12).Draw(rt, "cap")) * unit; s.gen++ },
			"zone-turn": func(rt *rapid.T) {
				z := pick(rt)
				z.readLedger(s)
				z.plan()
				z.write(false)
			},
			"zone-shed": func(rt *rapid.T) {
				z := pick(rt)
				for z.drawn > z.limit {
					z.powerOff()
				}
			},
			"need":         func(rt *rapid.T) { pick(rt).needs[1].Groups = rapid.IntRange(0, 6).Draw(rt, "groups") },
			"zone-on":      func(rt *rapid.T) { pick(rt).powerOn() },
			"zone-on-more": func(rt *rapid.T) { z := pick(rt); z.plan(); z.powerOn(); z.powerOn() },
			"zone-off":     func(rt *rapid.T) { pick(rt).powerOff() },
		})
		s.converge(rt)
	})
	t.Logf("%d steps", steps)
}

func (z *zone) powerOn() {
	if z.active && z.at > 0 && z.drawn+unit <= z.limit {
		z.drawn += unit
	}
}

func (z *zone) powerOff() {
	if z.drawn > 0 {
		z.drawn -= unit
	}
}

func (s *site) converge(rt *rapid.T) {
	for range 300 {
		s.now = s.now.Add(time.Second)
		s.startPlan()
		s.readPowers()
		s.finishPlan(rt, false)
		for _, z := range s.zones {
			z.readLedger(s)
			z.cached, z.cachedAt = z.stated, z.at
			z.plan()
			z.write(false)
			for z.drawn > z.limit {
				z.powerOff()
			}
			z.powerOn()
			s.check(rt)
		}
	}
	if s.ledger.Cap != s.cap {
		rt.Fatalf("the cap stays at %d W, want %d W: %+v", s.ledger.Cap, s.cap, s.ledger)
	}
	var drawn garnetworks.Watts
	for _, z := range s.zones {
		drawn += z.drawn
	}
	if drawn+unit <= s.cap && drawn < 21*unit && s.hasUnusedPower() {
		rt.Fatalf("the zones draw %d W of %d W: %+v", drawn, s.cap, s.ledger)
	}
}

// hasUnusedPower reports whether the grants leave power for another instance.
func (s *site) hasUnusedPower() bool {
	var total garnetworks.Watts
	for _, g := range s.ledger.Grants {
		total += g.Granted
	}
	return total+unit <= s.cap
}

// TestTargetsFollowPriority splits a cap that is too small for all needs.
func TestTargetsFollowPriority(t *testing.T) {
	need := func(minimum bool, priority, groups int) garnetworks.PowerNeed {
		return garnetworks.PowerNeed{Minimum: minimum, Priority: priority, Watts: 40, Groups: groups}
	}
	for name, c := range map[string]struct {
		cap  garnetworks.Watts
		a, b []garnetworks.PowerNeed
		want [2]garnetworks.Watts
	}{
		"all fit, the rest goes by need": {400, []garnetworks.PowerNeed{need(true, 1, 1)}, []garnetworks.PowerNeed{need(true, 1, 3)}, [2]garnetworks.Watts{100, 300}},
		"minimum goes before priority":   {80, []garnetworks.PowerNeed{need(false, 9, 2)}, []garnetworks.PowerNeed{need(true, 1, 2)}, [2]garnetworks.Watts{0, 80}},
		"priority decides":               {80, []garnetworks.PowerNeed{need(true, 2, 2)}, []garnetworks.PowerNeed{need(true, 1, 2)}, [2]garnetworks.Watts{80, 0}},
		"equal needs take turns":         {120, []garnetworks.PowerNeed{need(true, 1, 4)}, []garnetworks.PowerNeed{need(true, 1, 4)}, [2]garnetworks.Watts{80, 40}},
		"no zone needs any":              {100, nil, nil, [2]garnetworks.Watts{50, 50}},
	} {
		t.Run(name, func(t *testing.T) {
			out, err := PlanSite(SiteInput{
				Now: time.Unix(0, 0), Term: 1, Generation: 1, Cap: c.cap, Zones: []garnetworks.ZoneID{"a", "b"},
				Powers: map[garnetworks.ZoneID]garnetworks.ZonePower{"a": {Zone: "a", Needs: c.a}, "b": {Zone: "b", Needs: c.b}},
			})
			if err != nil {
				t.Fatal(err)
			}
			got := [2]garnetworks.Watts{out.Ledger.Grants[0].Target, out.Ledger.Grants[1].Target}
			if got != c.want {
				t.Errorf("targets are %v, want %v", got, c.want)
			}
		})
	}
}

// TestTargetsMoveAtMostOnceAMinute changes a need every second for an hour. The targets must
// not follow each change (W8).
func TestTargetsMoveAtMostOnceAMinute(t *testing.T) {
	s := newSite(24 * unit)
	for n := range 3600 {
		s.now = s.now.Add(time.Second)
		s.zones[0].needs[1].Groups = 1 + 4*(n%2)
		for _, z := range s.zones {
			z.readLedger(s)
			z.plan()
			z.write(false)
		}
		s.startPlan()
		s.readPowers()
		s.finishPlan(nil, false)
	}
	if len(s.moves) == 0 {
		t.Error("no grant ever moved")
	}
	for z, moves := range s.moves {
		t.Logf("%s moved %d times in an hour", z, moves)
		if moves > 62 {
			t.Errorf("%s moved %d times in an hour", z, moves)
		}
	}
}

// TestRecreatedLedgerIsObeyed: after the ledger's object was deleted, zones that have stated a
// later version must obey its successor.
func TestRecreatedLedgerIsObeyed(t *testing.T) {
	stated := garnetworks.ZonePower{Zone: "a", Limit: 40, Drawn: 40, SeenSequence: 77}
	out, err := PlanSite(SiteInput{Term: 1, Generation: 1, Cap: 100, Zones: []garnetworks.ZoneID{"a"}, Powers: map[garnetworks.ZoneID]garnetworks.ZonePower{"a": stated}})
	if err != nil {
		t.Fatal(err)
	}
	zone := PlanZone(ZoneInput{Zone: "a", Term: 1, Stated: stated, Ledger: garnetworks.Some(out.Ledger), Drawn: 40})
	if zone.Statement.Limit != 100 || zone.Statement.SeenSequence <= 77 {
		t.Errorf("the zone states %+v under the ledger %+v", zone.Statement, out.Ledger)
	}
}

// TestStaleWritersAreRefused: a site controller with an older term or manifest generation must
// not write (W7).
func TestStaleWritersAreRefused(t *testing.T) {
	ledger := garnetworks.PowerLedger{Term: 4, Generation: 7}
	for name, c := range map[string]struct {
		term uint32
		gen  garnetworks.Generation
		want garnetworks.Kind
	}{
		"older term":       {3, 7, garnetworks.KindStaleToken},
		"older generation": {4, 6, garnetworks.KindStaleGeneration},
		"same":             {4, 7, ""},
	} {
		if _, err := PlanSite(SiteInput{Term: c.term, Generation: c.gen, Ledger: ledger}); garnetworks.KindOf(err) != c.want {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

// TestZoneObeysTheNewestLedgerOnly: a zone that draws more than it stated, confirms less than
// it draws or follows an older ledger makes the site grant the same power twice (W3, W4).
func TestZoneObeysTheNewestLedgerOnly(t *testing.T) {
	for name, c := range map[string]struct {
		stated, drawn, granted, target garnetworks.Watts
		seen, sequence                 uint64
		wantLimit, wantStated          garnetworks.Watts
	}{
		"older ledger":                {40, 40, 100, 100, 5, 4, 40, 40},
		"raised, not yet stated":      {40, 20, 100, 100, 5, 6, 40, 100},
		"draw above the stated limit": {40, 60, 100, 100, 5, 6, 60, 100},
		"lowered, still drawing":      {100, 90, 100, 50, 5, 6, 50, 90},
		"lowered, draw reduced":       {100, 50, 100, 50, 5, 6, 50, 50},
		"lowered to the stated limit": {80, 50, 100, 80, 5, 6, 80, 80},
		"granted, not yet shrunk":     {100, 80, 100, 80, 5, 6, 80, 80},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := garnetworks.PowerLedger{Sequence: c.sequence, Grants: []garnetworks.ZoneGrant{{Zone: "a", Granted: c.granted, Target: c.target, TargetSequence: c.sequence}}}
			out := PlanZone(ZoneInput{
				Zone: "a", Term: 1, Drawn: c.drawn, Ledger: garnetworks.Some(ledger),
				Stated: garnetworks.ZonePower{Zone: "a", Term: 1, Limit: c.stated, Drawn: c.drawn, SeenSequence: c.seen},
			})
			if out.Limit != c.wantLimit || out.Statement.Limit != c.wantStated {
				t.Errorf("limit %d W, stated %d W, want %d W and %d W", out.Limit, out.Statement.Limit, c.wantLimit, c.wantStated)
			}
			if c.sequence > c.seen && (!out.Changed || out.Statement.SeenSequence != c.sequence) {
				t.Errorf("ledger version %d is not confirmed: %+v", c.sequence, out)
			}
		})
	}
}

// TestGrantShrinksOnlyToWhatIsConfirmed: the zone's statement must name the version that asked
// it to shrink, and its draw counts (W2).
func TestGrantShrinksOnlyToWhatIsConfirmed(t *testing.T) {
	for name, c := range map[string]struct {
		seen         uint64
		limit, drawn garnetworks.Watts
		want         garnetworks.Watts
	}{
		"version not seen":  {6, 30, 30, 100},
		"still shrinking":   {7, 80, 80, 80},
		"limit not lowered": {7, 100, 30, 100},
		"draw above limit":  {7, 50, 70, 70},
		"confirmed":         {7, 50, 40, 50},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := garnetworks.PowerLedger{Cap: 100, Sequence: 8, Generation: 1, Term: 1, Grants: []garnetworks.ZoneGrant{{Zone: "a", Granted: 100, Target: 50, TargetSequence: 7}}}
			out, err := PlanSite(SiteInput{
				Now: time.Unix(0, 0), Term: 1, Generation: 1, Cap: 50, Zones: []garnetworks.ZoneID{"a"}, Ledger: ledger,
				Powers: map[garnetworks.ZoneID]garnetworks.ZonePower{"a": {Zone: "a", SeenSequence: c.seen, Limit: c.limit, Drawn: c.drawn}},
			})
			if err != nil {
				t.Fatal(err)
			}
			if got := out.Ledger.Grants[0].Granted; got != c.want {
				t.Errorf("granted %d W, want %d W", got, c.want)
			}
		})
	}
}
