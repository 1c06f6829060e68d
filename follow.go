package garnetworks

import "context"

// FollowRequest asks a node for the changes under a prefix of the object API that
// it follows. Fields are encoded by position to keep the message small, because it
// is sent every second.
type FollowRequest struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	// After is the revision that the sender holds; 0 asks for all objects.
	After Revision
	// WaitMS is how long the receiver may wait for a change, in milliseconds, or FollowAnyAge.
	WaitMS int64
}

// FollowAnyAge as FollowRequest.WaitMS asks for the objects that the receiver has, whatever their age.
const FollowAnyAge = -1

// FollowResponse holds the changes.
type FollowResponse struct {
	_  struct{} `cbor:",toarray"`
	At Timestamp
	// Snapshot says that Objects are all objects under the prefix rather than changes.
	Snapshot bool
	Objects  []Object
	Revision Revision
	// WaitedMS is how long the receiver waited for a change. AgeMS bounds the age of the
	// response when it was sent: that long before, the objects are known to have been
	// the newest ones. Both are in milliseconds.
	WaitedMS, AgeMS int64
}

// FollowCaller sends FollowRequests to the node at an address. Its errors are those
// of PeerCaller.
type FollowCaller interface {
	Follow(ctx context.Context, address string, request *FollowRequest) (*FollowResponse, error)
}

// FollowHandler handles FollowRequests.
type FollowHandler interface {
	Follow(ctx context.Context, request *FollowRequest) (*FollowResponse, error)
}

// GroupLoad is the load that a set of nodes puts on a group.
type GroupLoad struct {
	_     struct{} `cbor:",toarray"`
	Group GroupID
	// Running is the number of calls in flight that the nodes sent to the group.
	Running int
	// ActiveNodes is the number of nodes that recently received an event from the group.
	ActiveNodes int
	// PrefillTokens is the number of prompt tokens of these calls that the group has yet to read.
	PrefillTokens int
}

// ModelDemand is the demand for a model at a set of nodes.
type ModelDemand struct {
	_     struct{} `cbor:",toarray"`
	Model ModelName
	// CallsPerSecond is the rate of arriving calls over the last second or so.
	CallsPerSecond float64
	Outcomes       CallOutcomes
}

// CallOutcomes are averages, per second, over the calls to a model that ended. A call that returns
// after a rejection is not counted again. Fields are encoded by position, because it is sent
// between nodes.
type CallOutcomes struct {
	_ struct{} `cbor:",toarray"`
	// OnTime are the calls whose first event and pauses were within their objectives, Late those
	// that were answered otherwise or whose answer broke off, Rejected those that no group took
	// in time.
	OnTime, Late, Rejected float32
	// PromptTokens and OutputTokens are the tokens of these calls, including those of rejected
	// ones.
	PromptTokens, OutputTokens float32
	// Objective and MaxGap are the sums of the calls' limits in seconds, Priority that of their
	// priorities.
	Objective, MaxGap, Priority float32
}

// Ended returns the calls that ended per second.
func (o *CallOutcomes) Ended() float64 {
	return float64(o.OnTime) + float64(o.Late) + float64(o.Rejected)
}

// Add adds the outcomes of other calls, multiplied by a factor; -1 removes them. No field becomes
// negative.
func (o *CallOutcomes) Add(other *CallOutcomes, factor float32) {
	add := func(field *float32, n float32) { *field = max(0, *field+factor*n) }
	add(&o.OnTime, other.OnTime)
	add(&o.Late, other.Late)
	add(&o.Rejected, other.Rejected)
	add(&o.PromptTokens, other.PromptTokens)
	add(&o.OutputTokens, other.OutputTokens)
	add(&o.Objective, other.Objective)
	add(&o.MaxGap, other.MaxGap)
	add(&o.Priority, other.Priority)
}

// Scale multiplies all fields.
func (o *CallOutcomes) Scale(factor float32) {
	scaled := CallOutcomes{}
	scaled.Add(o, factor)
	*o = scaled
}

// LoadReport is the load of one node, or the sum over nodes.
type LoadReport struct {
	_       struct{} `cbor:",toarray"`
	Groups  []GroupLoad
	Demands []ModelDemand
	// Suspects are groups newly suspected of having stalled since the last report.
	Suspects []GroupID
	// Lost are groups with an instance that was found unresponsive, for as long as it
	// stays so. Only the holder of the lease reports them.
	Lost []GroupID
	// Nodes is the number of nodes that the report covers.
	Nodes int
	// Limits are the limits that servers recently named, or ceased to name, to the nodes that
	// the report covers.
	Limits []ServerLimit
	// LeaseHolder is the node that holds the lease of the groups, LeaseTerm its term; empty and 0
	// if the report covers no holder.
	LeaseHolder NodeID
	LeaseTerm   uint32
}

// ServerLimit is the limit of calls that a server named in an answer. Fields are encoded by
// position, because it is sent between nodes.
type ServerLimit struct {
	_        struct{} `cbor:",toarray"`
	Instance InstanceID
	StartMS  int64
	// CallsPerSecond is what the server takes from all nodes together; below 0 if it names no
	// limit any more.
	CallsPerSecond float64
	// AgeMS is how long ago the answer arrived, in milliseconds; at least 0.
	AgeMS int64
}

// Incarnation returns the incarnation of the server.
func (l *ServerLimit) Incarnation() Incarnation {
	return Incarnation{Instance: l.Instance, StartMS: l.StartMS}
}

// ExchangeRequest carries a load report and asks for the sum of all others.
type ExchangeRequest struct {
	_ struct{} `cbor:",toarray"`
	// From is the node or the cell of nodes that the report covers.
	From string
	// Cell says that the report is the sum over a cell.
	Cell   bool
	Report LoadReport
	// Partial says that the sending head does not know yet what the nodes of its cell report.
	Partial bool
	// Starting says that the node has just started and asks for what the responding node has
	// observed.
	Starting bool
	// ContentRecords are the records that changed recently, or all retained ones if the two
	// nodes' checksums differed. ContentChecksum is the sender's ContentRecordStore.Checksum.
	ContentRecords  []ContentRecord
	ContentChecksum uint64
}

// ExchangeResponse carries the sum of all other reports that the responding node knows,
// or the sum over its own cell if a cell asked.
type ExchangeResponse struct {
	_      struct{} `cbor:",toarray"`
	At     Timestamp
	Report LoadReport
	// Partial says that the node vouches for nothing: it has been head of its cell for too short
	// a time to have a report of each node.
	Partial bool
	// AgeMS is the age of a sum that the node has from the head of its cell, at least 1; 0 if it
	// computed the sum from reports.
	AgeMS int64
	// Observations is for a node that has just started; else it is empty.
	Observations Observations
	// ContentRecords and ContentChecksum are as in ExchangeRequest.
	ContentRecords  []ContentRecord
	ContentChecksum uint64
}

// Observations is what a node has observed of the models that it calls, for a node that has none
// of its own.
type Observations struct {
	_      struct{} `cbor:",toarray"`
	Models []ModelObservations
}

// ModelObservations are averages over a node's calls to a model, and the windows of its groups.
type ModelObservations struct {
	_     struct{} `cbor:",toarray"`
	Model ModelName
	// FirstEventMS is the average time from dispatch to first event, ServiceMS to the end of the
	// call; 0 if unknown.
	FirstEventMS, ServiceMS int64
	// AgeMS is how long ago the last first event was observed.
	AgeMS   int64
	Windows []GroupWindow
}

// GroupWindow is the number of calls from the whole site that a node allows at a group.
type GroupWindow struct {
	_     struct{} `cbor:",toarray"`
	Group GroupID
	Calls float64
}

// ExchangeCaller sends reports to the node at an address. Its errors are those of
// PeerCaller.
type ExchangeCaller interface {
	Exchange(ctx context.Context, address string, request *ExchangeRequest) (*ExchangeResponse, error)
}

// ExchangeHandler handles ExchangeRequests.
type ExchangeHandler interface {
	Exchange(ctx context.Context, request *ExchangeRequest) (*ExchangeResponse, error)
}
