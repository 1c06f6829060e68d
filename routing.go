package garnetworks

import (
	"cmp"
	"time"
)

// RouteKind says whether the calls of a route may be repeated.
type RouteKind string

const (
	// RouteSafe calls may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe calls may run at most once per received request.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStreaming calls are answered with a stream of events. They may run
	// again only if the route is Resumable.
	RouteStreaming RouteKind = "streaming"
)

// Routing is a complete configuration of a site's routes by its operators. It is
// immutable after decoding.
type Routing struct {
	// Version increases with each configuration, not always by one; a node never
	// applies a version lower than one it has applied before (rule G10).
	Version    uint64
	Routes     []Route
	Services   []RoutedService
	Workspaces []RoutedWorkspace
	Limits     RequestLimits
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash. Of a host's routes whose prefix
	// matches a path, the one with the longest prefix applies.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time that a call may wait for its response.
	Timeout time.Duration
	// Objective is the time, counted from the client's first attempt, within which a
	// response or the first event of a stream must arrive to be on time.
	Objective time.Duration
	// MaxGap is the longest pause between two events for a stream to be on time; 0 for
	// other kinds of routes.
	MaxGap time.Duration
	// Priority orders the calls of different routes; 0 is the most urgent.
	Priority int
	// Targets has at least one target with a weight above 0.
	Targets []RouteTarget
	// MaxAttempts is the most backend servers that one received request may be sent to;
	// above 0.
	MaxAttempts int
	// Public says that the route needs no workspace key.
	Public bool
	// Resumable says that a stream may be continued by another group after the last
	// event that the client received.
	Resumable bool
}

// Idempotent reports whether repeating a call of the route does no harm.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStreaming && r.Resumable
}

// RouteTarget is a service that receives a share of a route's calls.
type RouteTarget struct {
	Service ServiceName
	// Weight is 0 or above; the share is Weight divided by the sum of all targets' weights.
	Weight float64
}

// RoutedService is a service that routes can target.
type RoutedService struct {
	Name ServiceName
	// HealthPath is the path of the backend servers' health check.
	HealthPath string
	// MaxConnections is the most connections that one backend server accepts
	// from all callers together.
	MaxConnections int
	// ColdCallsPerSecond is the rate of calls that a server takes while it warms up; 0 if it
	// is not limited.
	ColdCallsPerSecond float64
	// Engines is present if the backend servers are model engines.
	Engines Option[EngineProfile]
}

// EngineProfile describes a service's model engines, as the operators configured them.
type EngineProfile struct {
	// Slots is the number of calls that a group processes in one batch.
	Slots int
	// CacheTokens is the size of a group's KV cache in tokens.
	CacheTokens int
	// Models are the models that groups may serve.
	Models []ModelProfile
	// StepsPerPass is the number of token steps in one pass of an engine; waiting calls
	// are admitted between passes.
	StepsPerPass int
	// StepTime is the time of one token step without calls; StepTimePerCall is added for
	// each running call.
	StepTime, StepTimePerCall time.Duration
	// StepTimePerThousandTokens is added for each thousand tokens of the calls' contexts.
	StepTimePerThousandTokens time.Duration
	// PrefillRate is the number of prompt tokens processed per second.
	PrefillRate float64
	// MeanPromptTokens and MeanOutputTokens are the mean lengths of prompt and output.
	MeanPromptTokens, MeanOutputTokens int
	// FormTime is the time from the order to open a group until it can take its first call.
	FormTime time.Duration
	// LoadsPerSecond and MaxConcurrentLoads are limits of the weight store: how many loads
	// may begin per second, and how many can run in parallel without slowing each other.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// ReportLag is the age of the load that an engine reports.
	ReportLag time.Duration
}

// PassTime returns the time of a pass of a full batch of the model without prompts.
func (p *EngineProfile) PassTime(m *ModelProfile) time.Duration {
	step := p.StepTime + time.Duration(p.Slots)*p.StepTimePerCall
	return time.Duration(float64(p.StepsPerPass) * float64(step) * m.TimeFactor)
}

// ModelProfile describes the groups of a model.
type ModelProfile struct {
	Name ModelName
	// GroupSize is the number of instances in a group; above 0.
	GroupSize int
	// InitialShare is the model's expected share of the work when the site starts.
	InitialShare float64
	// TimeFactor scales all times of a group of the model; above 0.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store, WarmLoadTime
	// the time to load them from the instance's own memory.
	LoadTime, WarmLoadTime time.Duration
}

// RoutedWorkspace is a workspace and its keys.
type RoutedWorkspace struct {
	Name WorkspaceName
	Keys []string
	// Priority replaces the route's priority if it is present.
	Priority Option[int]
}

// RequestLimits limit what clients may send.
type RequestLimits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTime is the longest time for receiving a request's headers; IdleTime is how
	// long an unused connection is kept open.
	HeaderTime, IdleTime time.Duration
}

// MemberState is the state of an instance in a group that it was ordered to join.
type MemberState string

const (
	// MemberNone instances are in no group.
	MemberNone MemberState = ""
	// MemberJoining instances are loading the model.
	MemberJoining MemberState = "joining"
	// MemberReady instances have loaded the model; the group does not serve yet.
	MemberReady MemberState = "ready"
	// MemberOpen heads belong to a group that serves.
	MemberOpen MemberState = "open"
	// MemberClosing heads finish their calls and take no new ones.
	MemberClosing MemberState = "closing"
	// MemberBroken heads have stalled for too long because a member was missing.
	MemberBroken MemberState = "broken"
)

// InheritFrom adds to an entry what only the instance's previous entry holds: the model in
// memory if the process is the same, and the lost membership if it has restarted.
//
// An engine that has left its group reports no model but still holds the weights; without
// this it would be treated as if it needed a full load. An engine that crashes and restarts
// within a heartbeat keeps its identifier, and its entry never disappears; without this it
// would be treated as if it still held the weights, and its group as if it were complete.
func (s *RegisteredServer) InheritFrom(old *RegisteredServer) {
	s.PreviousMembership = old.PreviousMembership
	switch {
	case old.Incarnation() == s.Incarnation():
		s.Model = cmp.Or(s.Model, old.Model)
	case old.Membership.Group != "":
		s.PreviousMembership = old.Membership
	}
}

// Incarnation is one run of an instance's process. An instance can restart under the same
// identifier; the new process is in no group, holds no weights in memory and has executed
// no order. State that is kept about an instance is keyed by Incarnation, so that reports
// of an earlier run are not attributed to the current one.
type Incarnation struct {
	Instance InstanceID
	// StartMS is that of RegisteredServer. It distinguishes incarnations but does not order
	// them: an instance's clock may go back between two runs.
	StartMS int64
}

// Compare orders incarnations by instance, then by start time, for sorting only.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Instance, other.Instance), cmp.Compare(i.StartMS, other.StartMS))
}

// Membership is an instance's own report on the group that it belongs to.
type Membership struct {
	Group GroupID
	// Epoch orders the memberships of an instance; orders with a lower epoch are
	// refused.
	Epoch FencingToken
	// Rank is the instance's position among the group's members; the member with rank 0,
	// the head, takes the calls.
	Rank  int
	State MemberState
}

// RegisteredServer is a backend server as it has registered itself with the
// platform.
type RegisteredServer struct {
	ListedInstance
	// StartMS is when the server's process started, in Unix milliseconds of its own clock;
	// 0 if it does not report it.
	StartMS int64
	// Slots is the number of calls that the server processes concurrently.
	Slots int
	// WarmupRemaining is how much longer the server stayed cold when it wrote the entry.
	WarmupRemaining time.Duration
	// WarmAt is when the server is warm, by the node's own clock; zero if the node knows of no
	// warm-up. A node sets it when it receives the entry.
	WarmAt time.Time
	// Model is the model in the engine's memory: that of its group or, if it is in none, of
	// its last group since its start, as far as the node has seen. Staged are the models on
	// its host.
	Model  ModelName
	Staged []ModelName
	// Membership is the engine's own report on its group.
	Membership Membership
	// PreviousMembership is the membership of the instance's previous incarnation, as far as
	// the node has seen. That group has lost a member permanently.
	PreviousMembership Membership
}

// Incarnation returns the run of the server's process that the entry belongs to.
func (s *RegisteredServer) Incarnation() Incarnation {
	return Incarnation{Instance: s.ID, StartMS: s.StartMS}
}

// SiteBounds are the times and numbers within which a site requires its rules to be
// kept. They come from the node's settings.
type SiteBounds struct {
	// ApplyTime is the time from the acknowledgement of a configuration until it is in use.
	ApplyTime time.Duration
	// RevokeTime is the time after which no node may accept a revoked key, whether it
	// reaches the object API or not.
	RevokeTime time.Duration
	// LeavingTime is the time after which a leaving server must get no new work.
	LeavingTime time.Duration
	// StopGrace is the time from the signal of a planned stop to the kill.
	StopGrace time.Duration
	// StallTime is how long a group stalls before it breaks.
	StallTime time.Duration
	// RetryRatio and RetrySlack limit the retries of the whole site in a RetryWindow: a
	// fraction of the calls, plus a constant number.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// LoadOverage is the number of loads that may begin in a LoadWindow, as a multiple of
	// what EngineProfile.LoadsPerSecond permits.
	LoadWindow  time.Duration
	LoadOverage float64
	// EvacuationTime is the time from the acknowledgement of an evacuation after which the
	// zone's servers must get no calls.
	EvacuationTime time.Duration
	// ColdOverage and ColdSlack bound the calls that a cold server gets in a second from all
	// nodes: a multiple of RoutedService.ColdCallsPerSecond, plus a constant number.
	ColdOverage, ColdSlack float64
}

// NodeSettings are the settings that a node gets from the platform when it starts.
type NodeSettings struct {
	Node   NodeID
	Zone   ZoneID
	Region RegionID
	IP     string
	// CallAddress and ReadinessAddress are the addresses to listen on for calls and for the
	// load balancer's readiness checks.
	CallAddress, ReadinessAddress string
	// PeerAddress is the address to listen on for other nodes. Seeds are the peer addresses
	// of some of them, which may no longer exist.
	PeerAddress string
	Seeds       []string
	// PeerPorts are the first and the last port that are free for traffic between nodes.
	PeerPorts [2]int
	// ObjectAPI is the address of the platform's object store.
	ObjectAPI string
	// HeartbeatInterval is the time between two heartbeats of a backend server.
	HeartbeatInterval time.Duration
	// FirstStart says that the whole site is starting for the first time.
	FirstStart bool
	// MilliCPU is the share of a core that the node may use, in thousandths; 0 if it is
	// unknown. MemoryBytes is the most memory that the process may use, and MaxConnections the
	// most connections that it may have open in both directions; 0 if they are unknown.
	MilliCPU       int
	MemoryBytes    int64
	MaxConnections int
	Bounds         SiteBounds
}
