package leaser

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
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
		if !given {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// world simulates one record and several nodes with clocks of their own.
type world struct {
	now    time.Time
	record garnetworks.LeaseRecord
	rev    garnetworks.Revision
	nodes  []*contender
	// orders are the orders that may be in flight.
	orders []order
	terms  uint32
	late   []lateWrite
	// soleProcesses says that restarted nodes may replace their predecessors' records.
	soleProcesses bool
	// owners maps each term to the process that acted under it.
	owners map[uint32]*contender
	// era is the object API's, copies its backups.
	era    garnetworks.Era
	number uint64
	copies []recordCopy
}

// recordCopy is a backup of the record.
type recordCopy struct {
	record garnetworks.LeaseRecord
	rev    garnetworks.Revision
	number uint64
	terms  uint32
}

func (w *world) copy() { w.copies = append(w.copies, recordCopy{w.record, w.rev, w.number, w.terms}) }

// restore brings the object API back from one of the newest copies, in a new era.
func (w *world) restore(rt *rapid.T) {
	const recent = 4
	if len(w.copies) == 0 {
		return
	}
	w.copies = w.copies[max(0, len(w.copies)-recent):]
	c := w.copies[rapid.IntRange(0, len(w.copies)-1).Draw(rt, "copy")]
	w.era++
	w.record, w.number, w.terms = c.record, c.number, c.terms
	if w.rev = 0; c.rev != 0 {
		w.rev = garnetworks.NewRevision(w.era, c.rev.Number())
	}
}

type order struct {
	until   time.Time
	process *contender
	term    uint32
}

type lateWrite struct {
	at    time.Time
	write Action
}

type contender struct {
	*State
	id        garnetworks.NodeID
	clockRate float64
	paused    time.Time
	started   time.Time
	writes    int
}

// clock returns the node's own time; its clock runs faster or slower than real time.
func (c *contender) clock(now time.Time) time.Time {
	return c.started.Add(time.Duration(float64(now.Sub(c.started)) * c.clockRate))
}

func (w *world) put(a Action) error {
	if a.After.Number() != w.rev.Number() {
		return garnetworks.Errorf(garnetworks.KindConflict, "")
	}
	w.number++
	w.rev = garnetworks.NewRevision(w.era, w.number)
	w.record = a.Record
	if a.Record.Term < w.terms {
		return fmt.Errorf("term %d after %d", a.Record.Term, w.terms)
	}
	w.terms = a.Record.Term
	if a.After != 0 && a.After.Era() != w.era {
		return garnetworks.Errorf(garnetworks.KindResponseLost, "")
	}
	return nil
}

// act executes the node's next action. A response may be lost, a write may take effect
// late, and a call may be refused.
func (w *world) act(rt *rapid.T, n int) {
	c := w.nodes[n]
	c.writes++
	now := c.clock(w.now)
	a := c.Next(now, fmt.Sprintf("%s/%d", c.id, c.writes))
	fault := rapid.IntRange(0, 9).Draw(rt, "fate")
	switch a.Kind {
	case ActionRead:
		var err error
		if fault == 0 {
			err = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "")
		} else if w.rev == 0 {
			err = garnetworks.Errorf(garnetworks.KindNotFound, "")
		}
		rev := w.rev
		if rev == 0 {
			rev = garnetworks.NewRevision(w.era, 0)
		}
		c.OnRead(now, w.record, rev, err, 0.5)
	case ActionWrite:
		w.write(rt, c, a, fault)
	}
	if _, ok := c.MayAct(c.clock(w.now), c.Settings.OrderBound); ok {
		if c.Record.Term <= c.Floor {
			rt.Fatalf("%s acts under term %d, which it must not use", c.id, c.Record.Term)
		}
		w.orders = append(w.orders, order{w.now.Add(c.Settings.OrderBound), c, c.Record.Term})
	}
}

func (w *world) write(rt *rapid.T, c *contender, a Action, fault int) {
	lost := garnetworks.Errorf(garnetworks.KindResponseLost, "")
	switch fault {
	case 0:
		c.OnWrite(c.clock(w.now), 0, garnetworks.Errorf(garnetworks.KindObjectAPIDown, ""))
	case 1:
		if err := w.put(a); garnetworks.KindOf(err) == garnetworks.KindInternal {
			rt.Fatal(err)
		}
		c.OnWrite(c.clock(w.now), 0, lost)
	case 2:
		w.late = append(w.late, lateWrite{w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(rt, "late")) * time.Second), a})
		c.OnWrite(c.clock(w.now), 0, lost)
	default:
		err := w.put(a)
		if garnetworks.KindOf(err) == garnetworks.KindInternal {
			rt.Fatal(err)
		}
		c.OnWrite(c.clock(w.now), w.rev, err)
	}
}

// Despite pauses, lost responses, delayed writes, restarts, clock drift and restores from copies,
// orders of two terms or processes are never in flight together (L1 to L5, L10).
func TestOrdersOfTwoTermsNeverOverlap(t *testing.T) {
	for name, sole := range map[string]bool{"a predecessor may still run": false, "predecessors have ended": true} {
		t.Run(name, func(t *testing.T) { checkOrdersNeverOverlap(t, sole) })
	}
}

func checkOrdersNeverOverlap(t *testing.T, soleProcesses bool) {
	taken := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{now: time.Unix(1_000_000, 0), owners: map[uint32]*contender{}, soleProcesses: soleProcesses}
		for n := range 3 {
			w.add(n, 1+float64(n-1)/100)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"run": func(rt *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(rt, "ticks") {
					w.tick(rt)
				}
			},
			"pause": func(rt *rapid.T) {
				n := rapid.IntRange(0, 2).Draw(rt, "node")
				w.nodes[n].paused = w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(rt, "seconds")) * time.Second)
			},
			"restart": func(rt *rapid.T) { n := rapid.IntRange(0, 2).Draw(rt, "node"); w.add(n, w.nodes[n].clockRate) },
			"give-away": func(rt *rapid.T) {
				c := w.nodes[rapid.IntRange(0, 2).Draw(rt, "node")]
				c.Yield(c.clock(w.now), 20*time.Second)
			},
			"floor": func(rt *rapid.T) {
				c := w.nodes[rapid.IntRange(0, 2).Draw(rt, "node")]
				c.RaiseFloor(c.clock(w.now), w.record.Term)
			},
			"copy":    func(*rapid.T) { w.copy() },
			"restore": w.restore,
		})
		taken += int(w.terms)
	})
	t.Logf("%d terms", taken)
	if taken == 0 {
		t.Error("no node ever took the lease")
	}
}

func (w *world) add(n int, clockRate float64) {
	id := garnetworks.NodeID(fmt.Sprintf("n%d", n))
	c := &contender{State: NewState(id, Defaults()), id: id, clockRate: clockRate, started: w.now}
	c.Candidates = 3
	if w.soleProcesses {
		c.SoleSince = w.now
	}
	if n < len(w.nodes) {
		c.writes = w.nodes[n].writes + 1000
		w.nodes[n] = c
		return
	}
	w.nodes = append(w.nodes, c)
}

func (w *world) tick(rt *rapid.T) {
	w.now = w.now.Add(500 * time.Millisecond)
	w.number += uint64(rapid.IntRange(0, 3).Draw(rt, "changes of other objects"))
	for _, l := range w.late {
		if !l.at.After(w.now) {
			_ = w.put(l.write)
		}
	}
	kept := w.late[:0]
	for _, l := range w.late {
		if l.at.After(w.now) {
			kept = append(kept, l)
		}
	}
	w.late = kept
	for n, c := range w.nodes {
		if !w.now.Before(c.paused) {
			w.act(rt, n)
		}
	}
	w.check(rt)
}

func (w *world) check(rt *rapid.T) {
	live := w.orders[:0]
	for _, o := range w.orders {
		if o.until.After(w.now) {
			live = append(live, o)
		}
	}
	w.orders = live
	for _, o := range w.orders {
		if o.term != w.orders[0].term || o.process != w.orders[0].process {
			rt.Fatalf("orders of %s under %d and of %s under %d are in flight together", w.orders[0].process.id, w.orders[0].term, o.process.id, o.term)
		}
		if owner := w.owners[o.term]; owner != nil && owner != o.process {
			rt.Fatalf("%s and %s both held term %d", owner.id, o.process.id, o.term)
		}
		w.owners[o.term] = o.process
	}
}

// Guards against a killed holder's lease running out although its process has started again.
func TestRestartedHolderTakesItsLeaseBack(t *testing.T) {
	settings := Defaults()
	bound := settings.OrderBound + settings.DriftBound
	cases := map[string]struct {
		sole bool
		// record is what the restarted node reads; it starts at the time 0.
		holder garnetworks.NodeID
		want   time.Duration
	}{
		"its predecessor has ended":           {true, "n0", bound},
		"its predecessor may still run":       {false, "n0", settings.Duration + bound},
		"another node holds the lease":        {true, "n1", settings.Duration + bound},
		"the record was released by the node": {true, "", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1_000_000, 0)
			s := NewState("n0", settings)
			if c.sole {
				s.SoleSince = start
			}
			record := garnetworks.LeaseRecord{Holder: c.holder, Term: 7, Duration: settings.Duration, WriteID: "earlier"}
			const step = 10 * time.Millisecond
			for now := start; now.Before(start.Add(time.Minute)); now = now.Add(step) {
				switch a := s.Next(now, "own"); a.Kind {
				case ActionRead:
					s.OnRead(now, record, 1, nil, 0)
				case ActionWrite:
					if took := now.Sub(start); took < c.want || took > c.want+settings.ReadInterval {
						t.Errorf("taken after %s, want %s or little more", took, c.want)
					}
					if a.Record.Term != record.Term+1 {
						t.Errorf("term %d after %d", a.Record.Term, record.Term)
					}
					return
				}
			}
			t.Error("never taken")
		})
	}
}

// After a suspend the monotonic clock understates the lease's age; the wall clock, set on
// resuming, shows it. Otherwise a holder would act after a successor took the lease.
func TestAgeTakesTheLongerClock(t *testing.T) {
	for name, c := range map[string]struct{ mono, wall, want time.Duration }{
		"running":          {time.Second, time.Second, time.Second},
		"suspended":        {time.Second, time.Minute, time.Minute},
		"wall set back":    {time.Second, -time.Hour, time.Second},
		"wall set forward": {time.Second, time.Hour, time.Hour},
	} {
		if got := longer(c.mono, c.wall); got != c.want {
			t.Errorf("%s: age is %s, want %s", name, got, c.want)
		}
	}
}

// Only candidates read the record frequently: bounds the calls of 41 nodes in an hour (L7).
func TestFewNodesReadOften(t *testing.T) {
	w := &world{now: time.Unix(1_000_000, 0)}
	reads, writes := 0, 0
	for n := range 41 {
		w.add(n, 1)
		w.nodes[n].Rank = n
	}
	for end := w.now.Add(time.Hour); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
		for _, c := range w.nodes {
			c.writes++
			switch a := c.Next(w.now, fmt.Sprint(c.id, c.writes)); a.Kind {
			case ActionRead:
				reads++
				c.OnRead(w.now, w.record, w.rev, nil, float64(c.Rank%10)/10)
			case ActionWrite:
				writes++
				err := w.put(a)
				c.OnWrite(w.now, w.rev, err)
			}
		}
	}
	t.Logf("41 nodes, 1 h: %d reads (%.2f/s), %d writes (%.2f/s)", reads, float64(reads)/3600, writes, float64(writes)/3600)
	if writes > 1300 || reads > 4500 {
		t.Errorf("%d reads and %d writes for one lease in an hour", reads, writes)
	}
}

// Guards against nodes that are not candidates retrying refused reads several times a second.
func TestNonCandidatesReadRarelyAfterFailures(t *testing.T) {
	const seconds, nodes = 10, 40
	reads := 0
	for n := range nodes {
		c := NewState("n", Defaults())
		c.Rank = n
		now := time.Unix(1_000_000, 0)
		for end := now.Add(seconds * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
			if a := c.Next(now, "w"); a.Kind == ActionRead {
				reads++
				c.OnRead(now, garnetworks.LeaseRecord{}, 0, garnetworks.Errorf(garnetworks.KindThrottled, "throttled"), float64(n%10)/10)
			}
		}
	}
	if limit := 2 * nodes; reads > limit {
		t.Errorf("%d nodes read %d times in %d s, want %d at most", nodes, reads, seconds, limit)
	}
}

// Guards against a read by every node when many start at once.
func TestNonCandidatesDoNotReadAtStart(t *testing.T) {
	const nodes = 88
	reads := 0
	for n := range nodes {
		c := NewState("n", Defaults())
		now := time.Unix(1_000_000, 0)
		c.nextRead = now.Add(250 * time.Millisecond)
		for i := range 200 {
			if i == 4 {
				c.setRank(now, n, 0.5)
			}
			if a := c.Next(now, "w"); a.Kind == ActionRead {
				reads++
				c.OnRead(now, garnetworks.LeaseRecord{Holder: "other"}, 1, nil, 0.5)
			}
			now = now.Add(50 * time.Millisecond)
		}
		if n == nodes-1 && !c.setRank(now, 0, 0.5) {
			t.Error("a node that has become a candidate does not read immediately")
		}
	}
	if limit := DefaultCandidates * 5; reads > limit {
		t.Errorf("%d reads in ten seconds, want %d at most", reads, limit)
	}
}
