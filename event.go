package garnetworks

import "time"

// Timestamp is a hybrid logical clock reading: it never goes back at a node
// and is above every timestamp that the node has seen.
type Timestamp struct {
	// Wall is milliseconds since the Unix epoch, the highest seen anywhere.
	Wall int64 `json:"wall" cbor:"1,keyasint"`
	// Logical orders timestamps with equal Wall.
	Logical uint32 `json:"logical" cbor:"2,keyasint"`
}

// Before reports whether t comes before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Time returns the wall part as a time.
func (t Timestamp) Time() time.Time { return time.UnixMilli(t.Wall) }

// EventKind is a kind of event on the time line.
type EventKind string

// The kinds of events.
const (
	EventNodeStarted          EventKind = "node-started"
	EventNodeStopping         EventKind = "node-stopping"
	EventNodeJoined           EventKind = "node-joined"
	EventNodeLost             EventKind = "node-lost"
	EventNodeSuspected        EventKind = "node-suspected"
	EventNodeSuperseded       EventKind = "node-superseded"
	EventAddressConflict      EventKind = "address-conflict"
	EventRosterWritten        EventKind = "roster-written"
	EventClockCorrected       EventKind = "clock-corrected"
	EventClockRefused         EventKind = "clock-refused"
	EventLeaseTaken           EventKind = "lease-taken"
	EventLeaseLost            EventKind = "lease-lost"
	EventGroupFormed          EventKind = "group-formed"
	EventGroupServing         EventKind = "group-serving"
	EventGroupDraining        EventKind = "group-draining"
	EventGroupBroken          EventKind = "group-broken"
	EventGroupReleased        EventKind = "group-released"
	EventMemberLost           EventKind = "member-lost"
	EventMemberReturned       EventKind = "member-returned"
	EventOrderSent            EventKind = "order-sent"
	EventOrderRefused         EventKind = "order-refused"
	EventPowerOn              EventKind = "power-on"
	EventPowerOff             EventKind = "power-off"
	EventGrantChanged         EventKind = "grant-moved"
	EventManifestStaged       EventKind = "manifest-staged"
	EventManifestAccepted     EventKind = "manifest-accepted"
	EventManifestInForce      EventKind = "manifest-in-force"
	EventManifestRefused      EventKind = "manifest-refused"
	EventCallRefused          EventKind = "call-refused"
	EventCallOutcomeUnknown   EventKind = "call-unknown"
	EventCallQuarantined      EventKind = "call-held"
	EventCallReleased         EventKind = "call-released"
	EventStalledConnection    EventKind = "silent-connection"
	EventServerLeaving        EventKind = "server-leaving"
	EventRoutingInForce       EventKind = "routing-in-force"
	EventRoutingRefused       EventKind = "routing-refused"
	EventServerListed         EventKind = "server-listed"
	EventServerRefused        EventKind = "server-refused"
	EventServerRestarted      EventKind = "server-restarted"
	EventServerLapsed         EventKind = "server-lapsed"
	EventServerGone           EventKind = "server-gone"
	EventInstanceUnresponsive EventKind = "instance-silent"
	EventInstanceResponsive   EventKind = "instance-answers"
	EventLocalFaultSuspected  EventKind = "own-fault-presumed"
	EventGroupSuspected       EventKind = "group-suspected"
	EventObjectAPIDown        EventKind = "object-api-down"
	EventObjectAPIRestored    EventKind = "object-api-back"
	EventObjectAPIStale       EventKind = "object-api-behind"
	EventObjectRefused        EventKind = "object-refused"
)

// Event is an entry of the time line. Fields that do not apply are empty.
type Event struct {
	At   Timestamp `json:"at"`
	Node NodeID    `json:"node"`
	// Sequence counts the node's events from 1 without gaps, so that a reader
	// sees an overrun.
	Sequence   uint64     `json:"sequence"`
	Kind       EventKind  `json:"kind"`
	Zone       ZoneID     `json:"zone,omitempty"`
	Group      GroupID    `json:"group,omitempty"`
	Instance   InstanceID `json:"instance,omitempty"`
	Call       CallID     `json:"call,omitempty"`
	Generation Generation `json:"generation,omitempty"`
	Error      Kind       `json:"error,omitempty"`
	Detail     string     `json:"detail,omitempty"`
}

// Recorder takes events for the time line; it never blocks. Node, Sequence and
// At are filled in by the recorder.
type Recorder interface {
	Record(event Event)
}
