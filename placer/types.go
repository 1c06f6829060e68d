package placer

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Input is everything that a plan is made from.
type Input struct {
	// Now is the caller's clock; it never goes back between plans that hand on a
	// State.
	Now time.Time
	// Domains are the zone's fabric domains as last read or written, in any
	// order. An instance that was ordered on is already PowerStarting, a group
	// that was ordered formed is already GroupForming. The Condition of an
	// instance that is off means nothing; from the order to power on it is
	// ConditionReturned or ConditionHealthy.
	Domains []garnetworks.FabricDomain
	// Models are the manifest's models with MinGroups and MaxGroups reduced to
	// the zone's share, see [ZoneModels].
	Models []garnetworks.ModelSpec
	// Classes are the manifest's instance classes.
	Classes []garnetworks.InstanceClass
	// Costs balance the two measures.
	Costs garnetworks.CostWeights
	// Grace bounds drains.
	Grace garnetworks.GraceSpec
	// Limit is the zone's grant.
	Limit garnetworks.Watts
	// StoreRate is the zone's share of the weight store's rate in bytes a
	// second; 0 means unknown, then no rates are set and nothing is preloaded.
	StoreRate int64
	// InstanceRate is the most that one instance can load in bytes a second; 0
	// means that an instance can take the whole store rate.
	InstanceRate int64
	// Instances holds what status answers told; an instance may be absent.
	Instances map[garnetworks.InstanceID]InstanceObservation
	// Groups holds what is known of groups' calls; a group may be absent.
	Groups map[garnetworks.GroupID]GroupObservation
	// NoOutage are the models whose groups must not stand still for a new version
	// now, since other zones do; one that forms beside the old group may.
	NoOutage garnetworks.Set[garnetworks.ModelName]
	// State is the last Output's State, or empty.
	State State
}

// InstanceObservation is what status answers and the instance list told of an
// instance. The zero value means that nothing is known.
type InstanceObservation struct {
	// Slowdown is how many times slower than its peers the instance is; 0 means
	// that it was not measured. From 1.5 on it is a straggler whatever its
	// Condition is.
	Slowdown float64
	// Loading names the weights that the instance loads now.
	Loading garnetworks.WeightID
	// LoadedBytes is how much of Loading has arrived.
	LoadedBytes int64
	// LeaveBy is when a leaving instance stops; zero if unknown.
	LeaveBy time.Time
}

// GroupObservation is what is known of a group's calls.
type GroupObservation struct {
	// Idle says that no call is in flight, so that a drain may end early.
	Idle bool
}

// Output is a plan.
type Output struct {
	// Decisions are in the order in which they are to be carried out.
	Decisions []Decision
	// Wanted is the number of groups of each model that the manifest and the
	// power allow, sorted by model. It doesn't shrink by faults.
	Wanted []ModelGroups
	// Need is the draw of the groups that the manifest asks of the zone and of
	// the powered spares that are worth it, whatever the limit is: a zone whose
	// grant is too small for its spares has to ask for more.
	Need garnetworks.Watts
	// Drawn is the pessimistic draw now.
	Drawn garnetworks.Watts
	// Unmet lists the wanted groups that no decision brings nearer, with the
	// cause, for operators.
	Unmet []Unmet
	// ReplanAt is the earliest time at which a plan can differ though nothing has
	// changed; zero if there is none.
	ReplanAt time.Time
	// State is to be handed to the next plan.
	State State
}

// ModelGroups is a number of groups of a model.
type ModelGroups struct {
	Model  garnetworks.ModelName
	Groups int
}

// Unmet names groups that can't be formed now.
type Unmet struct {
	Model  garnetworks.ModelName
	Groups int
	Cause  Cause
}

// Cause says why a wanted group isn't on its way.
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

// Reasons.
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
	// ReasonSurplus: the manifest wants fewer groups of the model.
	ReasonSurplus Reason = "surplus"
	// ReasonDisplaced: a group of higher priority needs the members.
	ReasonDisplaced Reason = "displaced"
	// ReasonPower: the limit is too low for it.
	ReasonPower Reason = "power"
	// ReasonSpare: the instance is a spare.
	ReasonSpare Reason = "spare"
	// ReasonIdle: the instance is of no use to any group.
	ReasonIdle Reason = "idle"
	// ReasonLost: the instance is lost; power is cut so that it can't draw or
	// come back unseen.
	ReasonLost Reason = "lost"
)

// Decision is one step of a plan: one of the types below.
type Decision interface{ decision() }

// FormGroup asks for a new group. The caller names it and issues its token.
type FormGroup struct {
	Domain   garnetworks.DomainID
	Model    garnetworks.ModelName
	Version  garnetworks.VersionName
	Adapters []garnetworks.AdapterName
	// Members are powered, healthy and in no group once the decisions before
	// this one are carried out; sorted by ID. Their number is the model's group
	// size.
	Members []garnetworks.InstanceID
	// Replaces names the group that drains once this one serves; it may be
	// empty.
	Replaces garnetworks.GroupID
	// LoadRate is the rate for each member that lacks the weights, in bytes a
	// second; 0 if none lacks them or no rate is known.
	LoadRate int64
	Reason   Reason
}

// DrainGroup asks for the end of new calls to a group.
type DrainGroup struct {
	Domain garnetworks.DomainID
	Group  garnetworks.GroupID
	// Grace bounds the drain; the group is dissolved at its end or when it is
	// idle.
	Grace  time.Duration
	Reason Reason
}

// DissolveGroup asks for the end of a group; its members become free at once.
type DissolveGroup struct {
	Domain garnetworks.DomainID
	Group  garnetworks.GroupID
	Reason Reason
}

// PowerOn asks for an instance's power.
type PowerOn struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	Reason   Reason
}

// PowerOff asks for the end of an instance's power.
type PowerOff struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	Reason   Reason
}

// Preload asks an instance that is in no group to load weights.
type Preload struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	Weights  garnetworks.WeightID
	// LoadRate is in bytes a second; above 0.
	LoadRate int64
	Reason   Reason
}

// SetLoadRate changes the rate of an instance that loads already.
type SetLoadRate struct {
	Domain   garnetworks.DomainID
	Instance garnetworks.InstanceID
	// Group is empty for a preload.
	Group garnetworks.GroupID
	// LoadRate is in bytes a second; above 0.
	LoadRate int64
}

func (FormGroup) decision()     {}
func (DrainGroup) decision()    {}
func (DissolveGroup) decision() {}
func (PowerOn) decision()       {}
func (PowerOff) decision()      {}
func (Preload) decision()       {}
func (SetLoadRate) decision()   {}

// State is what one plan tells the next one. Losing it costs at most one
// repetition of a rate order and restarts the hysteresis bounds.
type State struct {
	// Instances holds only instances with something to remember.
	Instances map[garnetworks.InstanceID]InstanceHistory
	// StragglerReplacements holds when a model's straggler was last replaced.
	StragglerReplacements map[garnetworks.ModelName]time.Time
	// Sheds holds the last time that a lowered limit or maximum took a group.
	Sheds map[garnetworks.ModelName]Shed
	// Reservations are the members that groups wait for, in the order of slots.
	Reservations []Reservation
}

// Shed is a time at which a model lost groups by a limit or a maximum.
type Shed struct {
	At time.Time
	// Remaining is how many groups were left; these are replaced without delay.
	Remaining int
}

// Reservation is a choice of members that are not all there yet. Later plans
// keep to it unless another choice is sooner by SwitchGain (rule P13).
type Reservation struct {
	Model   garnetworks.ModelName
	Domain  garnetworks.DomainID
	Members []garnetworks.InstanceID
}

// InstanceHistory is what is remembered of an instance.
type InstanceHistory struct {
	// IdleSince is when the instance was last seen to become powered and
	// unused; zero while it is used or off.
	IdleSince time.Time
	// PoweredOn is when a plan last asked for power.
	PoweredOn time.Time
	// PoweredOff is when a plan last cut the power by choice.
	PoweredOff time.Time
	// LostSince is when the instance was seen to be lost; zero unless it is.
	LostSince time.Time
	// ReturnedSince is when the instance was seen to wait for its re-admission;
	// zero unless it does.
	ReturnedSince time.Time
	// Failures counts losses; it falls by one for each StrikeMemory without one.
	Failures int
	// FailuresChanged is when Strikes last changed.
	FailuresChanged time.Time
	// Weights are the weights whose loading was last ordered.
	Weights garnetworks.WeightID
	// LoadRate is the rate last ordered; 0 if the instance loads nothing.
	LoadRate int64
	// LoadOrdered is when the load was last ordered.
	LoadOrdered time.Time
}
