package placer

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Input is the information that a plan is computed from.
type Input struct {
	// Now is the caller's clock; it never goes back between plans that pass a State
	// on.
	Now time.Time
	// Domains are the zone's fabric domains as last read or written, in any
	// order. An instance that was ordered on is already PowerStarting, a group
	// whose forming was ordered is already GroupForming. The Condition of an
	// instance that is off is ignored; from the order to power on it is
	// ConditionReturned or ConditionHealthy.
	Domains []garnetworks.FabricDomain
	// Models are the manifest's models with MinGroups and MaxGroups reduced to
	// the zone's share, see [ZoneModels].
	Models []garnetworks.ModelSpec
	// Classes are the manifest's instance classes.
	Classes []garnetworks.InstanceClass
	// Costs balance group downtime against stranded instances.
	Costs garnetworks.CostWeights
	// Grace bounds drains.
	Grace garnetworks.GraceSpec
	// Limit is the most power that the zone may draw.
	Limit garnetworks.Watts
	// StoreRate is the zone's share of the weight store's rate in bytes per
	// second; 0 means unknown, then no rates are set and nothing is preloaded.
	StoreRate int64
	// InstanceRate is the most that one instance can load in bytes per second; 0
	// means that an instance can take the whole store rate.
	InstanceRate int64
	// Instances holds data from status responses; an instance may be absent.
	Instances map[garnetworks.InstanceID]InstanceObservation
	// Groups holds data about the groups' calls; a group may be absent.
	Groups map[garnetworks.GroupID]GroupObservation
	// NoOutage are the models whose groups must not stop serving for a new
	// version now, since groups in other zones do; a replacement that forms beside
	// the old group is allowed.
	NoOutage garnetworks.Set[garnetworks.ModelName]
	// State is the previous Output's State, or empty.
	State State
}

// InstanceObservation holds what status responses and the instance list report
// about an instance. The zero value means that nothing is known.
type InstanceObservation struct {
	// Slowdown is how many times slower than its peers the instance is; 0 means
	// that it was not measured. From 1.5 on the instance is a straggler whatever
	// its Condition is.
	Slowdown float64
	// Loading names the weights that the instance is loading.
	Loading garnetworks.WeightID
	// LoadedBytes is how much of Loading has arrived.
	LoadedBytes int64
	// LeaveBy is when a leaving instance stops; zero if unknown.
	LeaveBy time.Time
}

// GroupObservation holds what is known about a group's calls.
type GroupObservation struct {
	// Idle says that no call is in flight, so that a drain may end early.
	Idle bool
}

// Output is the result of planning.
type Output struct {
	// Decisions are in the order in which they must be executed.
	Decisions []Decision
	// Wanted is the number of groups of each model that the manifest and the
	// limit allow, sorted by model. Faults do not lower it (rule P2).
	Wanted []ModelGroups
	// Need is the draw of the groups that the manifest requests of the zone and of
	// the powered spares whose benefit exceeds their cost, regardless of the limit:
	// a zone whose limit is too low for its spares has to request more.
	Need garnetworks.Watts
	// Drawn is the pessimistic draw now.
	Drawn garnetworks.Watts
	// Unmet lists the wanted groups that no decision brings closer, with the
	// cause, for operators.
	Unmet []Unmet
	// ReplanAt is the earliest time at which a plan can differ although the input is
	// otherwise unchanged; zero if there is none.
	ReplanAt time.Time
	// State is the input of the next plan.
	State State
}

// ModelGroups is a number of groups of one model.
type ModelGroups struct {
	Model  garnetworks.ModelName
	Groups int
}

// Unmet counts groups of a model that can't be formed now.
type Unmet struct {
	Model  garnetworks.ModelName
	Groups int
	Cause  Cause
}

// Cause says why a wanted group isn't being formed.
type Cause string

const (
	// CauseInstances means that no domain has enough usable instances.
	CauseInstances Cause = "too-few-instances"
	// CausePower means that the limit leaves too little power.
	CausePower Cause = "too-little-power"
	// CauseClass means that the model's class is not in the manifest, or that
	// its group size is below 1.
	CauseClass Cause = "unknown-class"
)

// Reason says why a decision was made.
type Reason string

// Reasons for decisions.
const (
	// ReasonWanted: the manifest wants the group.
	ReasonWanted Reason = "wanted"
	// ReasonMemberLost: a member of the group is missing.
	ReasonMemberLost Reason = "member-lost"
	// ReasonLeaving: a member is leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonStraggler: a member slows the group down.
	ReasonStraggler Reason = "straggler"
	// ReasonVersion: the manifest names another version.
	ReasonVersion Reason = "version"
	// ReasonReplaced: the group that replaces it serves.
	ReasonReplaced Reason = "replaced"
	// ReasonDrained: the drain is over.
	ReasonDrained Reason = "drained"
	// ReasonSurplus: the manifest requests fewer groups of the model.
	ReasonSurplus Reason = "surplus"
	// ReasonDisplaced: a minimum slot needs the members.
	ReasonDisplaced Reason = "displaced"
	// ReasonPower: the limit leaves too little power.
	ReasonPower Reason = "power"
	// ReasonSpare: the instance is a spare.
	ReasonSpare Reason = "spare"
	// ReasonIdle: no group needs the instance.
	ReasonIdle Reason = "idle"
	// ReasonLost: the instance is lost; its power is cut so that it can neither draw
	// power nor come back unnoticed.
	ReasonLost Reason = "lost"
)

// Decision is one step of a plan: one of the types below.
type Decision interface{ decision() }

// FormGroup creates a group. The caller names it and issues its token.
type FormGroup struct {
	Domain   garnetworks.DomainID
	Model    garnetworks.ModelName
	Version  garnetworks.VersionName
	Adapters []garnetworks.AdapterName
	// Members are powered, healthy and in no group once the decisions before
	// this one are executed; sorted by ID. Their number is the model's group
	// size.
	Members []garnetworks.InstanceID
	// Replaces names the group that drains once this one serves; it may be
	// empty.
	Replaces garnetworks.GroupID
	// LoadRate is the rate for each member that lacks the weights, in bytes per
	// second; 0 if none lacks them or no rate is known.
	LoadRate int64
	Reason   Reason
}

// DrainGroup stops new calls to a group.
type DrainGroup struct {
	Domain garnetworks.DomainID
	Group  garnetworks.GroupID
	// Grace bounds the drain; the group is dissolved when the grace period has
	// passed or the group is idle.
	Grace  time.Duration
	Reason Reason
}

// DissolveGroup ends a group; its members become free at once.
type DissolveGroup struct {
	Domain garnetworks.DomainID
	Group  garnetworks.GroupID
	Reason Reason
}

// PowerOn powers an instance on.
type PowerOn struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	Reason   Reason
}

// PowerOff powers an instance off.
type PowerOff struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	Reason   Reason
}

// Preload makes an instance that is in no group load weights.
type Preload struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	Weights  garnetworks.WeightID
	// LoadRate is in bytes per second; above 0.
	LoadRate int64
	Reason   Reason
}

// SetLoadRate changes the rate of an instance that is already loading.
type SetLoadRate struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	// Group is empty for a preload.
	Group garnetworks.GroupID
	// LoadRate is in bytes per second; above 0.
	LoadRate int64
}

func (FormGroup) decision()     {}
func (DrainGroup) decision()    {}
func (DissolveGroup) decision() {}
func (PowerOn) decision()       {}
func (PowerOff) decision()      {}
func (Preload) decision()       {}
func (SetLoadRate) decision()   {}

// State is the data that one plan passes to the next. Losing it repeats at most
// one order for each load and resets the delays that prevent flapping.
type State struct {
	// Instances holds only instances whose history is not empty.
	Instances map[garnetworks.InstanceID]InstanceHistory
	// StragglerReplacements holds when a straggler of a model was last replaced.
	StragglerReplacements map[garnetworks.ModelName]time.Time
	// Sheds holds when a limit or a maximum last took groups of a model.
	Sheds map[garnetworks.ModelName]Shed
	// Reservations are the members that incomplete groups wait for, in order of
	// slots.
	Reservations []Reservation
}

// Shed records when a model lost groups to a limit or a maximum.
type Shed struct {
	At time.Time
	// Remaining is how many groups were left; these are replaced without delay.
	Remaining int
}

// Reservation is a chosen set of members that are not all available yet. Later
// plans keep it unless another choice is sooner by ReservationHysteresis (rule
// P13).
type Reservation struct {
	Model   garnetworks.ModelName
	Domain  garnetworks.DomainID
	Members []garnetworks.InstanceID
}

// InstanceHistory is what is remembered of an instance between plans.
type InstanceHistory struct {
	// IdleSince is when the instance became powered and unused; zero while it is
	// used, off or lost.
	IdleSince time.Time
	// PoweredOn is when a plan last powered the instance on; zero once a plan has
	// powered it off.
	PoweredOn time.Time
	// PoweredOff is when a plan last powered the instance off for ReasonIdle or
	// ReasonPower; zero once a plan has powered it on.
	PoweredOff time.Time
	// LostSince is when the instance was found to be lost; zero unless it is.
	LostSince time.Time
	// ReturnedSince is when the instance was found to wait for its re-admission;
	// zero unless it does.
	ReturnedSince time.Time
	// Failures counts failures; it falls by one for each FailureDecayTime without
	// one.
	Failures int
	// FailuresChanged is when Failures last rose or fell.
	FailuresChanged time.Time
	// Weights are the weights whose loading was last ordered.
	Weights garnetworks.WeightID
	// LoadRate is the rate last ordered; 0 if the instance loads nothing.
	LoadRate int64
	// LoadOrdered is when the load was last ordered.
	LoadOrdered time.Time
}
