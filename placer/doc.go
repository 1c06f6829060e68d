// Package placer decides, for one availability zone, which replica groups
// exist, which instances they hold, which instances are powered and how the
// weight store's rate is shared.
//
// [Plan] is pure: the same [Input] gives the same [Output]. Its decisions are
// ordered; the caller carries them out one after another, writes each into the
// fabric domain's object before the order goes out, and plans again after any
// change. Nothing is remembered but [State], which the caller hands back and
// may lose: a new controller begins with an empty one.
//
// The algorithm keeps these rules, which the code cites at the lines that keep
// them. D is the cost of a group down for a second, S that of an instance
// stranded for a second, g the group size, B the boot time, L the time to load
// one instance's weights at the store's whole rate, F the time to form.
//
//	P1  The groups a zone is asked for are slots in one order: first the
//	    minimum slots by priority, then the slots up to the maximum by
//	    priority; within one priority by rank, then by name.
//	P2  A wanted group is a slot for which the limit has power and the domains
//	    have instances, counted whatever their condition is. So a fault never
//	    makes a group unwanted.
//	P3  Power: the planned draw is never above the limit. An instance is
//	    ordered on only if the pessimistic draw (everything not proven off)
//	    leaves room for it. If the draw is above the limit, slots lose their
//	    groups from the last one up, with the grace for shedding.
//	P4  A group with a member that is lost, returned, or not powered is
//	    dissolved at once; the survivors are free with their weights. Survivors
//	    of several groups of a domain are merged by P5.
//	P5  A slot without a group takes members that are all there, else the domain
//	    and the members that can serve first: the longest wait for a boot or a
//	    drain, and then the load of all missing weights at the store's rate.
//	    Weights already loaded thus count. Ties go to the least sum of waits,
//	    then to the fewest boots, then to what leaves the least room that fits
//	    no largest group, then to the domain that fewer groups of the model
//	    share (so that one dark domain takes few of them), then to the emptier
//	    one, then by name.
//	P6  A minimum slot that no free instances can fill displaces groups that
//	    come later in P1: those above their model's minimum, or of strictly
//	    lower priority. The fewest and last ones of one domain go.
//	P7  An instance that failed is doubtful until StrikeMemory has passed. It is
//	    used only where P5 and P6 find nothing else, and after its second
//	    failure only when a doubling time has passed. If S·g > D, the failed
//	    instances of a domain are tried with one boot until one has come back.
//	P8  A group with a leaving member is drained at once (rule G8). Where the
//	    end is known beforehand, or a straggler or an old version is the cause,
//	    the replacement is made before the group is drained: as a whole second
//	    group at cost S·g·(wait+F+drain), or as prepared members at cost
//	    S·n·wait + (D+g·S)·(drain+F), whichever is lower and possible.
//	P9  A straggler that is s times slower is replaced only if
//	    (1−1/s)·(D+g·S)·StragglerHorizon is above the cost by P8, and at most
//	    one for each model within MoveBound.
//	P10 Spares are counted for a domain and class together, since any of them
//	    can serve any group there. The k-th powered spare is kept if its worth
//	    λ·P(N ≥ k−1)·T·(D+(g−1)·S) is above S. λ is the rate of failures and
//	    restarts of the instances in groups there, T = B+L is the wait it
//	    saves, and N, the losses while a spare that was used is replaced, is
//	    Poisson with mean λ·T (λ·RepairTime if no powered-off instance is left).
//	    Powered-off instances cost neither measure, so all of them are spares.
//	    Spares hold the weights that their domain would wait longest for.
//	P11 A powered instance of no use is powered off after B times its worth by
//	    P10 as a share of S. Survivors whose missing member may return are held
//	    for (B+L)·(1+D/(S·n)), the time at which the holding has cost as much
//	    as booting and loading them anew; so holding costs at most twice what
//	    the best choice in hindsight would. A lost instance keeps its power for
//	    LostGrace; longer while a group of its domain waits for a boot and the n
//	    lost ones cost less than the wait, S·n < D+S·g; and for
//	    (B+L)·(1+D/(S·g)) if half of its domain is lost and a group is wanting.
//	    All that is held is given up at once if a group needs the power.
//	P12 The store's rate goes first to groups of minimum slots, then to those
//	    above, then to members that wait for others, then to replacements,
//	    then to spares; within each, by priority, and by the least bytes left,
//	    which makes the sum of waits least. Loading groups keep a small floor;
//	    preloads get only what is left.
//	P13 No flapping: an instance ordered on is not powered off by choice, and a
//	    spare powered off by choice not on again, before FlapBound has passed.
//	    A model that lost a group to a lowered limit or maximum gets back to more
//	    than was left no sooner than FlapBound, to its minimum no sooner than
//	    ReformBound. Members that a slot waits for are kept until another choice
//	    is sooner by SwitchGain. Rates change by steps of at least an eighth. A
//	    plan applied to its own result has no decisions.
//	P14 If S·g > D, a group's members are ordered on only so early that their
//	    boots end as the store has fed the groups before it.
package placer

import "time"

// Bounds of the policy.
const (
	// FormTime is the time that engines take to form a group whose weights are
	// loaded (F).
	FormTime = 5 * time.Second
	// FlapDampingTime is the least time between two changes of an instance's power by
	// choice (rule P13).
	FlapDampingTime = 3 * time.Minute
	// ReformDelay is how long a model below its minimum waits after a lowered
	// limit or maximum took a group of it (rule P13).
	ReformDelay = time.Minute
	// ReservationHysteresis is how much sooner another choice must be for a slot to give up
	// the members that it waits for.
	ReservationHysteresis = 20 * time.Second
	// StragglerReplacementInterval is the least time between two replacements of stragglers of a
	// model.
	StragglerReplacementInterval = 10 * time.Minute
	// LostGrace is how long a lost instance keeps its power: a member whose
	// network blinked comes back with its weights.
	LostGrace = 20 * time.Second
	// MassLossGrace replaces LostGrace when most of the zone is lost at once:
	// then it is more likely that the view is wrong than that they all failed.
	MassLossGrace = 2 * time.Minute
	// ReturnGrace is how long a returned instance may wait to be re-admitted.
	ReturnGrace = time.Minute
	// MaxHold bounds every hold by rule P11.
	MaxHold = time.Hour
	// RepairTime is the assumed time until a failed instance is back if there
	// is no other one.
	RepairTime = time.Hour
	// StragglerHorizon is how long a straggler is expected to stay slow.
	StragglerHorizon = 30 * time.Minute
	// FailureDecayTime is how long one failure makes an instance doubtful.
	FailureDecayTime = 6 * time.Hour
	// DefaultBootTime stands in for a class that states none.
	DefaultBootTime = 3 * time.Minute
	// DefaultLoadTime is one instance's load time if the store's rate is not
	// known.
	DefaultLoadTime = time.Minute
)

const (
	minBackoff            = time.Minute
	maxBackoff            = 30 * time.Minute
	failurePenalty        = time.Minute
	stragglerPenalty      = 10 * time.Minute
	stragglerSlowdown     = 1.5
	defaultSlowdown       = 1.5
	readmitTime           = 2 * time.Second
	defaultFailuresPerDay = 0.02
	bootOverdueFactor     = 3
	massLossShare         = 0.6
	massLossMinInstances  = 6
	maxSpares             = 8
	rateChangeDivisor     = 8
	minRateDivisor        = 1000
	minPreloadDivisor     = 100
	bootMargin            = 15 * time.Second
	preloadRetryInterval  = 30 * time.Second
	maxEstimate           = 24 * time.Hour
	day                   = 24 * time.Hour
)
