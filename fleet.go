package garnetworks

import "time"

// PowerState is what is known about an instance's power.
type PowerState string

const (
	// PowerOff: the power switch confirmed that the instance is off.
	PowerOff PowerState = "off"
	// PowerStarting: the instance was ordered on and has not been seen running.
	PowerStarting PowerState = "starting"
	// PowerOn: the instance was seen running.
	PowerOn PowerState = "on"
	// PowerStopping: the instance was ordered off and this is not confirmed.
	PowerStopping PowerState = "stopping"
	// PowerUnknown: nothing is known.
	PowerUnknown PowerState = "unknown"
)

// Draws reports whether an instance in state p counts against the power cap: in
// every state except proven off (rule G4).
func (p PowerState) Draws() bool { return p != PowerOff }

// Condition is the controller's assessment of an instance.
type Condition string

const (
	// ConditionHealthy instances may join groups.
	ConditionHealthy Condition = "healthy"
	// ConditionLost instances have not confirmed their membership in time.
	ConditionLost Condition = "lost"
	// ConditionLeaving instances will be replaced or stopped.
	ConditionLeaving Condition = "leaving"
	// ConditionStraggler instances slow down their group.
	ConditionStraggler Condition = "straggler"
	// ConditionReturned instances came back with a new incarnation or an old
	// token and have not been readmitted yet.
	ConditionReturned Condition = "returned"
)

// Instance is a backend instance in its fabric domain.
type Instance struct {
	ID      InstanceID `json:"id"`
	Address string     `json:"address"`
	// Incarnation is the start count or start time of the engine process; a change
	// means that the engine lost its state.
	Incarnation uint64     `json:"incarnation"`
	Class       string     `json:"class"`
	Watts       Watts      `json:"watts"`
	Power       PowerState `json:"power"`
	Condition   Condition  `json:"condition"`
	// Group is empty if the instance belongs to none.
	Group GroupID `json:"group,omitempty"`
	// Token is the newest token issued for the instance; it never decreases.
	Token FencingToken `json:"token"`
	// Weights are the weights that are known to be stored on the instance.
	Weights []WeightID `json:"weights,omitempty"`
	// ChecksFencing is copied from the class.
	ChecksFencing bool `json:"checks-fencing"`
}

// GroupState is a state of a replica group's life cycle.
type GroupState string

const (
	// GroupForming: the group was decided on; not all members have accepted the order.
	GroupForming GroupState = "forming"
	// GroupLoading: members are loading weights.
	GroupLoading GroupState = "loading"
	// GroupServing: routers may send calls while rule G1 holds.
	GroupServing GroupState = "serving"
	// GroupDraining: the group gets no new calls; those in flight finish.
	GroupDraining GroupState = "draining"
	// GroupBroken: a member is missing; the other members can be used in new groups
	// under new tokens.
	GroupBroken GroupState = "broken"
)

// Group is a replica group: instances of one fabric domain that together serve
// one version of a model.
type Group struct {
	ID       GroupID       `json:"id"`
	Model    ModelName     `json:"model"`
	Version  VersionName   `json:"version"`
	Adapters []AdapterName `json:"adapters,omitempty"`
	// Token is the token under which the group was formed, the same for all members.
	Token FencingToken `json:"token"`
	// Members has as many instances as the model's group size; the first one takes
	// the calls. No instance is a member of two groups of the domain (rule G2).
	Members []InstanceID `json:"members"`
	State   GroupState   `json:"state"`
	// Replaces names the group that is drained once this one serves.
	Replaces GroupID `json:"replaces,omitempty"`
	// Since is when the group entered State, on the controller's clock.
	Since time.Time `json:"since"`
	// DrainUntil is when the drain ends; zero unless State is GroupDraining.
	DrainUntil time.Time `json:"drain-until,omitzero"`
}

// FabricDomain is the aggregate that decides group membership: one object in the
// object API, changed only by conditional updates.
type FabricDomain struct {
	ID   DomainID `json:"id"`
	Zone ZoneID   `json:"zone"`
	// Term is the highest lease term under which the domain was written; writes with
	// a lower term are refused.
	Term uint32 `json:"term"`
	// Sequence is the sequence number of the last token issued in Term.
	Sequence uint32 `json:"sequence"`
	// WriteID identifies the last write, so that it can be recognized on reading
	// back after a lost response (rule G11).
	WriteID string `json:"write-id"`
	// Generation is the manifest generation that the last decision was based on; it
	// never decreases.
	Generation Generation `json:"generation"`
	// Instances are sorted by ID.
	Instances []Instance `json:"instances"`
	// Groups are sorted by ID.
	Groups []Group `json:"groups"`
}

// Confirmation is a member's statement that it belongs to a group.
type Confirmation struct {
	Instance    InstanceID   `json:"instance"`
	Incarnation uint64       `json:"incarnation"`
	Group       GroupID      `json:"group"`
	Token       FencingToken `json:"token"`
	Model       ModelName    `json:"model"`
	Version     VersionName  `json:"version"`
	Ready       bool         `json:"ready"`
	// At is when the probe that returned the confirmation was sent, on the prober's
	// monotonic clock, so that its age is never understated.
	At time.Time `json:"at"`
}

// LeaseRecord is the object that holds a lease.
type LeaseRecord struct {
	Holder NodeID `json:"holder"`
	// Term grows with each change of holder and never decreases.
	Term uint32 `json:"term"`
	// Renewals grows with each renewal. Other nodes measure the lease's age as the
	// time for which they have seen the same value, on their own clock.
	Renewals uint64 `json:"beat"`
	// Duration is how long the holder may act after it sent the renewal.
	Duration time.Duration `json:"duration"`
	// WriteID identifies the write (rule G11).
	WriteID string `json:"write-id"`
	// Era is the era of the object API in which the holder wrote the record; a lower one than
	// that of the read shows that the record comes from a copy.
	Era Era `json:"era,omitempty"`
}

// ZoneGrant is a zone's share of the site's power cap.
type ZoneGrant struct {
	Zone ZoneID `json:"zone"`
	// Granted is the most that the zone may draw, as the site controller counts it.
	// The sum over all zones is at most the cap (rule G4).
	Granted Watts `json:"granted"`
	// Target is the intended grant; it is below Granted until the zone has confirmed
	// that it reduced its draw.
	Target Watts `json:"wanted"`
	// TargetSequence is the Sequence of the ledger that last changed Target. A zone's
	// confirmation counts only if its SeenSequence is at least this; an earlier one was
	// written without knowledge of the target.
	TargetSequence uint64 `json:"since"`
}

// PowerLedger is the object that holds the power grants of all zones.
type PowerLedger struct {
	// Cap is the site's cap that the grants respect; it is lowered only after the
	// grants have been lowered.
	Cap    Watts       `json:"cap"`
	Grants []ZoneGrant `json:"grants"`
	Term   uint32      `json:"term"`
	// Sequence grows with each write.
	Sequence uint64 `json:"sequence"`
	// Generation is the manifest generation that the targets were computed from.
	Generation Generation `json:"generation"`
	WriteID    string     `json:"write-id"`
}

// ZonePower is the object in which a zone's controller reports its power draw.
type ZonePower struct {
	Zone ZoneID `json:"zone"`
	// Limit is the grant that the zone complies with. The zone lowers it first and
	// confirms by writing Limit and Drawn once enough instances are proven off.
	Limit Watts `json:"limit"`
	// Drawn is the pessimistic draw: every instance not proven off.
	Drawn Watts `json:"drawn"`
	// Need is the draw of all groups that the manifest wants in the zone.
	Need Watts `json:"need"`
	// Needs splits Need into whole groups, the most important ones first.
	Needs []PowerNeed `json:"needs,omitempty"`
	// SeenSequence is the Sequence of the newest ledger that the zone complies with.
	SeenSequence uint64 `json:"seen"`
	Term         uint32 `json:"term"`
	WriteID      string `json:"write-id"`
}

// PowerNeed is the power that a number of equal groups of a zone need.
type PowerNeed struct {
	// Minimum says that the groups are among the models' MinGroups; these come before
	// all other needs.
	Minimum bool `json:"minimum,omitempty"`
	// Priority is the priority of the groups' model.
	Priority int `json:"priority"`
	// Watts is the draw of one group; above 0.
	Watts Watts `json:"watts"`
	// Groups is the number of groups.
	Groups int `json:"groups"`
}
