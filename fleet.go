package garnetworks

import "time"

// PowerState is what is known of an instance's power.
type PowerState string

const (
	// PowerOff means proven off: the power switch confirmed it.
	PowerOff PowerState = "off"
	// PowerStarting means ordered on and not yet seen running.
	PowerStarting PowerState = "starting"
	// PowerOn means seen running.
	PowerOn PowerState = "on"
	// PowerStopping means ordered off and not yet confirmed.
	PowerStopping PowerState = "stopping"
	// PowerUnknown means that nothing is known.
	PowerUnknown PowerState = "unknown"
)

// Draws reports whether an instance in the state must be counted against the
// cap: everything but proven off does (rule G4).
func (p PowerState) Draws() bool { return p != PowerOff }

// Condition is the controller's judgement of an instance.
type Condition string

const (
	// ConditionHealthy instances may join groups.
	ConditionHealthy Condition = "healthy"
	// ConditionLost instances have not confirmed in time.
	ConditionLost Condition = "lost"
	// ConditionLeaving instances are going to be replaced or stopped.
	ConditionLeaving Condition = "leaving"
	// ConditionStraggler instances slow their group down.
	ConditionStraggler Condition = "straggler"
	// ConditionReturned instances came back with a new incarnation or an old
	// token and are not yet re-admitted.
	ConditionReturned Condition = "returned"
)

// Instance is a backend instance within its fabric domain.
type Instance struct {
	ID      InstanceID `json:"id"`
	Address string     `json:"address"`
	// Incarnation is the engine process's start count or time; a change means
	// that the instance lost its state.
	Incarnation uint64     `json:"incarnation"`
	Class       string     `json:"class"`
	Watts       Watts      `json:"watts"`
	Power       PowerState `json:"power"`
	Condition   Condition  `json:"condition"`
	// Group is empty if the instance belongs to none.
	Group GroupID `json:"group,omitempty"`
	// Token is the newest token issued for the instance; it never decreases.
	Token FencingToken `json:"token"`
	// Weights are the weights known to be on the instance.
	Weights []WeightID `json:"weights,omitempty"`
	// ChecksFencing is copied from the class.
	ChecksFencing bool `json:"checks-fencing"`
}

// GroupState is a state in the life of a replica group.
type GroupState string

const (
	// GroupForming means decided; members have not all taken the order.
	GroupForming GroupState = "forming"
	// GroupLoading means members load weights.
	GroupLoading GroupState = "loading"
	// GroupServing means that routers may send calls while rule G1 holds.
	GroupServing GroupState = "serving"
	// GroupDraining means no new calls; those in flight finish.
	GroupDraining GroupState = "draining"
	// GroupBroken means that a member is missing; its members are free to be
	// re-formed under new tokens.
	GroupBroken GroupState = "broken"
)

// Group is a replica group: instances of one fabric domain that serve one
// version of a model together.
type Group struct {
	ID       GroupID       `json:"id"`
	Model    ModelName     `json:"model"`
	Version  VersionName   `json:"version"`
	Adapters []AdapterName `json:"adapters,omitempty"`
	// Token is the token under which the group was formed; all members hold it.
	Token FencingToken `json:"token"`
	// Members has the model's group size; the first one takes the calls. No
	// instance is in the members of two groups of the domain (rule G2).
	Members []InstanceID `json:"members"`
	State   GroupState   `json:"state"`
	// Replaces names the group that drains once this one serves.
	Replaces GroupID `json:"replaces,omitempty"`
	// Since is when the state was entered, by the controller's clock.
	Since time.Time `json:"since"`
	// DrainUntil ends the drain; zero unless State is GroupDraining.
	DrainUntil time.Time `json:"drain-until,omitzero"`
}

// FabricDomain is the aggregate that decides membership: one object in the
// object API, changed by conditional updates only.
type FabricDomain struct {
	ID   DomainID `json:"id"`
	Zone ZoneID   `json:"zone"`
	// Term is the highest lease term that has written the domain; a writer with
	// a lower term is refused.
	Term uint32 `json:"term"`
	// Sequence is the last token sequence issued in Term.
	Sequence uint32 `json:"sequence"`
	// WriteID identifies the last write, so that a lost answer can be read back
	// (rule G11).
	WriteID string `json:"write-id"`
	// Generation is the manifest generation that the last decision was made by;
	// it never decreases.
	Generation Generation `json:"generation"`
	// Instances are sorted by ID.
	Instances []Instance `json:"instances"`
	// Groups are sorted by ID.
	Groups []Group `json:"groups"`
}

// Confirmation is a member's word that it is part of a group.
type Confirmation struct {
	Instance    InstanceID   `json:"instance"`
	Incarnation uint64       `json:"incarnation"`
	Group       GroupID      `json:"group"`
	Token       FencingToken `json:"token"`
	Model       ModelName    `json:"model"`
	Version     VersionName  `json:"version"`
	Ready       bool         `json:"ready"`
	// At is when the probe that brought it was sent, by the prober's monotonic
	// clock, so that its age is never understated.
	At time.Time `json:"at"`
}

// LeaseRecord is the object that holds a lease.
type LeaseRecord struct {
	Holder NodeID `json:"holder"`
	// Term grows by one with each change of holder and never decreases.
	Term uint32 `json:"term"`
	// Renewals grows with each renewal; others measure the lease's age by how long
	// they have seen the same beat, on their own clock.
	Renewals uint64 `json:"beat"`
	// Duration is how long the holder may act after the renewal was sent.
	Duration time.Duration `json:"duration"`
	// WriteID identifies the write (rule G11).
	WriteID string `json:"write-id"`
}

// ZoneGrant is a zone's part of the site's power cap.
type ZoneGrant struct {
	Zone ZoneID `json:"zone"`
	// Granted is what the site controller counts for the zone: the most the
	// zone may draw. The sum over zones is at most the cap (rule G4).
	Granted Watts `json:"granted"`
	// Target is the grant aimed at; below Granted while the zone has yet to confirm that
	// it has shrunk.
	Target Watts `json:"wanted"`
	// TargetSequence is the ledger's Sequence that last changed Target. A zone's
	// confirmation counts only if it has seen that version: one that was written
	// in ignorance of it promises nothing.
	TargetSequence uint64 `json:"since"`
}

// PowerLedger is the object that holds the grants of all zones.
type PowerLedger struct {
	// Cap is the site's cap that the grants obey; it falls only after the grants
	// have fallen.
	Cap    Watts       `json:"cap"`
	Grants []ZoneGrant `json:"grants"`
	Term   uint32      `json:"term"`
	// Sequence grows with each write.
	Sequence uint64 `json:"sequence"`
	// Generation is the manifest generation the targets were computed from.
	Generation Generation `json:"generation"`
	WriteID    string     `json:"write-id"`
}

// ZonePower is the object in which a zone's controller states its draw.
type ZonePower struct {
	Zone ZoneID `json:"zone"`
	// Limit is the grant that the zone obeys. The zone lowers it first, and
	// confirms by writing Limit and Drawn once instances are proven off.
	Limit Watts `json:"limit"`
	// Drawn is the pessimistic draw: every instance not proven off.
	Drawn Watts `json:"drawn"`
	// Need is the draw of the groups the manifest wants in the zone.
	Need Watts `json:"need"`
	// Needs breaks Need down into whole groups, the most important first.
	Needs []PowerNeed `json:"needs,omitempty"`
	// SeenSequence is the Sequence of the newest ledger that the zone obeys.
	SeenSequence uint64 `json:"seen"`
	Term         uint32 `json:"term"`
	WriteID      string `json:"write-id"`
}

// PowerNeed is the power that some equal groups of a zone need.
type PowerNeed struct {
	// Minimum says that the groups are among the models' MinGroups; all of them
	// go before any other need.
	Minimum bool `json:"minimum,omitempty"`
	// Priority is the model's.
	Priority int `json:"priority"`
	// Watts is the draw of one group; above 0.
	Watts Watts `json:"watts"`
	// Groups is the number of groups.
	Groups int `json:"groups"`
}
