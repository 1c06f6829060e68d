package scheduler

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/limiter"
)

// Limits of queueing and placement.
const (
	// TargetFraction is the fraction of the objective within which a group's first event must
	// come after dispatch; a later one shrinks the window (Q2). It is above 1 because under
	// overload a large batch with a few late calls serves more calls on time than a small one.
	TargetFraction = 1.5
	// networkTime is the latency between client and group, subtracted from the time that a
	// call may wait.
	networkTime = 20 * time.Millisecond
	// minWaitFraction is the fraction of the objective that a call may always wait, even if
	// first events are slow.
	minWaitFraction = 0.1
	// initialFirstEventTime is the assumed time to first event before any was measured.
	initialFirstEventTime = 150 * time.Millisecond
	// firstEventTimeWeight is the weight of a new sample in the moving average of first event
	// times.
	firstEventTimeWeight = 0.1
	// serviceTimeWeight is the weight of a new sample in the moving average of service times.
	serviceTimeWeight = 0.05
	// initialWindowFraction is the initial window as a fraction of a group's slots while the
	// peers' load is unknown.
	initialWindowFraction = 0.34
	// minWindowFraction is the lower bound of a window as a fraction of the group's slots while
	// the peers' load is known; the window then covers the calls of the whole site.
	minWindowFraction = 0.2
	// shrinkFactor multiplies a window when a first event is late.
	shrinkFactor = 0.85
	// shrinkInterval is the minimum time between two reductions of a window: calls dispatched
	// before the first reduction are late for the same reason.
	shrinkInterval = 250 * time.Millisecond
	// groupCooldown is how long a group that stalls or refuses calls gets none.
	groupCooldown = 700 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay given to callers. With a shorter
	// one they return to the same queue; with a longer one they give up before being served.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// noGroupRetry is the retry delay if no group serves the model: within that time another
	// group usually takes over.
	noGroupRetry = time.Second
	// freeRateDecay is the time constant of the average rate at which slots become free.
	freeRateDecay = time.Second
	// peerReportDelay is the time for which nodes dispatch calls without knowing of each
	// other's: twice the report interval, since reports are about one interval old on arrival.
	peerReportDelay = 300 * time.Millisecond
	// If the free slots exceed surplusFactor times the calls that all nodes dispatch in
	// peerReportDelay, each node may take the fraction surplusShare of them: calls arrive in
	// bursts at a few nodes. With 88 nodes, a node's share of 80 free slots is less than one, and
	// the second call of a burst was rejected beside them.
	surplusFactor = 2
	surplusShare  = 0.2
	// lowFreeRate is the number of this node's slots freed per second below which the expected
	// rate of the site is the better estimate.
	lowFreeRate = 3
	// mirroredShare is the fraction of this node's dispatches since the last report that peers
	// are assumed to have matched; the rest is offset by calls that ended since.
	mirroredShare = 0.5
	// sampleSize is the number of randomly drawn groups that a call is placed among (Q7).
	sampleSize = 2
	// failureWeight is the weight of one call in a group's failure rate. Two failures in a row,
	// or failures of a third of all calls, exceed maxFailureRate.
	failureWeight = 0.15
	// A group whose failure rate exceeds maxFailureRate gets no further call while it has
	// maxFailingCalls (Q8). The bound is above the rate of lost or interrupted answers of a
	// healthy engine and below that of a failing one.
	maxFailureRate  = 0.25
	maxFailingCalls = 2
	// A call without an event counts as failed after firstEventTimeoutFactor times the average
	// first event time, and no sooner than minFirstEventTimeout, which must be less than the
	// time after which clients give up.
	firstEventTimeoutFactor = 4
	minFirstEventTimeout    = time.Second
	// prefillFraction is the fraction of a client's MaxGap in which a group may prefill new
	// prompts (Q9); the remainder is for the next event of its other calls.
	prefillFraction = 0.5
	// minReadFraction is the part of a group's time in which it may always prefill prompts, even
	// if its passes alone take longer than the objective.
	minReadFraction = 0.1
	// queuedFraction is the number of calls that may be dispatched beyond a group's slots, as a
	// fraction of the slots. A short queue at the engine keeps its batch full although load
	// reports are slightly out of date.
	queuedFraction = 0.15
	// prefillWeight is the additional weight of a call in prefill when the load of groups is
	// compared: a prompt takes as long in a pass as the tokens of several calls.
	prefillWeight = 2
	// prefillHorizon is the time to prefill all nodes' prompts at a group that counts as much as a
	// full batch when the load of groups is compared; about the time in which first events are due.
	prefillHorizon = 500 * time.Millisecond
	// crossZonePenalty is added to the utilization of a group in another availability zone,
	// since each of its events crosses zones.
	crossZonePenalty = 0.05
)

// Group is a serving group.
type Group struct {
	ID    garnetworks.GroupID
	Model garnetworks.ModelName
	Zone  garnetworks.ZoneID
	// Size is the number of the group's instances; 0 if unknown.
	Size int
	// Slots is the number of calls that the group processes concurrently.
	Slots int
	// PrefillRate is the number of prompt tokens that the group processes per second; 0 if
	// unknown.
	PrefillRate float64
	// PassTime is the time of a pass of a full batch without prompts; 0 if unknown.
	PassTime time.Duration
	// Limit limits the calls while the group's head is cold or names a limit.
	Limit limiter.Limit
}

// Call is a call to be placed at a group.
type Call struct {
	ID    garnetworks.CallID
	Model garnetworks.ModelName
	// Workspace is the caller's; empty if the call belongs to none (Q17).
	Workspace garnetworks.WorkspaceName
	Priority  int
	// Arrived is the arrival time of the call.
	Arrived time.Time
	// Objective is the time from the first arrival within which the first event is on time.
	Objective time.Duration
	// Arrival says whether the call was rejected before.
	Arrival
	// Deadline is when the caller gives up; zero if it is unknown, in which case the call is not
	// served late (Q14).
	Deadline time.Time
	// PromptTokens is the length of the prompt. MaxGap is the longest pause between two events
	// that the client allows; 0 if it states none.
	PromptTokens int
	MaxGap       time.Duration
	// Resumed says that the call was interrupted by the failure of its group (Q5).
	Resumed bool
	// Tried holds the groups that have failed the call; they are not chosen again.
	Tried []garnetworks.GroupID
	// late says that the call was admitted although it can only be late (Q14).
	late bool
	// excess says that the call is beyond the share of its workspace (Q17).
	excess bool
	// exceeds says that more calls arrive than can be on time, and that this is one of those in
	// excess (Q19).
	exceeds bool
	// aheadLate is the number of calls ahead of it when it was admitted late.
	aheadLate int
}

// Decision is the outcome for a call: placed or rejected.
type Decision struct {
	Call garnetworks.CallID
	// Group is the group that gets the call; empty if the call is rejected.
	Group garnetworks.GroupID
	// Kind is the reason for a rejection.
	Kind garnetworks.Kind
	// RetryAfter is the estimated time until slots are free.
	RetryAfter time.Duration
	// Ahead, ExpectedWait, Patience and Groups explain a rejection, and Ahead a late admission:
	// the number of waiting calls ahead, the expected and the longest acceptable wait, and the number of groups that
	// could have served the call.
	Ahead                  int
	ExpectedWait, Patience time.Duration
	Groups                 int
	// Spare is the number of free slots that could have served the call in time (Q16).
	Spare int
	// Returned says that the call was rejected before, Late that it was admitted although it can
	// only be late (Q14).
	Returned, Late bool
	// Limited says that all groups that could have served a rejected call are limited (Q12), so that
	// a node with another share of their limits may place it.
	Limited bool
}

// groupState is a group and this node's view of its load and health.
type groupState struct {
	Group
	// window is the maximum number of calls at the group: from all nodes while the peers' load
	// is known, else from this node.
	window   float64
	inflight int
	// peerCalls is the number of calls from other nodes by the last report, placed the number
	// that this node has dispatched since.
	peerCalls, placed int
	// prefilling is the number of this node's calls there without an event: the group
	// processes their prompts before it answers later calls.
	prefilling int
	// prefillTokens is the number of prompt tokens that are not yet prefilled.
	prefillTokens int
	// peerPrefillTokens is the same for the calls of other nodes, by the last report.
	peerPrefillTokens int
	// No call is sent before cooldownUntil. probing is true from a stall until the group's next
	// first event; while it is, the group gets one call at a time.
	cooldownUntil time.Time
	probing       bool
	// failureRate is the moving average of calls that failed or did not begin (Q8).
	failureRate float64
	shrunkAt    time.Time
	gone        bool
	// lost says that an instance of the group is reported as failed; lastEvent is the time of
	// the last event that this node received from the group.
	lost      bool
	lastEvent time.Time
	// lostAt is the time of the last verdict for this node that the group is lost.
	lostAt time.Time
	// lastLimitedCall is when the last call was placed while the group was limited.
	lastLimitedCall time.Time
	// latePlaced is the decaying number of this node's calls that were placed although they can
	// only be late, at latePlacedAt (Q14).
	latePlaced   float64
	latePlacedAt time.Time
}

// pool holds the groups of a model and the calls that wait for them.
type pool struct {
	groups map[garnetworks.GroupID]*groupState
	// size and slots are the instances and the slots of a group of the model; 0 before one served.
	size, slots int
	waiting     []*Call
	// freeRate is the number of slots that became free per second, averaged, at freeRateAt.
	freeRate   float64
	freeRateAt time.Time
	// firstEventTime is the average time from dispatch to first event. firstEventAt is when this
	// node last observed one; zero if it has not.
	firstEventTime time.Duration
	firstEventAt   time.Time
	// peerWindows are the windows that another node has observed; empty once this node has
	// observations of its own.
	peerWindows map[garnetworks.GroupID]float64
	// demandRate is the number of calls that arrived per second, averaged, at demandAt.
	demandRate float64
	demandAt   time.Time
	// peerDemand is the number of calls per second that arrive at other nodes, by the last
	// report.
	peerDemand float64
	// serviceTime is the average time of a call at a group; 0 before one has ended.
	serviceTime time.Duration
	// share is this node's fraction of the site's calls for the model; while the peers' load is
	// unknown, it is the assumed fraction of each group's capacity.
	share float64
	// refill is the number of slots per second that this node can expect: its part of the free
	// slots with each report, and of the slots that become free at the site.
	refill float64
	// allowance is the number of slots that this node may still take until the next report
	// from the peers (Q6).
	allowance float64
	prompts   promptAverages
	// lateAllowance is the number of calls that can only be late which the node may place, at
	// lateRefilled (Q19).
	lateAllowance float64
	lateRefilled  time.Time
	// rejectedAt is when the last call was rejected, lastReturn the time for which the last one that
	// was rejected for lack of time was asked to return (Q15).
	rejectedAt, lastReturn time.Time
	// workspaces counts the calls of each workspace (Q17).
	workspaces workspaceCalls
}

// Scheduler holds the pools of all models. It is not safe for concurrent use.
type Scheduler struct {
	zone  garnetworks.ZoneID
	pools map[garnetworks.ModelName]*pool
	// zones holds the availability zones with groups that were recently unreachable.
	zones map[garnetworks.ZoneID]*zoneHealth
	// peersKnown says that the load of the other nodes is known, by report.
	peersKnown bool
	report     peerReport
	random     func() float64
}

// New returns a scheduler without groups for a node in the zone; random must return values
// in [0, 1).
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

// SetGroups replaces the serving groups and returns decisions on waiting calls.
func (s *Scheduler) SetGroups(now time.Time, groups []Group) []Decision {
	listed, extended := make(garnetworks.Set[garnetworks.GroupID]), make(garnetworks.Set[garnetworks.ModelName])
	for _, g := range groups {
		listed.Add(g.ID)
		p := s.pool(g.Model)
		p.size, p.slots = g.Size, g.Slots
		if old := p.groups[g.ID]; old != nil {
			old.Group, old.gone = g, false
			continue
		}
		s.addGroup(p, g)
		extended.Add(g.Model)
	}
	for model := range extended {
		s.grantNew(now, model)
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

// demandDecay is the time constant of the average arrival rate.
const demandDecay = 2 * time.Second

// Arrive places, rejects or enqueues an arriving call. It returns false if the call was
// enqueued; a later decision follows.
func (s *Scheduler) Arrive(now time.Time, c Call) (Decision, bool) {
	p := s.pool(c.Model)
	p.recordArrival(now)
	p.prompts.record(&c)
	s.divide(now, p, &c)
	c.exceeds = s.exceedsRate(now, p, &c)
	if c.Resumed || !p.waitsBefore(&c) && !p.canOnlyBeLate(now, &c) {
		if g := s.pickGroup(now, p, &c); g != nil {
			s.dispatch(now, p, g, &c)
			return c.placed(g), true
		}
	}
	if d, rejected := p.reject(now, &c); rejected {
		d.Spare, d.Limited = s.spare(now, p, &c), p.onlyLimited(now, &c)
		return d, true
	}
	if c.late && len(p.waiting) == 0 {
		if g := s.pickGroup(now, p, &c); g != nil {
			s.dispatch(now, p, g, &c)
			return c.placed(g), true
		}
	}
	p.enqueue(&c)
	return Decision{}, false
}

// placed returns the decision that the group gets the call.
func (c *Call) placed(g *groupState) Decision {
	return Decision{Call: c.ID, Group: g.ID, Ahead: c.aheadLate, Returned: c.returned(), Late: c.late}
}

// HandedOver records that another node has taken over a call that arrived here, and counts it there.
func (s *Scheduler) HandedOver(now time.Time, model garnetworks.ModelName) {
	p := s.pool(model)
	p.demandRate, p.demandAt = max(0, p.demand(now)-1/demandDecay.Seconds()), now
}

// SetLimit replaces the limit of a group.
func (s *Scheduler) SetLimit(model garnetworks.ModelName, group garnetworks.GroupID, limit limiter.Limit) {
	if g := s.pool(model).groups[group]; g != nil {
		g.Limit = limit
	}
}

// Calls returns the number of calls at a group, including those of other nodes by the last
// report.
func (s *Scheduler) Calls(model garnetworks.ModelName, group garnetworks.GroupID) int {
	if g := s.pool(model).groups[group]; g != nil {
		return g.inflight + g.peerCalls
	}
	return 0
}

// Finished frees the slot of a call and returns decisions on waiting calls of the model;
// hadEvent says whether the call had an event at the group, took how long it was there.
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
		p.allowance++ // this node may fill the slot again
		if g.gone && g.inflight == 0 {
			delete(p.groups, group)
		}
	}
	p.recordFreed(now)
	return s.advance(now, p, nil)
}
