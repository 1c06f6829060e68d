package garnetworks

import (
	"cmp"
	"time"
)

// RouteKind says what may be done again with the calls of a route.
type RouteKind string

const (
	// RouteSafe calls may run more than once.
	RouteSafe RouteKind = "safe"
	// RouteUnsafe calls may run once at most for each receipt.
	RouteUnsafe RouteKind = "unsafe"
	// RouteStreaming calls are answered by a series of events. They may run
	// again only where the route is Resumable.
	RouteStreaming RouteKind = "streaming"
)

// Routing is a configuration of the routes that a site's operators stated as a
// whole. Nobody changes it after it was decoded.
type Routing struct {
	// Version grows with each configuration, in uneven steps; a node never
	// applies a lower one than it has applied before (rule G10).
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
	// begins a path, the longest one counts.
	PathPrefix string
	Kind       RouteKind
	// Timeout is the longest time for which a call may be kept waiting.
	Timeout time.Duration
	// Objective is the time by which an answer, or a stream's first event, is on
	// time; from the client's first attempt.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that is on
	// time; 0 for other kinds.
	MaxGap time.Duration
	// Priority ranks the route's calls; 0 is the most urgent.
	Priority int
	// Targets has at least one entry with a weight above 0.
	Targets []RouteTarget
	// MaxAttempts is the most backend servers that one receipt may be sent to;
	// above 0.
	MaxAttempts int
	// Public routes need no workspace key.
	Public bool
	// Resumable streams may go on at another group after the last event that the
	// client has got.
	Resumable bool
}

// Idempotent reports whether a second run of a call of the route does no harm.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStreaming && r.Resumable
}

// RouteTarget is a service that gets a part of a route's calls.
type RouteTarget struct {
	Service ServiceName
	// Weight is 0 or above; the part is Weight over the sum of the weights.
	Weight float64
}

// RoutedService is a service that routes lead to.
type RoutedService struct {
	Name ServiceName
	// HealthPath is where its backend servers answer whether they are healthy.
	HealthPath string
	// MaxConnections is the most connections that one backend server accepts,
	// from all callers together.
	MaxConnections int
	// Engines is set if the backend servers are model engines.
	Engines Option[EngineProfile]
}

// EngineProfile is what the operators state of a service's model engines.
type EngineProfile struct {
	// Slots is the number of calls that a group works on together.
	Slots int
	// CacheTokens is a group's memory, in tokens of context.
	CacheTokens int
	// Models are the models that groups may be formed for.
	Models []ModelProfile
	// StepsPerPass is the number of token steps in one pass of an engine; calls that
	// wait are let in between two passes.
	StepsPerPass int
	// StepTime is the time of one token step without calls; StepTimePerCall is added for
	// each call that is being answered.
	StepTime, StepTimePerCall time.Duration
	// StepTimePerThousandTokens is added for each thousand tokens of the calls' context.
	StepTimePerThousandTokens time.Duration
	// PrefillRate is the number of prompt tokens read in a second.
	PrefillRate float64
	// MeanPromptTokens and MeanOutputTokens are mean numbers of tokens.
	MeanPromptTokens, MeanOutputTokens int
	// FormTime is the time from the order to open a group to its first call.
	FormTime time.Duration
	// LoadsPerSecond and MaxConcurrentLoads bound the weight store: loads that begin in
	// a second, and loads that run together without slowing each other down.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// ReportLag is the age of what an engine reports of its load.
	ReportLag time.Duration
}

// ModelProfile describes the groups of a model.
type ModelProfile struct {
	Name ModelName
	// GroupSize is the number of instances in a group; above 0.
	GroupSize int
	// InitialShare is the model's part of the work when the site starts.
	InitialShare float64
	// TimeFactor is a factor on all times of a group of the model; above 0.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store; WarmLoadTime
	// that to load them from the instance's own memory.
	LoadTime, WarmLoadTime time.Duration
}

// RoutedWorkspace is a workspace with its keys.
type RoutedWorkspace struct {
	Name WorkspaceName
	Keys []string
	// Priority takes the place of the route's, if it is present.
	Priority Option[int]
}

// RequestLimits bound what a client may send.
type RequestLimits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTime is the longest time for a request's headers; IdleTime that for
	// which a connection may be kept unused.
	HeaderTime, IdleTime time.Duration
}

// MemberState is an instance's state in a group that it was ordered to join.
type MemberState string

const (
	// MemberNone: the instance is in no group.
	MemberNone MemberState = ""
	// MemberJoining instances load the model.
	MemberJoining MemberState = "joining"
	// MemberReady instances hold the model; the group does not serve.
	MemberReady MemberState = "ready"
	// MemberOpen is the state of the head of a group that serves.
	MemberOpen MemberState = "open"
	// MemberClosing heads finish their calls and take no new ones.
	MemberClosing MemberState = "closing"
	// MemberBroken heads have stood still for too long because a member was
	// missing.
	MemberBroken MemberState = "broken"
)

// InheritFrom adds to an entry what the instance's earlier entry told and this one doesn't.
//
// Failure: an engine that has left its group tells no model, and keeps the weights in
// its memory. Survivors of a lost group were taken for engines that need a load of 12
// to 16 s, and were left out where they would have joined in 0.2 s.
//
// Failure: an engine crashes and starts again under its identifier within a heartbeat,
// so that its entry never vanishes. It was taken for one that had left its group and
// kept the weights, and its group's head went on taking calls that never moved.
func (s *RegisteredServer) InheritFrom(old *RegisteredServer) {
	s.PreviousMembership = old.PreviousMembership
	switch {
	case old.Incarnation() == s.Incarnation():
		s.Model = cmp.Or(s.Model, old.Model)
	case old.Membership.Group != "":
		s.PreviousMembership = old.Membership
	}
}

// Incarnation is one run of an instance's process. An instance may start again under its
// identifier and knows nothing of before: it is in no group, holds no weights in memory
// and has taken no order. What is remembered of an instance is kept by its life, so
// that a word of an earlier one can't be taken for the present one's.
type Incarnation struct {
	Instance InstanceID
	// StartMS is RegisteredServer's. Incarnations are told apart by it, not put in order: an
	// instance's clock may go back between two of them.
	StartMS int64
}

// Compare orders incarnations by instance, and by start among those of one instance.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Instance, other.Instance), cmp.Compare(i.StartMS, other.StartMS))
}

// Membership is an instance's own word on the group that it belongs to.
type Membership struct {
	Group GroupID
	// Epoch orders the memberships of an instance; orders with a lower one are
	// refused.
	Epoch FencingToken
	// Rank is the position in the group's members; rank 0, the head, takes the
	// calls.
	Rank  int
	State MemberState
}

// RegisteredServer is a backend server as it registered itself with the
// platform.
type RegisteredServer struct {
	ListedInstance
	// StartMS is when the server's process started, in Unix milliseconds of its own clock;
	// 0 if it does not say.
	StartMS int64
	// Slots is the number of calls that it works on together.
	Slots int
	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration
	// Model is the model that the engine has in its memory: that of its group, or of
	// the last one since its start, as far as the node has seen it. Staged are those
	// on its host.
	Model  ModelName
	Staged []ModelName
	// Membership is the engine's own word on its group.
	Membership Membership
	// PreviousMembership is the membership of the instance's earlier life, as far as the node has
	// seen it. That group has lost a member for certain, and nothing brings it back.
	PreviousMembership Membership
}

// Incarnation returns the run of the server's process that the entry is of.
func (s *RegisteredServer) Incarnation() Incarnation {
	return Incarnation{Instance: s.ID, StartMS: s.StartMS}
}

// SiteBounds are the times and numbers within which a site expects its rules to
// be kept. They come with the node's settings.
type SiteBounds struct {
	// ApplyTime is the time from a configuration's acknowledgement to its use.
	ApplyTime time.Duration
	// RevokeTime is the time after which a key that was taken away must not be
	// honoured by any node, whether it reaches the object API or not.
	RevokeTime time.Duration
	// LeavingTime is the time after which a leaving server gets no new work.
	LeavingTime time.Duration
	// StopGrace is the time from a planned stop's signal to the kill.
	StopGrace time.Duration
	// StallTime is how long a group stands still before it breaks.
	StallTime time.Duration
	// RetryRatio and RetrySlack bound the repeated attempts of the whole site in
	// RetryWindow.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// LoadWindow and LoadOverage bound the loads that begin in a window.
	LoadWindow  time.Duration
	LoadOverage float64
}

// NodeSettings is what a node learns from the platform when it starts.
type NodeSettings struct {
	Node   NodeID
	Zone   ZoneID
	Region RegionID
	IP     string
	// CallAddress and ReadinessAddress are the addresses to listen on for calls and for the
	// balancer's question whether the node wants new connections.
	CallAddress, ReadinessAddress string
	// PeerAddress is the address to listen on for other nodes, and Seeds are those of some
	// of them, which may be gone.
	PeerAddress string
	Seeds       []string
	// PeerPorts are the first and the last port that are free for traffic between
	// nodes.
	PeerPorts [2]int
	// ObjectAPI is the address of the platform's store.
	ObjectAPI string
	// HeartbeatInterval is the time between two heartbeats of a backend server.
	HeartbeatInterval time.Duration
	// FirstStart is set when the whole site starts for the first time.
	FirstStart bool
	// MemoryBytes is the most memory that the process may take.
	// MilliCPU is the part of a core that the node may use, in thousandths; 0 if it is
	// not known.
	MilliCPU    int
	MemoryBytes int64
	Bounds      SiteBounds
}
