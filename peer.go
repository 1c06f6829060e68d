package garnetworks

import (
	"context"
	"strings"
	"time"
)

// NodeInfo describes an entry node. Like the other types that travel with each
// heartbeat, it has numbers for its fields between nodes: they shorten a
// heartbeat by a third, and are never given to another field.
type NodeInfo struct {
	ID NodeID `json:"id" cbor:"1,keyasint"`
	// Incarnation grows with each start of the node's process.
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	// Address is where the node's peers reach it.
	Address string   `json:"address" cbor:"3,keyasint"`
	Zone    ZoneID   `json:"zone" cbor:"4,keyasint"`
	Region  RegionID `json:"region" cbor:"5,keyasint"`
	// Ready says that the node takes calls.
	Ready bool `json:"ready" cbor:"6,keyasint"`
	// Program is the node's program version.
	Program string `json:"program" cbor:"7,keyasint"`
	// MilliCPU is the part of a core that the node may use, in thousandths; 0 if it is
	// not known.
	MilliCPU int `json:"processor,omitempty" cbor:"8,keyasint,omitempty"`
}

// Roster is the list of a zone's entry nodes, an object of its own.
type Roster struct {
	Zone ZoneID `json:"zone"`
	// Nodes are sorted by ID.
	Nodes []NodeInfo `json:"nodes"`
	// Version grows with each change.
	Version uint64 `json:"version"`
	WriteID string `json:"write-id"`
}

// Topic names a value that is distributed to all nodes; the newest version
// wins.
type Topic string

// Topics; those of a zone have the zone's name behind them.
const (
	TopicManifest         Topic = "manifest"
	TopicProposal         Topic = "proposal"
	TopicZoneView         Topic = "zone-view/"
	TopicZoneStatus       Topic = "zone-pulse/"
	TopicLimitShares      Topic = "shares/"
	TopicDemand           Topic = "demand/"
	TopicRoster           Topic = "roster/"
	TopicStaged           Topic = "staged/"
	TopicQuarantinedCalls Topic = "held-calls"
)

// CutTopic returns what stands behind the topic's first part, such as a zone's
// name, and whether the topic begins with it.
func CutTopic(topic, prefix Topic) (string, bool) {
	return strings.CutPrefix(string(topic), string(prefix))
}

// UpdateVersion orders the values of a topic.
type UpdateVersion struct {
	// Term is the writer's lease term, or 0 where the object API orders writes.
	Term uint32 `json:"term" cbor:"1,keyasint"`
	// Sequence counts within the term.
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
}

// Less reports whether v comes before w.
func (v UpdateVersion) Less(w UpdateVersion) bool {
	if v.Term != w.Term {
		return v.Term < w.Term
	}
	return v.Sequence < w.Sequence
}

// Update is one version of a topic's value.
type Update struct {
	Topic   Topic         `json:"topic" cbor:"1,keyasint"`
	Version UpdateVersion `json:"version" cbor:"2,keyasint"`
	Body    []byte        `json:"body" cbor:"3,keyasint"`
}

// GroupView is what routers know of a group.
type GroupView struct {
	ID       GroupID       `json:"id"`
	Zone     ZoneID        `json:"zone"`
	Domain   DomainID      `json:"domain"`
	Model    ModelName     `json:"model"`
	Version  VersionName   `json:"version"`
	Adapters []AdapterName `json:"adapters,omitempty"`
	Token    FencingToken  `json:"token"`
	// Address is the first member's.
	Address string       `json:"address"`
	State   GroupState   `json:"state"`
	Members []InstanceID `json:"members"`
	// Confirmed is false as soon as a member's confirmation is missing.
	Confirmed bool       `json:"confirmed"`
	Load      EngineLoad `json:"load"`
	// Slow marks a straggler by latency.
	Slow bool `json:"slow,omitempty"`
}

// ServerView is what routers know of a plain service's backend server.
type ServerView struct {
	Instance InstanceID  `json:"instance"`
	Service  ServiceName `json:"service"`
	Zone     ZoneID      `json:"zone"`
	Address  string      `json:"address"`
	Leaving  bool        `json:"leaving,omitempty"`
}

// EngineView names an engine instance and where it is probed.
type EngineView struct {
	Instance InstanceID `json:"instance"`
	Address  string     `json:"address"`
}

// ZoneView is what a zone's controller tells all nodes of the zone's backend
// servers.
type ZoneView struct {
	Zone ZoneID `json:"zone"`
	// Controller is the node that holds the zone's lease; nodes of the zone
	// report to it.
	Controller NodeInfo     `json:"controller"`
	Groups     []GroupView  `json:"groups"`
	Servers    []ServerView `json:"servers"`
	// Engines are the zone's engine instances, in groups or not, sorted by
	// Instance; the zone's nodes probe them.
	Engines []EngineView `json:"engines,omitempty"`
	// Metrics are the zone's counters of the two measures.
	Metrics ZoneMetrics `json:"measures"`
}

// ZoneMetrics are the users' two measures, counted since the controller's start.
type ZoneMetrics struct {
	// GroupDowntime sums the time that wanted groups did not serve.
	GroupDowntime time.Duration `json:"group-downtime"`
	// Stranded sums the time that powered instances did not serve.
	Stranded time.Duration `json:"stranded"`
	// GroupsDown and InstancesStranded are the numbers now.
	GroupsDown        int `json:"groups-down"`
	InstancesStranded int `json:"instances-stranded"`
	// Drawn is the pessimistic draw now, Limit the zone's grant.
	Drawn Watts `json:"drawn"`
	Limit Watts `json:"limit"`
}

// Demand is a node's demand for one workspace, averaged over some seconds.
type Demand struct {
	Workspace         WorkspaceName `json:"workspace"`
	RequestsPerSecond float64       `json:"requests-per-second"`
	TokensPerSecond   float64       `json:"tokens-per-second"`
	InFlight          int           `json:"in-flight"`
}

// HeartbeatRequest is sent between peers.
type HeartbeatRequest struct {
	From NodeInfo  `json:"from" cbor:"1,keyasint"`
	At   Timestamp `json:"at" cbor:"2,keyasint"`
	// Versions are the newest versions that the sender holds, so that the other
	// side can send what is missing.
	Versions map[Topic]UpdateVersion `json:"versions,omitempty" cbor:"3,keyasint,omitempty"`
	Demands  []Demand                `json:"demands,omitempty" cbor:"4,keyasint,omitempty"`
	// Confirmations are the changes that the sender's probes brought, with ages
	// in place of times.
	Confirmations []ProbeResult `json:"confirmations,omitempty" cbor:"5,keyasint,omitempty"`
	// Digest sums up the versions that the sender holds; peers with equal
	// digests have nothing to send each other, so Versions stays empty.
	Digest uint64 `json:"digest,omitempty" cbor:"6,keyasint,omitempty"`
	// IndirectProbes names nodes that the sender can't reach. The receiver answers in Alive
	// and tries them itself.
	IndirectProbes []NodeInfo `json:"ask,omitempty" cbor:"7,keyasint,omitempty"`
	// Slow names the groups that are slower than their like by the sender's
	// measurements.
	Slow []GroupSlowdown `json:"slow,omitempty" cbor:"8,keyasint,omitempty"`
	// Leaving says that the sender's process is stopping, so that its loss needs
	// no suspicion.
	Leaving bool `json:"leaving,omitempty" cbor:"9,keyasint,omitempty"`
}

// GroupSlowdown is a node's measurement of a group.
type GroupSlowdown struct {
	Group GroupID `json:"group"`
	// Ratio is the group's time for a token over the median group's.
	Ratio float64 `json:"ratio"`
}

// AliveNode is a node's word that another one lives.
type AliveNode struct {
	ID          NodeID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	// Age is the time since the node was last heard.
	Age time.Duration `json:"age" cbor:"3,keyasint"`
}

// ProbeResult is the result of a probe of an engine, as sent between nodes.
type ProbeResult struct {
	Status EngineStatus `json:"status"`
	// Age is the time since the probe was sent.
	Age time.Duration `json:"age"`
	// Failed says that the engine did not answer; Status then holds only the
	// instance.
	Failed bool `json:"failed,omitempty"`
}

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	From    NodeInfo  `json:"from" cbor:"1,keyasint"`
	At      Timestamp `json:"at" cbor:"2,keyasint"`
	Updates []Update  `json:"updates,omitempty" cbor:"3,keyasint,omitempty"`
	// Versions tells the sender what to send.
	Versions map[Topic]UpdateVersion `json:"versions,omitempty" cbor:"4,keyasint,omitempty"`
	// Digest sums up the versions that the answering node holds.
	Digest uint64 `json:"digest,omitempty" cbor:"5,keyasint,omitempty"`
	// Alive answers HeartbeatRequest.IndirectProbes: those of the nodes that were heard from.
	Alive []AliveNode `json:"heard,omitempty" cbor:"6,keyasint,omitempty"`
}

// DistributeRequest hands updates down the distribution tree.
type DistributeRequest struct {
	From    NodeID    `json:"from" cbor:"1,keyasint"`
	At      Timestamp `json:"at" cbor:"2,keyasint"`
	Updates []Update  `json:"updates" cbor:"3,keyasint"`
	// Targets are the addresses that the receiver passes the updates on to.
	Targets []string `json:"targets,omitempty" cbor:"4,keyasint,omitempty"`
	// Hops counts the steps from the origin.
	Hops int `json:"hops" cbor:"5,keyasint"`
}

// DistributeResponse acknowledges receipt by the receiver alone.
type DistributeResponse struct {
	At       Timestamp `json:"at"`
	Accepted int       `json:"accepted"`
}

// FetchRequest asks for the newest versions of topics; none asks for all.
type FetchRequest struct {
	At     Timestamp `json:"at"`
	Topics []Topic   `json:"topics,omitempty"`
}

// FetchResponse holds the topics that the peer knows.
type FetchResponse struct {
	At      Timestamp `json:"at"`
	Updates []Update  `json:"updates"`
}

// EventsRequest asks a node for its events.
type EventsRequest struct {
	At Timestamp `json:"at"`
	// After is the last sequence number that the reader has.
	After uint64 `json:"after"`
	Limit int    `json:"limit"`
}

// EventsResponse holds events in sequence order.
type EventsResponse struct {
	At     Timestamp `json:"at"`
	Node   NodeID    `json:"node"`
	Events []Event   `json:"events"`
	// Lost is the number of events after EventsRequest.After that the ring had
	// already overwritten.
	Lost uint64 `json:"lost"`
}

// StatusRequest asks a node for its view.
type StatusRequest struct {
	At Timestamp `json:"at"`
}

// StatusResponse is a node's view of the site.
type StatusResponse struct {
	At         Timestamp  `json:"at"`
	Node       NodeInfo   `json:"node"`
	Generation Generation `json:"generation"`
	Staged     Generation `json:"staged"`
	Leases     []string   `json:"leases"`
	Views      []ZoneView `json:"views"`
	Rosters    []Roster   `json:"rosters"`
	// ObjectAPIDown says that the node can't reach the object API now.
	ObjectAPIDown bool `json:"object-api-down"`
}

// ProposeRequest hands a manifest to a node. Repeating it with the same commit
// identifier never commits twice; the answer then tells how the first one went.
type ProposeRequest struct {
	At Timestamp `json:"at"`
	// CommitID is made by the operator's program and unique to the commit.
	CommitID string `json:"commit-id"`
	// Operator is who commits, for others to read.
	Operator string `json:"operator"`
	// Base is the generation that the manifest was made from; the manifest
	// becomes Base+1 or nothing.
	Base Generation `json:"base"`
	// Supersedes names the pending commit that this one takes the place of;
	// empty if there is none.
	Supersedes string `json:"supersedes,omitempty"`
	// Text is the manifest's YAML text, at most MaxObjectBytes long.
	Text []byte `json:"text"`
}

// ProposeResponse tells how the commit stands.
type ProposeResponse struct {
	At       Timestamp      `json:"at"`
	Progress CommitProgress `json:"progress"`
}

// ProgressRequest asks how a commit stands; an empty CommitID asks for the
// newest one.
type ProgressRequest struct {
	At       Timestamp `json:"at"`
	CommitID string    `json:"commit-id,omitempty"`
	// WithManifest asks for the manifest that the node decides by.
	WithManifest bool `json:"with-manifest,omitempty"`
}

// ProgressResponse tells how the commit stands, as the node knows it.
type ProgressResponse struct {
	At       Timestamp      `json:"at"`
	Progress CommitProgress `json:"progress"`
	// Manifest is the JSON of the AcceptedManifest that the node decides by; empty
	// if it was not asked for or there is none.
	Manifest []byte `json:"manifest,omitempty"`
}

// ReportRequest brings a node's report to the node that gathers the reports of
// its zone.
type ReportRequest struct {
	At     Timestamp  `json:"at"`
	Zone   ZoneID     `json:"zone"`
	Report NodeReport `json:"report"`
}

// ReportResponse acknowledges a report.
type ReportResponse struct {
	At Timestamp `json:"at"`
	// Manifest and Proposal are the newest that the receiver knows, so that the
	// sender sees what it lacks.
	Manifest Generation `json:"manifest"`
	Proposal uint64     `json:"proposal"`
}

// NodeReport is a node's word on the manifest. Of two reports of one node the
// one with the higher incarnation, then Proposal, then Applied is the newer.
type NodeReport struct {
	Node        NodeID `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Proposal is the number of the newest proposal that the node has judged.
	Proposal uint64 `json:"proposal"`
	// Refusal says why the node can't serve by the proposal; empty if it has
	// staged it.
	Refusal string `json:"refusal,omitempty"`
	// Applied is the generation that the node decides by; it never decreases
	// within an incarnation (rule G10).
	Applied Generation `json:"applied"`
	// StagedAt and AppliedAt are by the node's own clock.
	StagedAt  time.Time `json:"staged-at,omitzero"`
	AppliedAt time.Time `json:"applied-at,omitzero"`
}

// ZoneReport joins the reports of a zone's nodes; it is the body of TopicStaged.
type ZoneReport struct {
	Zone ZoneID `json:"zone"`
	// Roster is the version of the zone's roster that the writer knew; a reader
	// with an older one does not know all nodes that must confirm.
	Roster uint64 `json:"roster"`
	// Nodes are sorted by node.
	Nodes []NodeReport `json:"nodes"`
}

// CommitState says how far a commit has come.
type CommitState string

const (
	// CommitStaging commits wait for nodes to stage them.
	CommitStaging CommitState = "staging"
	// CommitHeld commits wait for a zone that does not answer.
	CommitHeld CommitState = "held"
	// CommitAccepted commits are the manifest; some nodes have yet to confirm.
	CommitAccepted CommitState = "accepted"
	// CommitInForce commits were confirmed by every live node of every zone that
	// is not left out.
	CommitInForce CommitState = "in-force"
	// CommitRefused commits were refused and change nothing.
	CommitRefused CommitState = "refused"
	// CommitSuperseded commits gave way to another commit on the same base and
	// change nothing.
	CommitSuperseded CommitState = "superseded"
	// CommitUnknown commits are not in the history that is kept.
	CommitUnknown CommitState = "unknown"
)

// CommitProgress tells how a commit stands.
type CommitProgress struct {
	CommitID string     `json:"commit-id"`
	Operator string     `json:"operator"`
	Base     Generation `json:"base"`
	// Proposal is the commit's number among the proposals.
	Proposal uint64      `json:"proposal"`
	State    CommitState `json:"state"`
	// Generation is what the commit became; 0 if it was not accepted.
	Generation Generation `json:"generation,omitempty"`
	ProposedAt time.Time  `json:"proposed-at,omitzero"`
	AcceptedAt time.Time  `json:"accepted-at,omitzero"`
	InForceAt  time.Time  `json:"in-force-at,omitzero"`
	// Reason explains held, refused, superseded and unknown.
	Reason string `json:"reason,omitempty"`
	// Winner is the commit that was accepted in place of this one or that has
	// replaced it since.
	Winner CommitRecord `json:"winner,omitzero"`
	// Zones are sorted by zone.
	Zones []ZoneProgress `json:"zones,omitempty"`
}

// ZoneProgress is a zone's part of a commit's progress.
type ZoneProgress struct {
	Zone     ZoneID `json:"zone"`
	Excluded bool   `json:"left-out,omitempty"`
	// Live is the number of nodes that must confirm.
	Live int `json:"live"`
	// Unstaged and Unapplied are the live nodes that have yet to confirm.
	Unstaged  []NodeID `json:"unstaged,omitempty"`
	Unapplied []NodeID `json:"unapplied,omitempty"`
	// Nodes are the reports of the live nodes.
	Nodes []NodeReport `json:"nodes,omitempty"`
}

// PeerHandler answers other nodes.
type PeerHandler interface {
	Heartbeat(ctx context.Context, request *HeartbeatRequest) (*HeartbeatResponse, error)
	Distribute(ctx context.Context, request *DistributeRequest) (*DistributeResponse, error)
	Fetch(ctx context.Context, request *FetchRequest) (*FetchResponse, error)
	Events(ctx context.Context, request *EventsRequest) (*EventsResponse, error)
	Status(ctx context.Context, request *StatusRequest) (*StatusResponse, error)
	Propose(ctx context.Context, request *ProposeRequest) (*ProposeResponse, error)
	Progress(ctx context.Context, request *ProgressRequest) (*ProgressResponse, error)
	Report(ctx context.Context, request *ReportRequest) (*ReportResponse, error)
}

// PeerCaller calls other nodes by address. Errors are of kind KindUnreachable
// or KindResponseLost, or the handler's own kind.
type PeerCaller interface {
	Heartbeat(ctx context.Context, address string, request *HeartbeatRequest) (*HeartbeatResponse, error)
	Distribute(ctx context.Context, address string, request *DistributeRequest) (*DistributeResponse, error)
	Fetch(ctx context.Context, address string, request *FetchRequest) (*FetchResponse, error)
	Events(ctx context.Context, address string, request *EventsRequest) (*EventsResponse, error)
	Status(ctx context.Context, address string, request *StatusRequest) (*StatusResponse, error)
	Propose(ctx context.Context, address string, request *ProposeRequest) (*ProposeResponse, error)
	Progress(ctx context.Context, address string, request *ProgressRequest) (*ProgressResponse, error)
	Report(ctx context.Context, address string, request *ReportRequest) (*ReportResponse, error)
}
