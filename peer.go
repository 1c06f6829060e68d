package garnetworks

import (
	"context"
	"strings"
	"time"
)

// NodeInfo describes an entry node. Like all types that are part of heartbeats, it
// is encoded with numbered fields between nodes to keep heartbeats small. A number is
// never reassigned to another field.
type NodeInfo struct {
	ID NodeID `json:"id" cbor:"1,keyasint"`
	// Incarnation increases with each start of the node's process.
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	// Address is where other nodes reach the node.
	Address string   `json:"address" cbor:"3,keyasint"`
	Zone    ZoneID   `json:"zone" cbor:"4,keyasint"`
	Region  RegionID `json:"region" cbor:"5,keyasint"`
	// Ready says that the node accepts calls.
	Ready bool `json:"ready" cbor:"6,keyasint"`
	// Program is the version of the node's program.
	Program string `json:"program" cbor:"7,keyasint"`
	// MilliCPU is the share of a core that the node may use, in thousandths; 0 if it is
	// unknown.
	MilliCPU int `json:"processor,omitempty" cbor:"8,keyasint,omitempty"`
}

// Roster is the list of a zone's entry nodes, stored as one object.
type Roster struct {
	Zone ZoneID `json:"zone"`
	// Nodes are sorted by ID.
	Nodes []NodeInfo `json:"nodes"`
	// Version increases with each change.
	Version uint64 `json:"version"`
	WriteID string `json:"write-id"`
}

// Topic names a value that is distributed to all nodes. The newest version
// wins.
type Topic string

// Topics; the per-zone topics, which end with a slash, are followed by the zone's name.
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

// CutTopic returns the topic without the leading prefix, such as a zone's name, and
// reports whether the topic begins with prefix.
func CutTopic(topic, prefix Topic) (string, bool) {
	return strings.CutPrefix(string(topic), string(prefix))
}

// UpdateVersion orders the versions of a topic's value.
type UpdateVersion struct {
	// Term is the writer's lease term; 0 if the object API orders the writes.
	Term uint32 `json:"term" cbor:"1,keyasint"`
	// Sequence numbers the versions within the term.
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

// GroupView is what routers know about a group.
type GroupView struct {
	ID       GroupID       `json:"id"`
	Zone     ZoneID        `json:"zone"`
	Domain   DomainID      `json:"domain"`
	Model    ModelName     `json:"model"`
	Version  VersionName   `json:"version"`
	Adapters []AdapterName `json:"adapters,omitempty"`
	Token    FencingToken  `json:"token"`
	// Address is the address of the first member.
	Address string       `json:"address"`
	State   GroupState   `json:"state"`
	Members []InstanceID `json:"members"`
	// Confirmed says that no member's confirmation is missing.
	Confirmed bool       `json:"confirmed"`
	Load      EngineLoad `json:"load"`
	// Slow marks a group that is a straggler by its latency.
	Slow bool `json:"slow,omitempty"`
}

// ServerView is what routers know about a plain service's backend server.
type ServerView struct {
	Instance InstanceID  `json:"instance"`
	Service  ServiceName `json:"service"`
	Zone     ZoneID      `json:"zone"`
	Address  string      `json:"address"`
	Leaving  bool        `json:"leaving,omitempty"`
}

// EngineView identifies an engine instance and the address to probe it at.
type EngineView struct {
	Instance InstanceID `json:"instance"`
	Address  string     `json:"address"`
}

// ZoneView is what a zone's controller tells all nodes about the zone's backend
// servers.
type ZoneView struct {
	Zone ZoneID `json:"zone"`
	// Controller is the node that holds the zone's lease; the zone's nodes report to it.
	Controller NodeInfo     `json:"controller"`
	Groups     []GroupView  `json:"groups"`
	Servers    []ServerView `json:"servers"`
	// Engines are the zone's engine instances, whether in groups or not, sorted by
	// Instance; the zone's nodes probe them.
	Engines []EngineView `json:"engines,omitempty"`
	// Metrics are the zone's group downtime and stranded time.
	Metrics ZoneMetrics `json:"measures"`
}

// ZoneMetrics are the two metrics that operators optimize, since the controller's start.
type ZoneMetrics struct {
	// GroupDowntime is the total time for which wanted groups did not serve.
	GroupDowntime time.Duration `json:"group-downtime"`
	// Stranded is the total time for which powered instances did not serve.
	Stranded time.Duration `json:"stranded"`
	// GroupsDown and InstancesStranded are the current numbers.
	GroupsDown        int `json:"groups-down"`
	InstancesStranded int `json:"instances-stranded"`
	// Drawn is the current pessimistic power draw, Limit the zone's grant.
	Drawn Watts `json:"drawn"`
	Limit Watts `json:"limit"`
}

// Demand is a node's demand for a workspace, averaged over a few seconds.
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
	// Versions are the newest versions that the sender holds, so that the receiver
	// can send what is missing.
	Versions map[Topic]UpdateVersion `json:"versions,omitempty" cbor:"3,keyasint,omitempty"`
	Demands  []Demand                `json:"demands,omitempty" cbor:"4,keyasint,omitempty"`
	// Confirmations are the results of the sender's probes that changed, with ages
	// instead of times.
	Confirmations []ProbeResult `json:"confirmations,omitempty" cbor:"5,keyasint,omitempty"`
	// Digest is a hash of the versions that the sender holds. Peers with equal digests
	// have nothing to send each other, so Versions stays empty.
	Digest uint64 `json:"digest,omitempty" cbor:"6,keyasint,omitempty"`
	// IndirectProbes are nodes that the sender can't reach. The receiver answers in Alive
	// and probes them itself.
	IndirectProbes []NodeInfo `json:"ask,omitempty" cbor:"7,keyasint,omitempty"`
	// Slow names the groups that are slower than comparable groups by the sender's
	// measurements.
	Slow []GroupSlowdown `json:"slow,omitempty" cbor:"8,keyasint,omitempty"`
	// Leaving says that the sender's process is stopping, so that it need not be
	// suspected before it counts as lost.
	Leaving bool `json:"leaving,omitempty" cbor:"9,keyasint,omitempty"`
}

// GroupSlowdown is a node's measurement of a group's latency.
type GroupSlowdown struct {
	Group GroupID `json:"group"`
	// Ratio is the group's time per token divided by that of the median group.
	Ratio float64 `json:"ratio"`
}

// AliveNode is a node's statement that another node is alive.
type AliveNode struct {
	ID          NodeID `json:"id" cbor:"1,keyasint"`
	Incarnation uint64 `json:"incarnation" cbor:"2,keyasint"`
	// Age is the time since the node was last heard from.
	Age time.Duration `json:"age" cbor:"3,keyasint"`
}

// ProbeResult is the result of a probe of an engine, as exchanged between nodes.
type ProbeResult struct {
	Status EngineStatus `json:"status"`
	// Age is the time since the probe was sent.
	Age time.Duration `json:"age"`
	// Failed says that the engine did not answer; only Status.Instance is then set.
	Failed bool `json:"failed,omitempty"`
}

// HeartbeatResponse answers a heartbeat.
type HeartbeatResponse struct {
	From    NodeInfo  `json:"from" cbor:"1,keyasint"`
	At      Timestamp `json:"at" cbor:"2,keyasint"`
	Updates []Update  `json:"updates,omitempty" cbor:"3,keyasint,omitempty"`
	// Versions are the versions that the responding node holds, so that the sender knows
	// what to send.
	Versions map[Topic]UpdateVersion `json:"versions,omitempty" cbor:"4,keyasint,omitempty"`
	// Digest is a hash of the versions that the responding node holds.
	Digest uint64 `json:"digest,omitempty" cbor:"5,keyasint,omitempty"`
	// Alive are those of HeartbeatRequest.IndirectProbes that the node has heard from.
	Alive []AliveNode `json:"heard,omitempty" cbor:"6,keyasint,omitempty"`
	// Introduced are nodes of the sender's zone, for a sender that its zone's roster does not
	// list yet and that may know none of them.
	Introduced []NodeInfo `json:"introduced,omitempty" cbor:"7,keyasint,omitempty"`
}

// DistributeRequest sends updates down the distribution tree.
type DistributeRequest struct {
	From    NodeID    `json:"from" cbor:"1,keyasint"`
	At      Timestamp `json:"at" cbor:"2,keyasint"`
	Updates []Update  `json:"updates" cbor:"3,keyasint"`
	// Targets are the addresses that the receiver forwards the updates to.
	Targets []string `json:"targets,omitempty" cbor:"4,keyasint,omitempty"`
	// Hops is the number of hops from the origin.
	Hops int `json:"hops" cbor:"5,keyasint"`
}

// DistributeResponse acknowledges receipt by the receiver only, not by Targets.
type DistributeResponse struct {
	At       Timestamp `json:"at"`
	Accepted int       `json:"accepted"`
}

// FetchRequest asks for the newest versions of topics; no topics means all.
type FetchRequest struct {
	At     Timestamp `json:"at"`
	Topics []Topic   `json:"topics,omitempty"`
}

// FetchResponse holds the topics that the responding node knows.
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

// EventsResponse holds events ordered by sequence number.
type EventsResponse struct {
	At     Timestamp `json:"at"`
	Node   NodeID    `json:"node"`
	Events []Event   `json:"events"`
	// Lost is the number of events after EventsRequest.After that were already
	// overwritten in the ring buffer.
	Lost uint64 `json:"lost"`
}

// StatusRequest asks a node for its view of the site.
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
	// ObjectAPIDown says that the node can't reach the object API at present.
	ObjectAPIDown bool `json:"object-api-down"`
}

// ProposeRequest submits a manifest to a node. Repeating it with the same commit ID
// never commits twice; the response then reports on the first commit.
type ProposeRequest struct {
	At Timestamp `json:"at"`
	// CommitID is generated by the operator's program and unique to the commit.
	CommitID string `json:"commit-id"`
	// Operator is who commits, for display.
	Operator string `json:"operator"`
	// Base is the generation that the manifest is based on; if accepted, the manifest
	// becomes generation Base+1.
	Base Generation `json:"base"`
	// Supersedes is the ID of the pending commit that this one replaces; empty if it
	// replaces none.
	Supersedes string `json:"supersedes,omitempty"`
	// Text is the manifest's YAML text, at most MaxObjectBytes long.
	Text []byte `json:"text"`
}

// ProposeResponse reports the progress of the commit.
type ProposeResponse struct {
	At       Timestamp      `json:"at"`
	Progress CommitProgress `json:"progress"`
}

// ProgressRequest asks for the progress of a commit; an empty CommitID means the
// newest one.
type ProgressRequest struct {
	At       Timestamp `json:"at"`
	CommitID string    `json:"commit-id,omitempty"`
	// WithManifest asks for the manifest that the node uses.
	WithManifest bool `json:"with-manifest,omitempty"`
}

// ProgressResponse reports the progress of the commit, as far as the node knows it.
type ProgressResponse struct {
	At       Timestamp      `json:"at"`
	Progress CommitProgress `json:"progress"`
	// Manifest is the JSON of the AcceptedManifest that the node uses; empty if it was
	// not requested or there is none.
	Manifest []byte `json:"manifest,omitempty"`
}

// ReportRequest sends a node's report to the node that collects the reports of its
// zone.
type ReportRequest struct {
	At     Timestamp  `json:"at"`
	Zone   ZoneID     `json:"zone"`
	Report NodeReport `json:"report"`
}

// ReportResponse acknowledges a report.
type ReportResponse struct {
	At Timestamp `json:"at"`
	// Manifest and Proposal are the newest ones that the receiver knows, so that the
	// sender finds out what it lacks.
	Manifest Generation `json:"manifest"`
	Proposal uint64     `json:"proposal"`
}

// NodeReport is a node's report on the manifest. Of two reports of one node, the one
// with the higher Incarnation, then Proposal, then Applied is newer.
type NodeReport struct {
	Node        NodeID `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Proposal is the number of the newest proposal that the node has checked.
	Proposal uint64 `json:"proposal"`
	// Refusal says why the node can't serve by the proposal; empty if the node has
	// staged it.
	Refusal string `json:"refusal,omitempty"`
	// Applied is the generation that the node uses; it never decreases within an
	// incarnation (rule G10).
	Applied Generation `json:"applied"`
	// StagedAt and AppliedAt are times on the node's own clock.
	StagedAt  time.Time `json:"staged-at,omitzero"`
	AppliedAt time.Time `json:"applied-at,omitzero"`
}

// ZoneReport combines the reports of a zone's nodes; it is the body of TopicStaged.
type ZoneReport struct {
	Zone ZoneID `json:"zone"`
	// Roster is the version of the zone's roster that the writer knew; a reader
	// with an older one does not know all nodes that must confirm.
	Roster uint64 `json:"roster"`
	// Nodes are sorted by node ID.
	Nodes []NodeReport `json:"nodes"`
}

// CommitState is the state of a commit.
type CommitState string

const (
	// CommitStaging commits wait for nodes to stage them.
	CommitStaging CommitState = "staging"
	// CommitHeld commits wait for a zone that does not answer.
	CommitHeld CommitState = "held"
	// CommitAccepted commits have become the manifest, but some nodes have yet to confirm.
	CommitAccepted CommitState = "accepted"
	// CommitInForce commits were confirmed by every live node of every zone that is not
	// excluded.
	CommitInForce CommitState = "in-force"
	// CommitRefused commits were refused and have no effect.
	CommitRefused CommitState = "refused"
	// CommitSuperseded commits were replaced by another commit on the same base and have
	// no effect.
	CommitSuperseded CommitState = "superseded"
	// CommitUnknown commits are not in the retained history.
	CommitUnknown CommitState = "unknown"
)

// CommitProgress is the progress of a commit.
type CommitProgress struct {
	CommitID string     `json:"commit-id"`
	Operator string     `json:"operator"`
	Base     Generation `json:"base"`
	// Proposal is the commit's proposal number.
	Proposal uint64      `json:"proposal"`
	State    CommitState `json:"state"`
	// Generation is the generation that the commit became; 0 if it was not accepted.
	Generation Generation `json:"generation,omitempty"`
	ProposedAt time.Time  `json:"proposed-at,omitzero"`
	AcceptedAt time.Time  `json:"accepted-at,omitzero"`
	InForceAt  time.Time  `json:"in-force-at,omitzero"`
	// Reason explains the states held, refused, superseded and unknown.
	Reason string `json:"reason,omitempty"`
	// Winner is the commit that was accepted instead of this one or has replaced it
	// since.
	Winner CommitRecord `json:"winner,omitzero"`
	// Zones are sorted by zone.
	Zones []ZoneProgress `json:"zones,omitempty"`
}

// ZoneProgress is the progress of a commit in one zone.
type ZoneProgress struct {
	Zone     ZoneID `json:"zone"`
	Excluded bool   `json:"left-out,omitempty"`
	// Live is the number of nodes that must confirm.
	Live int `json:"live"`
	// Unstaged and Unapplied are the live nodes that have yet to confirm each step.
	Unstaged  []NodeID `json:"unstaged,omitempty"`
	Unapplied []NodeID `json:"unapplied,omitempty"`
	// Nodes are the reports of the live nodes.
	Nodes []NodeReport `json:"nodes,omitempty"`
}

// PeerHandler handles the requests of other nodes.
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

// PeerCaller calls the node at an address. Errors are of kind KindUnreachable or
// KindResponseLost, or of the kind that the handler returned.
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
