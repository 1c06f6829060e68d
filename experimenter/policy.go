package experimenter

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/scheduler"
)

// decision sends a call to a group, or rejects it if group is empty.
type decision struct {
	call  *call
	group garnetworks.GroupID
	// retryAfter is the time after which a rejected client may retry.
	retryAfter time.Duration
}

// policy decides on the calls of one node.
type policy interface {
	arrive(now time.Duration, c *call) []decision
	firstEvent(now time.Duration, t *task)
	finished(now time.Duration, t *task) []decision
	setGroups(now time.Duration, list []scheduler.Group) []decision
	tick(now time.Duration) []decision
	load(now time.Duration) garnetworks.LoadReport
	setPeerLoad(now time.Duration, r garnetworks.LoadReport) []decision
}

// policies holds the constructors of all policies by name.
var policies = map[string]func(seed uint64) policy{
	"scheduler":     newSchedulerPolicy,
	"unstated":      newUnstatedPolicy,
	"least-running": newLeastRunning,
}

// schedulerPolicy decides by package scheduler.
type schedulerPolicy struct {
	*scheduler.Scheduler
	// arrivals is nil if callers don't state how long they will wait, nor a workspace.
	arrivals *scheduler.Arrivals
	calls    map[garnetworks.CallID]*call
	next     int
}

func newSchedulerPolicy(seed uint64) policy {
	random := rand.New(rand.NewPCG(seed, seed))
	return &schedulerPolicy{Scheduler: scheduler.New("", random.Float64), arrivals: scheduler.NewArrivals(), calls: make(map[garnetworks.CallID]*call)}
}

// newUnstatedPolicy returns the same policy for callers that don't state how long they will wait, nor
// a workspace.
func newUnstatedPolicy(seed uint64) policy {
	p := newSchedulerPolicy(seed).(*schedulerPolicy)
	p.arrivals = nil
	return p
}

func instant(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }

func (s *schedulerPolicy) arrive(now time.Duration, c *call) []decision {
	s.next++
	id := garnetworks.CallID(strconv.Itoa(s.next))
	s.calls[id] = c
	request := scheduler.Call{
		ID: id, Model: c.kind.Model, Arrived: instant(c.arrived), Objective: c.kind.Objective, PromptTokens: c.prompt, MaxGap: c.kind.MaxGap,
	}
	if s.arrivals != nil {
		request.Workspace = garnetworks.WorkspaceName(strconv.Itoa(c.workspace))
		request.Deadline = instant(c.first + c.patience)
		request.Arrival = s.arrivals.Describe(s.Rejecting(request.Arrived, request.Model), c.kind.Name, request.Arrived, request.Deadline)
	}
	d, decided := s.Arrive(instant(now), request)
	if !decided {
		return nil
	}
	return s.convert([]scheduler.Decision{d})
}

func (s *schedulerPolicy) convert(decisions []scheduler.Decision) []decision {
	list := make([]decision, 0, len(decisions))
	for _, d := range decisions {
		list = append(list, decision{s.calls[d.Call], d.Group, d.RetryAfter})
		delete(s.calls, d.Call)
	}
	return list
}

func (s *schedulerPolicy) firstEvent(now time.Duration, t *task) {
	s.PrefillDone(t.kind.Model, t.group, t.prompt)
	s.FirstEvent(instant(now), t.kind.Model, t.group, now-t.sentAt, t.kind.Objective)
}

func (s *schedulerPolicy) finished(now time.Duration, t *task) []decision {
	if !t.begun {
		s.PrefillDone(t.kind.Model, t.group, t.prompt)
		s.Stalled(instant(now), t.kind.Model, t.group)
	}
	return s.convert(s.Finished(instant(now), t.kind.Model, t.group, now-t.sentAt, t.begun))
}

func (s *schedulerPolicy) setGroups(now time.Duration, list []scheduler.Group) []decision {
	return s.convert(s.SetGroups(instant(now), list))
}

func (s *schedulerPolicy) tick(now time.Duration) []decision {
	return s.convert(s.Advance(instant(now)))
}

func (s *schedulerPolicy) load(now time.Duration) garnetworks.LoadReport { return s.Load(instant(now)) }

func (s *schedulerPolicy) setPeerLoad(now time.Duration, r garnetworks.LoadReport) []decision {
	return s.convert(s.SetPeerLoad(instant(now), r, true))
}

// leastRunning is the baseline: it sends each call at once to the group with the fewest
// calls of its node and rejects a call only if its model has no group.
type leastRunning struct {
	list    []scheduler.Group
	running map[garnetworks.GroupID]int
}

func newLeastRunning(uint64) policy { return &leastRunning{running: make(map[garnetworks.GroupID]int)} }

func (l *leastRunning) arrive(_ time.Duration, c *call) []decision {
	best := garnetworks.GroupID("")
	for _, g := range l.list {
		if g.Model == c.kind.Model && (best == "" || l.running[g.ID] < l.running[best]) {
			best = g.ID
		}
	}
	if best != "" {
		l.running[best]++
	}
	return []decision{{c, best, time.Second}}
}

func (l *leastRunning) firstEvent(time.Duration, *task) {}

func (l *leastRunning) finished(_ time.Duration, t *task) []decision {
	l.running[t.group]--
	return nil
}

func (l *leastRunning) setGroups(_ time.Duration, list []scheduler.Group) []decision {
	l.list = list
	return nil
}

func (l *leastRunning) tick(time.Duration) []decision { return nil }

func (l *leastRunning) load(time.Duration) garnetworks.LoadReport { return garnetworks.LoadReport{} }

func (l *leastRunning) setPeerLoad(time.Duration, garnetworks.LoadReport) []decision { return nil }
