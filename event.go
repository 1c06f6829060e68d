package garnetworks

import "time"

// Timestamp is a hybrid logical clock reading: at one node it never decreases, and
// it is greater than every timestamp that the node has received.
type Timestamp struct {
	// Wall is in milliseconds since the Unix epoch, the highest value seen on any node.
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

// Time returns the wall clock part as a time.
func (t Timestamp) Time() time.Time { return time.UnixMilli(t.Wall) }

// EventKind is the kind of an event on the timeline.
type EventKind string

// Event kinds.
const (
	EventNodeStarted          EventKind = "node-started"
	EventStateTakenOver       EventKind = "state-taken-over"
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
	EventSharesChanged        EventKind = "shares-changed"
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
	EventZoneEvacuated        EventKind = "zone-evacuated"
	EventZoneReturned         EventKind = "zone-returned"
	EventServerListed         EventKind = "server-listed"
	EventServerRefused        EventKind = "server-refused"
	EventServerLimited        EventKind = "server-limited"
	EventServerLimitEnded     EventKind = "server-limit-ended"
	EventServerRestarted      EventKind = "server-restarted"
	EventServerLapsed         EventKind = "server-lapsed"
	EventServerGone           EventKind = "server-gone"
	EventInstanceUnresponsive EventKind = "instance-silent"
	EventInstanceResponsive   EventKind = "instance-answers"
	EventLocalFaultSuspected  EventKind = "own-fault-presumed"
	EventGroupSuspected       EventKind = "group-suspected"
	EventGroupFoundLost       EventKind = "group-found-lost"
	EventObjectAPIDown        EventKind = "object-api-down"
	EventObjectAPIRestored    EventKind = "object-api-back"
	EventObjectAPIStale       EventKind = "object-api-behind"
	EventObjectAPINewEra      EventKind = "object-api-new-era"
	EventObjectRefused        EventKind = "object-refused"
)

// Event is an entry of the timeline. Fields that do not apply are empty.
type Event struct {
	At   Timestamp `json:"at"`
	Node NodeID    `json:"node"`
	// Sequence counts the node's events from 1 without gaps, so that a reader can
	// detect that events were overwritten before it read them.
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

// Recorder adds events to the timeline; Record never blocks. The recorder fills in
// Node, Sequence and At.
type Recorder interface {
	Record(event Event)
}
