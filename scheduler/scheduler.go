package scheduler

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Limits of waiting and placing.
const (
	// TargetFraction is the part of the objective by which a group's first event shall
	// come after the call was sent; a later one shrinks the window (Q2). It is above
	// 1: where more is asked for than can be served, a group that answers a few
	// calls late serves more of them on time than one with a small batch. Mean part
	// of the worth earned, less costs, over twenty runs of six nodes under overload:
	// 0.565 at 0.85, 0.602 at 1.1, 0.611 at 1.5.
	TargetFraction = 1.5
	// wayTime is the time of a call's way between the client and the group, which
	// is left out of what a call may wait.
	networkTime = 20 * time.Millisecond
	// minWaitPart is the part of the objective that a call may wait even if the
	// groups are slow.
	minWaitFraction = 0.1
	// usualFirstTime is taken for the time to a first event before one has come.
	initialFirstEventTime = 150 * time.Millisecond
	// firstTimeWeight is the weight of a new first event in the usual time.
	firstEventTimeWeight = 0.1
	// heldTimeWeight is the weight of a new call in the usual time at a group.
	serviceTimeWeight = 0.05
	// aloneWindowPart is the part of a group's slots that a window begins with while
	// nothing is known of other nodes.
	initialWindowFraction = 0.34
	// minWindowPart is the part of a group's slots under which its window does not
	// shrink while the other nodes' calls are known; the window is the site's then.
	minWindowFraction = 0.2
	// shrink is the factor on a window when a first event came late.
	shrinkFactor = 0.85
	// shrinkEvery is the shortest time between two shrinks: the calls sent before
	// the first one are late for the same reason.
	shrinkInterval = 250 * time.Millisecond
	// restTime is how long a group that stands still or refuses gets no call.
	groupCooldown = 700 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what a caller is told to wait. Under
	// the first one callers come back into the same queue; with more than the
	// second one they give up sooner than they are served.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noGroupRetry is told where no group serves the model: a lost group is
	// replaced within about two seconds, and others take its calls meanwhile.
	noGroupRetry = time.Second
	// rateMemory is the time over which the rate of places that come free is
	// averaged.
	freeRateDecay = time.Second
	// newsTime is the time in which nodes place calls before they hear of each other's:
	// twice the time between two news, as those are about as old when they come.
	peerReportDelay = 300 * time.Millisecond
	// plenty is how many times the calls that all nodes place in newsTime must be free, so
	// that each may take plentyPart of them: calls come in bursts, at a few nodes at once.
	surplusFactor = 2
	surplusShare  = 0.2
	// fewFreed is the rate of own places that come free, in a second, under which that of
	// the whole site tells more.
	lowFreeRate = 3
	// mirrored is the part of the own placements since the last news that the other
	// nodes are taken to have made as well; calls that ended meanwhile make up for
	// the rest.
	mirroredShare = 0.5
	// drawn is the number of groups that a call is chosen from (Q7).
	sampleSize = 2
	// failureWeight is the weight of one call in the part of a group's calls that
	// fail, so that two failures in a row, or a third of all calls, pass failingPart.
	failureWeight = 0.15
	// failingPart is the part of failing calls from which a group gets failingCalls at
	// a time (Q8). Answers that get lost on their way, or break off, are a few in a
	// hundred; of a failing engine's calls a third or more fail.
	maxFailureRate  = 0.25
	maxFailingCalls = 2
	// beginFactor times the usual time to a first event, and beginLeast at least, is
	// the time after which a call that has had no event counts as failed. Clients
	// leave after two seconds without one.
	firstEventTimeoutFactor = 4
	minFirstEventTimeout    = time.Second
	// readPart is the part of the pause that clients allow in which a group may read new
	// prompts (Q9); in the other part its other calls get their next event.
	prefillFraction = 0.5
	// queuedPart is the part of a group's slots that may be sent beyond them. News
	// are a few calls old; with a few calls in the engine's queue no place of its
	// batch stays empty for them.
	queuedFraction = 0.15
	// readingWeight is what a call whose prompt is being read counts for more in the
	// order of groups: a prompt takes the time of several calls' tokens in a pass.
	prefillWeight = 2
	// foreignZonePart makes a group of another availability zone count as fuller
	// by this part, since each event then crosses zones.
	crossZonePenalty = 0.05
)

// Group is a group that serves, as the node sees it.
type Group struct {
	ID    garnetworks.GroupID
	Model garnetworks.ModelName
	Zone  garnetworks.ZoneID
	// Slots is the number of calls that the group works on together.
	Slots int
	// PrefillRate is the number of prompt tokens that it reads in a second; 0 if that is
	// not known.
	PrefillRate float64
}

// Call is a call that asks for a group.
type Call struct {
	ID       garnetworks.CallID
	Model    garnetworks.ModelName
	Priority int
	// Arrived is when the call came.
	Arrived time.Time
	// Objective is the time from Arrived to the first event that is on time.
	Objective time.Duration
	// PromptTokens is the number of prompt tokens, MaxPause the longest pause between two
	// events that the client allows; 0 if it states none.
	PromptTokens int
	MaxGap       time.Duration
	// Resumed says that the call was cut off with its group (Q5).
	Resumed bool
	// Tried holds the groups that failed the call; they are not chosen again.
	Tried []garnetworks.GroupID
}

// Decision is what becomes of a call.
type Decision struct {
	Call garnetworks.CallID
	// Group is where it goes; empty if it is turned away.
	Group garnetworks.GroupID
	// Kind says why it is turned away.
	Kind garnetworks.Kind
	// RetryAfter is when places are expected to be free.
	RetryAfter time.Duration
	// Ahead, Expected, Patience and Groups are what a call was turned away by: the
	// calls before it, the time that it would have waited, the time that it could
	// have waited, and the groups that might have taken it.
	Ahead                  int
	ExpectedWait, Patience time.Duration
	Groups                 int
	// Spare is the number of places that were free at groups of other models.
	Spare int
}

// place is a group with what the node knows of it.
type groupState struct {
	Group
	// window is the number of calls that the group shall have from all nodes, or
	// from this one while nothing is known of the others.
	window   float64
	inflight int
	// others is what the other nodes have there, as last heard, and placed the calls
	// that this node has sent there since.
	peerCalls, placed int
	// reading is the number of this node's calls there that have had no event yet:
	// the group reads their prompts before it answers a later one.
	prefilling int
	// unread is the number of prompt tokens of those calls.
	prefillTokens int
	// restUntil is when a group that stood still is tried again; probing says
	// that it has not answered since.
	cooldownUntil time.Time
	probing       bool
	// failing is the part of the last calls there that failed or did not begin (Q8).
	failureRate float64
	shrunkAt    time.Time
	gone        bool
	// lost says that an instance of the group is known to be dark, heard when this node
	// last had an event from the group.
	lost      bool
	lastEvent time.Time
}

// pool is a model's groups and the calls that wait for them.
type pool struct {
	groups  map[garnetworks.GroupID]*groupState
	waiting []*Call
	// rate is the number of places that come free in a second.
	freeRate   float64
	freeRateAt time.Time
	// firstTime is the usual time from a call's sending to its first event.
	firstEventTime time.Duration
	// arrivals is the decayed number of calls that came, at arrivedAt.
	demandRate float64
	demandAt   time.Time
	// othersDemand is the number of calls a second that come to the other nodes, as last
	// heard.
	peerDemand float64
	// heldTime is the usual time of a call at a group; 0 before one has ended.
	serviceTime time.Duration
	// share is the part of the site's calls for the model that come to this node.
	share float64
	// refill is the number of places a second that this node may expect: its part of those
	// that are free, with each news, and of those that come free at the site.
	refill float64
	// allowance is the number of places that this node may still take until it
	// hears of the others again (Q6).
	allowance float64
}

// Scheduler holds the pools of all models. It is for use under a lock.
type Scheduler struct {
	zone  garnetworks.ZoneID
	pools map[garnetworks.ModelName]*pool
	// ways holds the zones whose groups gave no sign of life of late.
	zones map[garnetworks.ZoneID]*zoneHealth
	// known says that the calls of other nodes are known.
	peersKnown bool
	random     func() float64
}

// New returns a scheduler of a node in a zone, without groups; random returns
// values in [0, 1).
func New(zone garnetworks.ZoneID, random func() float64) *Scheduler {
	return &Scheduler{zone: zone, random: random, pools: make(map[garnetworks.ModelName]*pool), zones: make(map[garnetworks.ZoneID]*zoneHealth)}
}

func (s *Scheduler) pool(model garnetworks.ModelName) *pool {
	p := s.pools[model]
	if p == nil {
		p = &pool{groups: make(map[garnetworks.GroupID]*groupState), firstEventTime: initialFirstEventTime}
		s.pools[model] = p
	}
	return p
}

// SetGroups takes the groups that serve now and returns the calls that can be
// placed.
func (s *Scheduler) SetGroups(now time.Time, groups []Group) []Decision {
	listed := make(garnetworks.Set[garnetworks.GroupID])
	for _, g := range groups {
		listed.Add(g.ID)
		p := s.pool(g.Model)
		if old := p.groups[g.ID]; old != nil {
			old.Group, old.gone = g, false
			continue
		}
		p.groups[g.ID] = &groupState{Group: g, window: s.initialWindow(g.Slots)}
	}
	for _, p := range s.pools {
		for id, g := range p.groups {
			if listed.Has(id) {
				continue
			}
			g.gone = true
			if g.inflight == 0 {
				delete(p.groups, id)
			}
		}
	}
	return s.Advance(now)
}

// demandMemory is the time over which arrivals are averaged.
const demandDecay = 2 * time.Second

// Arrive decides on a call that comes: it is placed, turned away, or waits; in
// the last case it returns false and a later decision follows.
func (s *Scheduler) Arrive(now time.Time, c Call) (Decision, bool) {
	p := s.pool(c.Model)
	p.recordArrival(now)
	if len(p.waiting) == 0 || c.Resumed {
		if g := s.pickGroup(now, p, &c); g != nil {
			s.dispatch(now, p, g, &c)
			return Decision{Call: c.ID, Group: g.ID}, true
		}
	}
	if d, rejected := p.reject(now, &c); rejected {
		d.Spare = s.spare(now, p)
		return d, true
	}
	p.enqueue(&c)
	return Decision{}, false
}

// Calls returns the number of calls that a group has, those of other nodes as last
// heard.
func (s *Scheduler) Calls(model garnetworks.ModelName, group garnetworks.GroupID) int {
	if g := s.pool(model).groups[group]; g != nil {
		return g.inflight + g.peerCalls
	}
	return 0
}

// spare returns the number of free places at groups of other models than p's. Where
// calls are turned away beside them, the models' numbers of groups are wrong.
func (s *Scheduler) spare(now time.Time, p *pool) int {
	free := 0
	for _, other := range s.pools {
		if other == p {
			continue
		}
		for _, g := range other.groups {
			if !g.gone && !now.Before(g.cooldownUntil) {
				free += int(max(0, g.window-other.expectedCalls(g)))
			}
		}
	}
	return free
}

// Finished gives a place back and returns the calls that can be placed now; read
// says whether the call had an event there, and took how long it was there.
func (s *Scheduler) Finished(now time.Time, model garnetworks.ModelName, group garnetworks.GroupID, took time.Duration, hadEvent bool) []Decision {
	p := s.pool(model)
	if hadEvent {
		p.recordServiceTime(took)
	}
	if g := p.groups[group]; g != nil {
		g.inflight--
		if !hadEvent {
			g.prefilling--
		}
		p.allowance++ // the place is this node's to fill again
		if g.gone && g.inflight == 0 {
			delete(p.groups, group)
		}
	}
	p.recordFreed(now)
	return s.advance(now, p, nil)
}
