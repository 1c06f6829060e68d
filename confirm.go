package garnetworks

import "context"

// ConfirmRequest tells a node of the same zone what the sender knows of some
// engine instances, its list. Fields are encoded by position, since it travels
// each second.
type ConfirmRequest struct {
	_    struct{} `cbor:",toarray"`
	From NodeID
	// Incarnation tells the sender's process from its earlier ones; each starts
	// Stamp anew.
	Incarnation uint64
	// Stamp is the sender's monotonic time since its process started, in
	// milliseconds, read before the ages.
	Stamp uint64
	// Echo is the Stamp of the receiver's last answer, EchoAt the sender's
	// monotonic time when that answer had come, rounded up, and EchoIncarnation the
	// receiver's incarnation then; 0 before the first answer. They tell the
	// receiver how the two clocks relate.
	Echo, EchoAt, EchoIncarnation uint64
	// Relayed says that the list is of the sender's row of the zone, not only of
	// the instances that it probes itself.
	Relayed bool
	// BaseChecksum is the checksum of the list that Changed and Removed refer to; 0 is
	// the empty list. It is 0, too, if the receiver should hold List already.
	BaseChecksum uint64
	// ListChecksum is the checksum of the list that Ages and Loads refer to.
	ListChecksum uint64
	// Changed are the statuses that are not in the base, without their loads.
	Changed []EngineStatus
	// Removed are the instances of the base that are not in the list.
	Removed []InstanceID
	// Ages are the ages of the list's confirmations, in order of instance, in
	// units of 20 ms rounded up; 255 stands for none.
	Ages []byte
	// Loads holds four numbers for each instance that has a load: its position
	// in the list, running, waiting, and the used share of the cache in percent.
	Loads []uint32
}

// ConfirmResponse answers a ConfirmRequest.
type ConfirmResponse struct {
	_  struct{} `cbor:",toarray"`
	At Timestamp
	// Incarnation tells the receiver's process from its earlier ones.
	Incarnation uint64
	// Stamp is the receiver's monotonic time since its process started, in
	// milliseconds.
	Stamp uint64
	// ListChecksum is the checksum of the list that the receiver holds now.
	ListChecksum uint64
}

// ConfirmCaller sends confirmations to another node by address. Errors are as
// for PeerCaller.
type ConfirmCaller interface {
	Confirm(ctx context.Context, address string, request *ConfirmRequest) (*ConfirmResponse, error)
}

// ConfirmHandler answers ConfirmRequests.
type ConfirmHandler interface {
	Confirm(ctx context.Context, request *ConfirmRequest) (*ConfirmResponse, error)
}
