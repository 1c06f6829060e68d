package garnetworks

import "context"

// FollowRequest asks a node for what has changed under a prefix that it follows
// in the object API. Fields are encoded by position, since it travels each second.
type FollowRequest struct {
	_      struct{} `cbor:",toarray"`
	Prefix string
	// After is the revision that the sender has; 0 asks for all objects.
	After Revision
	// WaitMS is how long the answer may wait for a change, in milliseconds.
	WaitMS int64
}

// FollowResponse tells what changed.
type FollowResponse struct {
	_  struct{} `cbor:",toarray"`
	At Timestamp
	// Snapshot says that Objects are all objects under the prefix, not changes.
	Snapshot bool
	Objects  []Object
	Revision Revision
	// WaitedMS is how long the answer waited, AgeMS how long before it left its
	// objects were the newest ones for certain, in milliseconds.
	WaitedMS, AgeMS int64
}

// FollowCaller asks other nodes by address. Errors are as for PeerCaller.
type FollowCaller interface {
	Follow(ctx context.Context, address string, request *FollowRequest) (*FollowResponse, error)
}

// FollowHandler answers FollowRequests.
type FollowHandler interface {
	Follow(ctx context.Context, request *FollowRequest) (*FollowResponse, error)
}

// GroupLoad is what some nodes have at a group.
type GroupLoad struct {
	_     struct{} `cbor:",toarray"`
	Group GroupID
	// Running is the number of calls that they have sent there and that have not
	// ended.
	Running int
	// ActiveNodes is the number of nodes that had an event from there a moment ago.
	ActiveNodes int
}

// ModelDemand is what some nodes are asked for.
type ModelDemand struct {
	_     struct{} `cbor:",toarray"`
	Model ModelName
	// CallsPerSecond is the number of calls that arrived in the last second or so.
	CallsPerSecond float64
}

// LoadReport is the load of one node, or the sum over nodes.
type LoadReport struct {
	_       struct{} `cbor:",toarray"`
	Groups  []GroupLoad
	Demands []ModelDemand
	// Suspects are groups that seem to stand still, newly since the last report.
	Suspects []GroupID
	// Lost are groups of which an instance was found dark, as long as it is. Only the
	// holder of the lease tells them.
	Lost []GroupID
	// Nodes is the number of nodes that the report covers.
	Nodes int
}

// ExchangeRequest brings a report and asks for the sum of all others.
type ExchangeRequest struct {
	_ struct{} `cbor:",toarray"`
	// From is the node, or the cell of nodes, that the report covers.
	From string
	// Cell says that the report is the sum of a cell.
	Cell   bool
	Report LoadReport
	// ContentRecords are records that changed a moment ago, or all that last if the nodes' sums
	// differed. ContentChecksum is ContentRecordStore.Checksum at the sender.
	ContentRecords  []ContentRecord
	ContentChecksum uint64
}

// ExchangeResponse brings the sum of the reports of all others that the node
// knows; that of its own cell if a cell asked.
type ExchangeResponse struct {
	_      struct{} `cbor:",toarray"`
	At     Timestamp
	Report LoadReport
	// ContentRecords and ContentSum are as in ExchangeRequest.
	ContentRecords  []ContentRecord
	ContentChecksum uint64
}

// ExchangeCaller sends reports to other nodes by address. Errors are as for
// PeerCaller.
type ExchangeCaller interface {
	Exchange(ctx context.Context, address string, request *ExchangeRequest) (*ExchangeResponse, error)
}

// ExchangeHandler answers ExchangeRequests.
type ExchangeHandler interface {
	Exchange(ctx context.Context, request *ExchangeRequest) (*ExchangeResponse, error)
}
