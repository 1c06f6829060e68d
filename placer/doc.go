// Package placer decides, for one availability zone, which replica groups
// exist, which instances are their members, which instances are powered, and how
// the bandwidth of the weight store is divided among the instances that load
// weights.
//
// [Plan] is a pure function: the same [Input] gives the same [Output]. Its
// decisions are ordered; the caller executes them in sequence, writes each to the
// fabric domain's object before it sends the order, and plans again whenever the
// input has changed. The only memory between plans is [State], which the caller
// passes back. A new controller starts with an empty one, with which the histories,
// delays and reservations of the rules below begin anew.
//
// The algorithm follows these rules, which the code cites where it applies them.
// D is the cost of one group being down for a second, S the cost of one powered
// instance not serving for a second (only the ratio of D and S matters), g the
// group size, B the boot time, L the time to load one instance's weights at the
// store's full rate (in bytes per second), F the time to form a group.
//
//	P1  The groups requested of a zone are slots in a fixed order: first the
//	    minimum slots (up to each model's minimum number of groups) by
//	    priority, then the slots up to the maximum by priority; within one
//	    priority by rank (the slot's number within its model), then by the
//	    model's name.
//	P2  A slot's group is wanted if the power limit, after the wanted groups
//	    of the slots before it, leaves enough power for it and the domains
//	    have enough instances, in whatever condition these are. So a fault
//	    never makes a group unwanted.
//	P3  Power: the planned draw is never above the limit. An instance is powered
//	    on only if the pessimistic draw (everything not proven off) leaves room
//	    for it. If the draw is above the limit, slots lose their groups from the
//	    last slot up, with Grace.Shed to finish their calls.
//	P4  A group with a member that is lost (didn't confirm its membership in
//	    time), returned (came back, but is not re-admitted yet) or not powered
//	    is dissolved at once; the survivors become free and keep their weights.
//	    Survivors of several groups of a domain are combined by P5.
//	P5  A slot without a group takes members that are all available now, else
//	    the domain and the members that can serve soonest: the longest wait for
//	    a boot or a drain, plus the time to load all missing weights at the
//	    store's rate (so weights already loaded shorten it). Ties go, in turn,
//	    to
//	      - the smallest sum of waits,
//	      - the fewest boots,
//	      - the least fragmentation (instances left over from groups of the
//	        largest size),
//	      - the domain with the fewest groups of the model, so that the loss of
//	        a domain takes few of them,
//	      - the domain with the most unused instances,
//	      - the domain whose name sorts first.
//	P6  A minimum slot that no free instances can fill displaces groups that
//	    come later in P1: those above their model's minimum, or of strictly
//	    lower priority. As few as possible are displaced, all in one domain, and
//	    of these the last ones by P1.
//	P7  An instance that failed is suspect until FailureDecayTime has passed. It
//	    is used only where P5 and P6 find nothing else, and after its second
//	    failure only after a backoff that doubles with each failure. If
//	    S·g > D, the failed instances of a domain are probed by booting one of
//	    them, until one has recovered.
//	P8  A group with a member that is already leaving is drained at once (rule
//	    G8). If a stop is only announced, or the cause is a straggler or an old
//	    version, the replacement is made before the group is drained: as a whole
//	    second group at cost S·g·(w+F+d), or as n prepared members at cost
//	    S·n·w + (D+g·S)·(d+F), whichever is cheaper and possible. w is the time
//	    until the new members are available with loaded weights, d the grace
//	    period of a drain.
//	P9  A straggler that is r times slower than its peers is replaced only if
//	    (1−1/r)·(D+g·S)·StragglerHorizon is above the cost by P8, and at most
//	    one per model within StragglerReplacementInterval.
//	P10 Spares are counted for each pair of domain and class, since an instance
//	    can join any group of its class in its domain. The k-th powered spare is
//	    kept if its marginal benefit λ·P(N ≥ k−1)·T·(D+(g−1)·S) is above S. λ is
//	    the rate of failures and restarts of the instances in groups there, and
//	    T = B+L the wait that a spare saves. N, the number of losses until a
//	    used spare is refilled, has a Poisson distribution with mean λ·T
//	    (λ·RepairTime if no powered-off instance is left). Powered-off instances
//	    cost nothing, so all of them are spares. Spares preload the weights that
//	    their domain would wait longest for.
//	P11 An idle powered instance is powered off after B·b/S, where b is its
//	    marginal benefit by P10. The n survivors of a group whose missing member
//	    may return are held for (B+L)·(1+D/(S·n)), the time at which holding
//	    them has cost as much as booting and loading them anew. By this
//	    break-even rule, holding costs at most twice what the best choice in
//	    hindsight would. A lost instance keeps its power for LostGrace; longer
//	    while a group of its domain waits for a boot and the m lost ones cost
//	    less than the wait, S·m < D+S·g; and for (B+L)·(1+D/(S·g)) if half of
//	    its domain is lost and a wanted group is missing. All holds end at once
//	    if a group needs the power.
//	P12 The store's rate goes first to groups of minimum slots, then to groups
//	    of the other slots, then to members of groups that are not complete yet,
//	    then to replacements, then to spares; within each, by priority, and by
//	    the fewest bytes left, which minimizes the sum of waits. Loading groups
//	    keep a small minimum rate; preloads get only what is left.
//	P13 No flapping: an instance that was powered on is not powered off by choice
//	    (that is, without a fault) before FlapDampingTime has passed, and a spare
//	    that was powered off by choice is not powered on again before then. A
//	    model that lost groups to a lowered limit or maximum regains more than
//	    what remained no sooner than FlapDampingTime after that, and its minimum
//	    no sooner than ReformDelay. Members reserved for a slot are kept until
//	    another choice is sooner by ReservationHysteresis. Rates change by steps
//	    of at least an eighth. A plan applied to its own result has no decisions.
//	P14 If S·g > D, a group's members are powered on so late that their boots
//	    end when the store has loaded the groups before it.
package placer

import "time"

// Parameters of the policy.
const (
	// FormTime is the time that engines take to form a group once its weights are
	// loaded (F).
	FormTime = 5 * time.Second
	// FlapDampingTime is how long an instance that was powered on is not powered off
	// for being idle, how long one that was powered off by choice is no spare, and how
	// long a model waits to regain groups above its minimum that a lowered limit or
	// maximum took (rule P13).
	FlapDampingTime = 3 * time.Minute
	// ReformDelay is how long a model below its minimum waits to regain groups that
	// a lowered limit or maximum took (rule P13).
	ReformDelay = time.Minute
	// ReservationHysteresis is how much sooner another choice must be for a slot to
	// give up its reserved members (rule P13).
	ReservationHysteresis = 20 * time.Second
	// StragglerReplacementInterval is the minimum time between two replacements of a
	// model's stragglers (rule P9).
	StragglerReplacementInterval = 10 * time.Minute
	// LostGrace is how long a lost instance keeps its power: after a short network
	// outage it comes back with its weights.
	LostGrace = 20 * time.Second
	// MassLossGrace replaces LostGrace while more than massLossShare of the powered
	// instances, and at least massLossMinInstances, are lost: a network partition of
	// the controller is then likelier than that many failures.
	MassLossGrace = 2 * time.Minute
	// ReturnGrace is how long a returned instance may wait for its re-admission.
	ReturnGrace = time.Minute
	// MaxHold bounds the time for which rule P11 keeps an unused instance powered. It is
	// also that time where the rule states no end: for lost instances while a group
	// waits for a boot, and where S is 0.
	MaxHold = time.Hour
	// RepairTime is the assumed time until a used spare is refilled if no other unused
	// instance is left (rule P10).
	RepairTime = time.Hour
	// StragglerHorizon is how long a straggler is expected to stay slow.
	StragglerHorizon = 30 * time.Minute
	// FailureDecayTime is how long one failure makes an instance suspect (rule P7).
	FailureDecayTime = 6 * time.Hour
	// DefaultBootTime is the boot time of an instance class for which none is stated.
	DefaultBootTime = 3 * time.Minute
	// DefaultLoadTime is one instance's load time if the store's rate is unknown.
	DefaultLoadTime = time.Minute
)

const (
	minBackoff            = time.Minute      // of an instance after its second failure (P7)
	maxBackoff            = 30 * time.Minute // bound of the doubled minBackoff
	failurePenalty        = time.Minute      // per failure, on the estimated wait for a boot
	stragglerPenalty      = 10 * time.Minute // on the estimated wait for a straggler
	stragglerSlowdown     = 1.5              // times slower than its peers; least of a straggler
	defaultSlowdown       = 1.5              // of a straggler without a measurement
	readmitTime           = 2 * time.Second  // expected wait for a re-admission
	defaultFailuresPerDay = 0.02             // of a class that states none
	bootOverdueFactor     = 3                // see bootLimit
	massLossShare         = 0.6              // of the powered instances; see MassLossGrace
	massLossMinInstances  = 6                // see MassLossGrace
	maxSpares             = 8                // for one domain and class
	rateChangeDivisor     = 8                // rate changes up to 1/8 are not ordered (P13)
	minRateDivisor        = 1000             // least rate of an instance: 1/1000 of the store's
	minPreloadDivisor     = 100              // preloads need 1/100 of the store's rate left
	bootMargin            = 15 * time.Second // how much before its computed time a boot begins
	preloadRetryInterval  = 30 * time.Second // until an unstarted preload is ordered again
	maxEstimate           = 24 * time.Hour   // upper bound of estimated durations
	day                   = 24 * time.Hour
)
