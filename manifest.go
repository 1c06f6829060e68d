package garnetworks

import "time"

// Manifest is the operators' specification of what to serve. Their build pipeline
// generates it, garnetctl commits it, and it is accepted or refused as a whole.
type Manifest struct {
	// Format is the version of the manifest format, at most ManifestFormat.
	Format int `yaml:"format" json:"format"`
	// Site describes power, zones and the cost weights.
	Site SiteSpec `yaml:"site" json:"site"`
	// Models have unique names.
	Models []ModelSpec `yaml:"models" json:"models"`
	// Workspaces have unique names.
	Workspaces []WorkspaceSpec `yaml:"workspaces" json:"workspaces"`
	// Services have unique names; there may be none.
	Services []ServiceSpec `yaml:"services,omitempty" json:"services,omitempty"`
}

// ManifestFormat is the newest manifest format that this program reads.
const ManifestFormat = 1

// SiteSpec describes the site as a whole.
type SiteSpec struct {
	Name string `yaml:"name" json:"name"`
	// PowerCap is the most that all instances of the site may draw together; above 0.
	PowerCap Watts `yaml:"power-cap-watts" json:"power-cap-watts"`
	// Zones are the availability zones: at least one, with unique names.
	Zones []ZoneSpec `yaml:"zones" json:"zones"`
	// Classes are the instance classes, with unique names.
	Classes []InstanceClass `yaml:"instance-classes" json:"instance-classes"`
	// CostWeights balance group downtime against stranded accelerators.
	CostWeights CostWeights `yaml:"weights" json:"weights"`
	// Grace holds the grace periods of planned stops and of shedding.
	Grace GraceSpec `yaml:"grace" json:"grace"`
}

// ZoneSpec describes an availability zone.
type ZoneSpec struct {
	Name   ZoneID   `yaml:"name" json:"name"`
	Region RegionID `yaml:"region" json:"region"`
	// Excluded is set by operators for a zone that a new manifest does not wait for.
	Excluded bool `yaml:"left-out,omitempty" json:"left-out,omitempty"`
}

// InstanceClass describes a class of backend instances.
type InstanceClass struct {
	Name string `yaml:"name" json:"name"`
	// Watts is the most that an instance of the class draws while it is on.
	Watts Watts `yaml:"watts" json:"watts"`
	// Accelerators is the number of accelerators per instance; 0 for plain
	// services.
	Accelerators int `yaml:"accelerators" json:"accelerators"`
	// ChecksFencing says that the instances refuse an order whose fencing token
	// is lower than one they have seen.
	ChecksFencing bool `yaml:"checks-fencing" json:"checks-fencing"`
	// BootTime is the usual time from power-on to the first response to a status request.
	BootTime time.Duration `yaml:"boot-time" json:"boot-time"`
	// FailuresPerDay is the expected number of failures of one instance per day.
	FailuresPerDay float64 `yaml:"failures-per-day" json:"failures-per-day"`
	// RestartsPerDay is the expected number of planned restarts of one instance per
	// day that happen without notice; 0 or above.
	RestartsPerDay float64 `yaml:"restarts-per-day,omitempty" json:"restarts-per-day,omitempty"`
}

// CostWeights weigh group downtime against stranded accelerators. Only their
// ratio matters; both are 0 or above and at least one is above 0.
type CostWeights struct {
	// GroupDowntime is the cost of one group not serving for one second.
	GroupDowntime float64 `yaml:"group-downtime" json:"group-downtime"`
	// Stranded is the cost of one powered instance not serving for one second.
	Stranded float64 `yaml:"stranded" json:"stranded"`
}

// GraceSpec holds grace periods.
type GraceSpec struct {
	// Drain is how long a leaving group or node may take to finish its calls.
	Drain time.Duration `yaml:"drain" json:"drain"`
	// Shed is how long a group that is stopped for a lowered power cap may take to
	// finish its calls.
	Shed time.Duration `yaml:"shed" json:"shed"`
}

// ModelSpec describes a model to be served.
type ModelSpec struct {
	Name ModelName `yaml:"name" json:"name"`
	// Version is the version to serve.
	Version VersionName `yaml:"version" json:"version"`
	// WeightBytes is the size of the version's weights on one instance.
	WeightBytes int64 `yaml:"weight-bytes" json:"weight-bytes"`
	// Adapters are listed by unique name.
	Adapters []AdapterName `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// GroupSize is the number of instances of a replica group; at least 1.
	GroupSize int `yaml:"group-size" json:"group-size"`
	// Class is the instance class that the groups need.
	Class string `yaml:"instance-class" json:"instance-class"`
	// MinGroups is the number of groups to form first, in order of priority.
	MinGroups int `yaml:"min-groups" json:"min-groups"`
	// MaxGroups is the number of groups to form if power and instances allow; at
	// least MinGroups.
	MaxGroups int `yaml:"max-groups" json:"max-groups"`
	// Priority orders the models; those with a higher priority are served first.
	Priority int `yaml:"priority" json:"priority"`
}

// WorkspaceSpec describes a workspace.
type WorkspaceSpec struct {
	Name WorkspaceName `yaml:"name" json:"name"`
	// KeyHashes are the hashes of the valid keys, as printed by garnetctl key new;
	// during a rotation there are two.
	KeyHashes []string `yaml:"key-hashes" json:"key-hashes"`
	// Models are the models that the workspace may call.
	Models []ModelName `yaml:"models,omitempty" json:"models,omitempty"`
	// Services are the plain services that the workspace may call.
	Services []ServiceName `yaml:"services,omitempty" json:"services,omitempty"`
	// Priority orders workspaces under overload: those with a lower priority are shed first.
	Priority int          `yaml:"priority" json:"priority"`
	Limits   LimitsSpec   `yaml:"limits" json:"limits"`
	Deadline DeadlineSpec `yaml:"deadline,omitempty" json:"deadline,omitempty"`
}

// LimitsSpec holds a workspace's limits for the whole site; 0 means no limit.
type LimitsSpec struct {
	RequestsPerSecond float64 `yaml:"requests-per-second" json:"requests-per-second"`
	TokensPerSecond   float64 `yaml:"tokens-per-second" json:"tokens-per-second"`
	Concurrency       int     `yaml:"concurrency" json:"concurrency"`
}

// DeadlineSpec holds a workspace's default deadlines; 0 means the system's default.
type DeadlineSpec struct {
	FirstToken time.Duration `yaml:"first-token,omitempty" json:"first-token,omitempty"`
	Total      time.Duration `yaml:"total,omitempty" json:"total,omitempty"`
}

// ServiceSpec describes a plain service.
type ServiceSpec struct {
	Name ServiceName `yaml:"name" json:"name"`
	// Class is the instance class that runs the service.
	Class string `yaml:"instance-class" json:"instance-class"`
	// Calls are matched in order, and the first match applies. A call that matches
	// none is treated as not idempotent.
	Calls []ServiceCallSpec `yaml:"calls" json:"calls"`
	// Timeout limits the time of one call; above 0.
	Timeout time.Duration `yaml:"timeout" json:"timeout"`
}

// ServiceCallSpec describes a class of calls of a plain service.
type ServiceCallSpec struct {
	// Methods are HTTP methods; an empty list matches all.
	Methods []string `yaml:"methods,omitempty" json:"methods,omitempty"`
	// PathPrefix is matched against the path after /services/{service}.
	PathPrefix string `yaml:"path-prefix" json:"path-prefix"`
	// Idempotent says that repeating a call does no harm.
	Idempotent bool `yaml:"repeatable" json:"repeatable"`
	// KeyRequired says that calls without an Idempotency-Key header are refused.
	KeyRequired bool `yaml:"key-required,omitempty" json:"key-required,omitempty"`
}

// AcceptedManifest is the object that holds the manifest in force.
type AcceptedManifest struct {
	Generation Generation `json:"generation"`
	// CommitID identifies the commit, so that it can be found after a lost response.
	CommitID string `json:"commit-id"`
	// Operator is who committed the manifest, shown to operators whose commit lost to it.
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Manifest Manifest  `json:"manifest"`
	// Recent are the last accepted commits, including this one, oldest first, so that
	// an operator whose response was lost can find out what happened to a commit.
	Recent []CommitRecord `json:"recent,omitempty"`
}

// CommitRecord names an accepted commit.
type CommitRecord struct {
	Generation Generation `json:"generation"`
	CommitID   string     `json:"commit-id"`
	Operator   string     `json:"operator"`
	At         time.Time  `json:"at"`
}
