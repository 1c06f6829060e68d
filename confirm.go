package garnetworks

import "context"

// ConfirmRequest tells a node of the same zone the status of a list of engine
// instances, as the sender knows it. Fields are encoded by position to keep the
// message small, because it is sent every second.
type ConfirmRequest struct {
	_    struct{} `cbor:",toarray"`
	From NodeID
	// Incarnation distinguishes the sender's process from its earlier ones; Stamp
	// starts from 0 in each.
	Incarnation uint64
	// Stamp is the sender's monotonic time since its process started, in
	// milliseconds, read before the ages are computed.
	Stamp uint64
	// Echo is the Stamp of the receiver's last response, EchoAt the sender's
	// monotonic time when that response arrived, rounded up, and EchoIncarnation the
	// receiver's incarnation at that time; 0 before the first response. The receiver
	// uses them to compute the offset between the two clocks.
	Echo, EchoAt, EchoIncarnation uint64
	// Relayed says that the list is that of the sender's row in the zone's grid of
	// nodes, not only the instances that the sender probes itself.
	Relayed bool
	// BaseChecksum is the checksum of the list that Changed and Removed are relative
	// to; 0 is the empty list. It is also 0 if the receiver should already hold the
	// list of ListChecksum.
	BaseChecksum uint64
	// ListChecksum is the checksum of the list that Ages and Loads refer to.
	ListChecksum uint64
	// Changed are the statuses that differ from the base, without their loads.
	Changed []EngineStatus
	// Removed are the instances that are in the base but no longer in the list.
	Removed []InstanceID
	// Ages are the ages of the list's confirmations, ordered by instance, in units
	// of 20 ms rounded up; 255 means that there is none.
	Ages []byte
	// Loads holds four numbers for each instance that reports a load: its position
	// in the list, running and waiting requests, and the percentage of the cache in use.
	Loads []uint32
}

// ConfirmResponse answers a ConfirmRequest.
type ConfirmResponse struct {
	_  struct{} `cbor:",toarray"`
	At Timestamp
	// Incarnation distinguishes the receiver's process from its earlier ones.
	Incarnation uint64
	// Stamp is the receiver's monotonic time since its process started, in
	// milliseconds.
	Stamp uint64
	// ListChecksum is the checksum of the list that the receiver now holds.
	ListChecksum uint64
}

// ConfirmCaller sends confirmations to the node at an address. Its errors are
// those of PeerCaller.
type ConfirmCaller interface {
	Confirm(ctx context.Context, address string, request *ConfirmRequest) (*ConfirmResponse, error)
}

// ConfirmHandler handles the confirmations of other nodes.
type ConfirmHandler interface {
	Confirm(ctx context.Context, request *ConfirmRequest) (*ConfirmResponse, error)
}
