// Package placer decides, for one availability zone, which replica groups
// exist, which instances they consist of, which instances are powered, and how
// the weight store's rate is divided.
//
// [Plan] is a pure function: the same [Input] gives the same [Output]. Its
// decisions are ordered; the caller executes them in sequence, writes each to the
// fabric domain's object before it sends the order, and plans again after any
// change. The only memory between plans is [State], which the caller passes back
// and may lose: a new controller starts with an empty one.
//
// The algorithm follows these rules, which the code cites where it applies them.
// D is the cost of one group being down for a second, S the cost of one instance
// being stranded for a second, g the group size, B the boot time, L the time to
// load one instance's weights at the store's full rate, F the time to form a
// group.
//
//	P1  The groups requested of a zone are slots in a fixed order: first the
//	    minimum slots by priority, then the slots up to the maximum by
//	    priority; within one priority by rank, then by name.
//	P2  A wanted group is a slot for which the limit has enough power and the
//	    domains have enough instances, in whatever condition these are. So a
//	    fault never makes a group unwanted.
//	P3  Power: the planned draw is never above the limit. An instance is
//	    powered on only if the pessimistic draw (everything not proven off)
//	    leaves room for it. If the draw is above the limit, slots lose their
//	    groups from the last one up, with the grace period for shedding.
//	P4  A group with a member that is lost, returned, or not powered is
//	    dissolved at once; the survivors become free and keep their weights.
//	    Survivors of several groups of a domain are combined by P5.
//	P5  A slot without a group takes members that are all available now, else
//	    the domain and the members that can serve soonest: the longest wait for
//	    a boot or a drain, plus the time to load all missing weights at the
//	    store's rate. Weights already loaded thus count. Ties go to the smallest
//	    sum of waits, then to the fewest boots, then to the least fragmentation
//	    (instances left over from groups of the largest size), then to the
//	    domain with the fewest groups of the model (so that the loss of a domain
//	    takes few of them), then to the one with the most unused instances, then
//	    by name.
//	P6  A minimum slot that no free instances can fill displaces groups that
//	    come later in P1: those above their model's minimum, or of strictly
//	    lower priority. The fewest and last ones of one domain are displaced.
//	P7  An instance that failed is suspect until FailureDecayTime has passed. It
//	    is used only where P5 and P6 find nothing else, and after its second
//	    failure only after a backoff that doubles with each failure. If
//	    S·g > D, the failed instances of a domain are probed by booting one of
//	    them, until one has recovered.
//	P8  A group with a leaving member is drained at once (rule G8). If the stop
//	    was announced, or the cause is a straggler or an old version, the
//	    replacement is made before the group is drained: as a whole second
//	    group at cost S·g·(wait+F+drain), or as prepared members at cost
//	    S·n·wait + (D+g·S)·(drain+F), whichever is cheaper and possible.
//	P9  A straggler that is s times slower is replaced only if
//	    (1−1/s)·(D+g·S)·StragglerHorizon is above the cost by P8, and at most
//	    one per model within StragglerReplacementInterval.
//	P10 Spares are counted for each pair of domain and class, since any of them
//	    can serve any group there. The k-th powered spare is kept if its
//	    marginal benefit λ·P(N ≥ k−1)·T·(D+(g−1)·S) is above S. λ is the rate of
//	    failures and restarts of the instances in groups there, T = B+L is the
//	    wait that a spare saves, and N, the losses while a used spare is
//	    replaced, is Poisson with mean λ·T (λ·RepairTime if no powered-off
//	    instance is left). Powered-off instances cost nothing, so all of them
//	    are spares. Spares preload the weights that their domain would wait
//	    longest for.
//	P11 An idle powered instance is powered off after B times its marginal
//	    benefit by P10 as a share of S. Survivors whose missing member may
//	    return are held for (B+L)·(1+D/(S·n)), the time at which holding them
//	    has cost as much as booting and loading them anew; so holding costs at
//	    most twice what the best choice in hindsight would. A lost instance
//	    keeps its power for LostGrace; longer while a group of its domain waits
//	    for a boot and the n lost ones cost less than the wait, S·n < D+S·g; and
//	    for (B+L)·(1+D/(S·g)) if half of its domain is lost and a wanted group
//	    is missing. All holds end at once if a group needs the power.
//	P12 The store's rate goes first to groups of minimum slots, then to those
//	    above, then to members that wait for others, then to replacements,
//	    then to spares; within each, by priority, and by the fewest bytes left,
//	    which minimizes the sum of waits. Loading groups keep a small minimum
//	    rate; preloads get only what is left.
//	P13 No flapping: an instance that was powered on is not powered off by
//	    choice, and a spare powered off by choice not on again, before
//	    FlapDampingTime has passed. A model that lost a group to a lowered limit
//	    or maximum gets back to more than remained no sooner than
//	    FlapDampingTime, to its minimum no sooner than ReformDelay. Members
//	    reserved for a slot are kept until another choice is sooner by
//	    ReservationHysteresis. Rates change by steps of at least an eighth. A
//	    plan applied to its own result has no decisions.
//	P14 If S·g > D, a group's members are powered on only so early that their
//	    boots end when the store has loaded the groups before it.
package placer

import "time"

// Parameters of the policy.
const (
	// FormTime is the time that engines take to form a group once its weights are
	// loaded (F).
	FormTime = 5 * time.Second
	// FlapDampingTime is the minimum time between two changes of an instance's power
	// by choice (rule P13).
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
	// MassLossGrace replaces LostGrace when most of the zone is lost at once: a
	// network partition of this node is then likelier than that many failures.
	MassLossGrace = 2 * time.Minute
	// ReturnGrace is how long a returned instance may wait for its re-admission.
	ReturnGrace = time.Minute
	// MaxHold bounds the time for which rule P11 keeps an unused instance powered.
	MaxHold = time.Hour
	// RepairTime is the assumed time until a failed instance is back if no other
	// instance can take its place.
	RepairTime = time.Hour
	// StragglerHorizon is how long a straggler is expected to stay slow.
	StragglerHorizon = 30 * time.Minute
	// FailureDecayTime is how long one failure makes an instance suspect (rule P7).
	FailureDecayTime = 6 * time.Hour
	// DefaultBootTime applies to a class that states none.
	DefaultBootTime = 3 * time.Minute
	// DefaultLoadTime is one instance's load time if the store's rate is unknown.
	DefaultLoadTime = time.Minute
)

const (
	minBackoff            = time.Minute
	maxBackoff            = 30 * time.Minute
	failurePenalty        = time.Minute      // extra wait for each recent failure
	stragglerPenalty      = 10 * time.Minute // extra wait of a straggler
	stragglerSlowdown     = 1.5              // least slowdown of a straggler
	defaultSlowdown       = 1.5              // of a straggler without a measurement
	readmitTime           = 2 * time.Second  // expected wait for a re-admission
	defaultFailuresPerDay = 0.02             // of a class that states none
	bootOverdueFactor     = 3                // boot times until a boot is overdue
	massLossShare         = 0.6              // of the powered instances
	massLossMinInstances  = 6
	maxSpares             = 8                // of one pool
	rateChangeDivisor     = 8                // rate changes up to 1/8 are not ordered
	minRateDivisor        = 1000             // 1/1000 of the store's rate is the minimum
	minPreloadDivisor     = 100              // preloads need 1/100 of the store's rate left
	bootMargin            = 15 * time.Second // how much too early delayed boots begin
	preloadRetryInterval  = 30 * time.Second // of a preload that did not begin
	maxEstimate           = 24 * time.Hour   // of estimated durations
	day                   = 24 * time.Hour
)
