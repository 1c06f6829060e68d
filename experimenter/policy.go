package experimenter

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// verdict is what a policy decides on a call that waits or comes.
type verdict struct {
	call  *call
	group garnetworks.GroupID
	// after is when a refused client may come back.
	after time.Duration
}

// policy decides at one node.
type policy interface {
	arrive(now time.Duration, c *call) []verdict
	first(now time.Duration, t *task)
	finished(now time.Duration, t *task) []verdict
	groups(now time.Duration, list []scheduler.Group) []verdict
	tick(now time.Duration) []verdict
	load(now time.Duration) garnetworks.LoadReport
	others(now time.Duration, r garnetworks.LoadReport) []verdict
}

// Policies are the policies by name.
var policies = map[string]func(seed uint64) policy{
	"scheduler":     newScheduled,
	"least-running": newLeastRunning,
}

// scheduled is package scheduler.
type scheduled struct {
	*scheduler.Scheduler
	calls map[garnetworks.CallID]*call
	next  int
}

func newScheduled(seed uint64) policy {
	random := rand.New(rand.NewPCG(seed, seed))
	return &scheduled{Scheduler: scheduler.New("", random.Float64), calls: make(map[garnetworks.CallID]*call)}
}

func instant(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

func (s *scheduled) arrive(now time.Duration, c *call) []verdict {
	s.next++
	id := garnetworks.CallID(strconv.Itoa(s.next))
	s.calls[id] = c
	d, decided := s.Arrive(instant(now), scheduler.Call{
		ID: id, Model: c.kind.Model, Arrived: instant(c.arrived), Objective: c.kind.Objective,
		PromptTokens: c.prompt, MaxGap: c.kind.MaxGap,
	})
	if !decided {
		return nil
	}
	return s.verdicts([]scheduler.Decision{d})
}

func (s *scheduled) verdicts(decisions []scheduler.Decision) []verdict {
	list := make([]verdict, 0, len(decisions))
	for _, d := range decisions {
		list = append(list, verdict{s.calls[d.Call], d.Group, d.RetryAfter})
		delete(s.calls, d.Call)
	}
	return list
}

func (s *scheduled) first(now time.Duration, t *task) {
	s.PrefillDone(t.kind.Model, t.place, t.prompt)
	s.FirstEvent(instant(now), t.kind.Model, t.place, now-t.sent, t.kind.Objective)
}

func (s *scheduled) finished(now time.Duration, t *task) []verdict {
	if !t.begun {
		s.PrefillDone(t.kind.Model, t.place, t.prompt)
		s.Stalled(instant(now), t.kind.Model, t.place)
	}
	return s.verdicts(s.Finished(instant(now), t.kind.Model, t.place, now-t.sent, t.begun))
}

func (s *scheduled) groups(now time.Duration, list []scheduler.Group) []verdict {
	return s.verdicts(s.SetGroups(instant(now), list))
}

func (s *scheduled) tick(now time.Duration) []verdict { return s.verdicts(s.Advance(instant(now))) }

func (s *scheduled) load(now time.Duration) garnetworks.LoadReport { return s.Load(instant(now)) }

func (s *scheduled) others(now time.Duration, r garnetworks.LoadReport) []verdict {
	return s.verdicts(s.SetPeerLoad(instant(now), r, true))
}

// leastRunning is the baseline: each call goes at once to the group with the fewest
// calls of its node, first come first served, and nothing is turned away.
type leastRunning struct {
	list    []scheduler.Group
	running map[garnetworks.GroupID]int
}

func newLeastRunning(uint64) policy { return &leastRunning{running: make(map[garnetworks.GroupID]int)} }

func (l *leastRunning) arrive(_ time.Duration, c *call) []verdict {
	best := garnetworks.GroupID("")
	for _, g := range l.list {
		if g.Model == c.kind.Model && (best == "" || l.running[g.ID] < l.running[best]) {
			best = g.ID
		}
	}
	if best != "" {
		l.running[best]++
	}
	return []verdict{{c, best, time.Second}}
}

func (l *leastRunning) first(time.Duration, *task) {}

func (l *leastRunning) finished(_ time.Duration, t *task) []verdict {
	l.running[t.place]--
	return nil
}

func (l *leastRunning) groups(_ time.Duration, list []scheduler.Group) []verdict {
	l.list = list
	return nil
}

func (l *leastRunning) tick(time.Duration) []verdict { return nil }

func (l *leastRunning) load(time.Duration) garnetworks.LoadReport { return garnetworks.LoadReport{} }

func (l *leastRunning) others(time.Duration, garnetworks.LoadReport) []verdict { return nil }
