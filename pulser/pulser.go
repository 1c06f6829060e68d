// Package pulser keeps nodes' views of an availability zone fresh at low cost: the
// full view is sent only when its stable fields change, and a short status update at
// each Interval says which of its groups are confirmed and how loaded they are.
//
// The rules:
//
//	U1  A full view is sent when anything but confirmations, loads and metrics
//	    changes. A status update names the version of the view it refers to.
//	U2  A receiver applies a status update only to the view version that it
//	    refers to; on any other version it does not count as a refresh.
//	U3  Neither views nor status updates go back to a lower version.
//	U4  A status update carries the sender's monotonic time. One that took longer
//	    than the sender's fastest is dated back by the difference, so that a
//	    delayed update does not refresh an outdated view. Clocks of different
//	    machines are never compared.
package pulser

import (
	"math"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/garnetworks/garnetworks"
)

// Interval is the time between two status updates of a zone. Two intervals plus the
// transit time fit into garnetworks.ConfirmationBound, so that one lost update takes
// no group out of service. A group that loses its confirmation is published at once.
const Interval = 1400 * time.Millisecond

// status is the body of garnetworks.TopicZoneStatus. Its fields are encoded by
// position.
type status struct {
	_ struct{} `cbor:",toarray"`
	// View is the version of the full view that the status refers to.
	View version
	// Sent is the sender's monotonic time since its start, in milliseconds.
	Sent uint64
	// Unconfirmed are the indexes of the view's groups that are not confirmed.
	Unconfirmed []uint16
	// Loads holds each group's load as packed by packLoad, in the view's order.
	Loads []byte
	// Measures holds the zone's metrics in the order of packMetrics.
	Measures []int64
}

type version struct {
	_        struct{} `cbor:",toarray"`
	Term     uint32
	Sequence uint64
}

// Sender turns the views of one zone, while one node controls it, into full views
// and status updates. It is not safe for concurrent use.
type Sender struct {
	started     time.Time
	last        garnetworks.ZoneView
	viewVersion garnetworks.UpdateVersion
}

// NewSender returns a sender whose monotonic time starts at now.
func NewSender(now time.Time) *Sender { return &Sender{started: now} }

// Next returns the updates that publish the view: a full view only if its stable
// fields changed or the term is new (U1), and a status update.
func (s *Sender) Next(now time.Time, v garnetworks.UpdateVersion, view garnetworks.ZoneView) ([]garnetworks.Update, error) {
	var updates []garnetworks.Update
	stable := stableView(view)
	if s.viewVersion == (garnetworks.UpdateVersion{}) || v.Term != s.viewVersion.Term || !reflect.DeepEqual(stable, s.last) {
		body, err := cbor.Marshal(view)
		if err != nil {
			return nil, garnetworks.WrapError(garnetworks.KindInternal, err, "encode a zone view")
		}
		s.last, s.viewVersion = stable, v
		updates = append(updates, garnetworks.Update{Topic: garnetworks.TopicZoneView + garnetworks.Topic(view.Zone), Version: v, Body: body})
	}
	body, err := cbor.Marshal(s.status(now, view))
	if err != nil {
		return nil, garnetworks.WrapError(garnetworks.KindInternal, err, "encode a zone status")
	}
	return append(updates, garnetworks.Update{Topic: garnetworks.TopicZoneStatus + garnetworks.Topic(view.Zone), Version: v, Body: body}), nil
}

func (s *Sender) status(now time.Time, view garnetworks.ZoneView) status {
	st := status{
		View:     version{Term: s.viewVersion.Term, Sequence: s.viewVersion.Sequence},
		Sent:     uint64(now.Sub(s.started).Milliseconds()),
		Loads:    make([]byte, 0, len(view.Groups)),
		Measures: packMetrics(view.Metrics),
	}
	for i := range view.Groups {
		g := &view.Groups[i]
		if !g.Confirmed {
			st.Unconfirmed = append(st.Unconfirmed, uint16(i))
		}
		st.Loads = append(st.Loads, packLoad(g.Load))
	}
	return st
}

// stableView returns the view without the fields that a status update carries.
func stableView(view garnetworks.ZoneView) garnetworks.ZoneView {
	view.Metrics = garnetworks.ZoneMetrics{}
	groups := make([]garnetworks.GroupView, len(view.Groups))
	copy(groups, view.Groups)
	for i := range groups {
		groups[i].Confirmed = false
		groups[i].Load = garnetworks.EngineLoad{Capacity: groups[i].Load.Capacity}
	}
	view.Groups = groups
	return view
}

// maxOffsets is the number of status updates over which the smallest offset is
// taken. Clock rates differ, so an older minimum would distort the delay.
const maxOffsets = 120

// Receiver combines the full views and status updates of one zone. It is not safe
// for concurrent use.
type Receiver struct {
	zone garnetworks.ZoneID
	// view is the newest full view, at viewVersion.
	view        garnetworks.ZoneView
	viewVersion garnetworks.UpdateVersion
	// pending is a status update that arrived before its view.
	pending garnetworks.Option[receivedStatus]
	// statusVersion is the version of the newest status update received.
	statusVersion garnetworks.UpdateVersion
	// offsets are the receive time minus the send time of the last status updates
	// of one term, relative to base.
	offsets []time.Duration
	term    uint32
	base    time.Time
}

type receivedStatus struct {
	status  status
	version garnetworks.UpdateVersion
	at      time.Time
}

// NewReceiver returns a receiver for the zone without a view.
func NewReceiver(zone garnetworks.ZoneID) *Receiver { return &Receiver{zone: zone} }

// Joined is a zone's view combined with a status update.
type Joined struct {
	View garnetworks.ZoneView
	// Version is the version of the status update.
	Version garnetworks.UpdateVersion
	// At is an upper bound, by the receiver's clock, of when the status was current.
	At time.Time
}

// Apply processes an update of the zone's topics and ignores other topics. It
// returns the joined view if the update refreshed it, and an error of kind
// garnetworks.KindInvalidRequest if the body is malformed.
func (r *Receiver) Apply(now time.Time, u garnetworks.Update) (garnetworks.Option[Joined], error) {
	switch u.Topic {
	case garnetworks.TopicZoneView + garnetworks.Topic(r.zone):
		return r.applyView(u)
	case garnetworks.TopicZoneStatus + garnetworks.Topic(r.zone):
		return r.applyStatus(now, u)
	}
	return garnetworks.Option[Joined]{}, nil
}

func (r *Receiver) applyView(u garnetworks.Update) (garnetworks.Option[Joined], error) {
	none := garnetworks.Option[Joined]{}
	if !r.viewVersion.Less(u.Version) { // U3
		return none, nil
	}
	var view garnetworks.ZoneView
	if err := cbor.Unmarshal(u.Body, &view); err != nil {
		return none, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "decode a zone view")
	}
	if view.Zone != r.zone {
		return none, garnetworks.Errorf(garnetworks.KindInvalidRequest, "view of zone %s under the topic of zone %s", view.Zone, r.zone)
	}
	r.view, r.viewVersion = view, u.Version
	if t, ok := r.pending.Get(); ok {
		r.pending = garnetworks.Option[receivedStatus]{}
		return r.join(t), nil
	}
	return none, nil
}

func (r *Receiver) applyStatus(now time.Time, u garnetworks.Update) (garnetworks.Option[Joined], error) {
	none := garnetworks.Option[Joined]{}
	if !r.statusVersion.Less(u.Version) { // U3
		return none, nil
	}
	var st status
	if err := cbor.Unmarshal(u.Body, &st); err != nil {
		return none, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "decode a zone status")
	}
	r.statusVersion = u.Version
	return r.join(receivedStatus{status: st, version: u.Version, at: now.Add(-r.delay(now, u.Version.Term, st))}), nil
}

// delay returns how much longer the status update took than the fastest recent one
// of its term (U4). Failure: a relaying node is paused and forwards an update when it
// resumes; taken as fresh, it would keep a broken group in use for another
// ConfirmationBound.
func (r *Receiver) delay(now time.Time, term uint32, st status) time.Duration {
	if r.base.IsZero() || term != r.term {
		r.base, r.term, r.offsets = now, term, nil
	}
	offset := now.Sub(r.base) - time.Duration(st.Sent)*time.Millisecond
	if len(r.offsets) == maxOffsets {
		r.offsets = append(r.offsets[:0], r.offsets[1:]...)
	}
	r.offsets = append(r.offsets, offset)
	least := offset
	for _, o := range r.offsets {
		least = min(least, o)
	}
	return offset - least
}

// join applies a status update to the view that it refers to. It keeps the update as
// pending if that view has not arrived, and otherwise ignores a mismatch (U2).
func (r *Receiver) join(t receivedStatus) garnetworks.Option[Joined] {
	referred := garnetworks.UpdateVersion{Term: t.status.View.Term, Sequence: t.status.View.Sequence}
	if r.viewVersion.Less(referred) {
		r.pending = garnetworks.Some(t)
		return garnetworks.Option[Joined]{}
	}
	if r.viewVersion != referred || len(t.status.Loads) != len(r.view.Groups) {
		return garnetworks.Option[Joined]{}
	}
	view := r.view
	view.Groups = make([]garnetworks.GroupView, len(r.view.Groups))
	copy(view.Groups, r.view.Groups)
	for i := range view.Groups {
		g := &view.Groups[i]
		g.Confirmed = true
		g.Load = unpackLoad(t.status.Loads[i], g.Load.Capacity)
		g.Load.At = t.at
	}
	for _, i := range t.status.Unconfirmed {
		if int(i) < len(view.Groups) {
			view.Groups[i].Confirmed = false
		}
	}
	view.Metrics = unpackMetrics(t.status.Measures)
	return garnetworks.Some(Joined{View: view, Version: t.version, At: t.at})
}

// loadSteps is the number of steps into which a group's capacity is divided. A byte
// thus holds up to four times the capacity.
const loadSteps = 63

// packLoad returns a group's calls in steps of its capacity, rounded up so that a
// busy group never looks idle.
func packLoad(load garnetworks.EngineLoad) byte {
	calls := max(0, load.Running) + max(0, load.Waiting)
	if load.Capacity <= 0 {
		return byte(min(calls, math.MaxUint8))
	}
	return byte(min((calls*loadSteps+load.Capacity-1)/load.Capacity, math.MaxUint8))
}

// unpackLoad is the inverse of packLoad, to the precision of a step.
func unpackLoad(steps byte, capacity int) garnetworks.EngineLoad {
	if capacity <= 0 {
		return garnetworks.EngineLoad{Running: int(steps)}
	}
	calls := (int(steps)*capacity + loadSteps/2) / loadSteps
	return garnetworks.EngineLoad{Running: min(calls, capacity), Waiting: max(0, calls-capacity), Capacity: capacity}
}

func packMetrics(m garnetworks.ZoneMetrics) []int64 {
	return []int64{
		m.GroupDowntime.Milliseconds(), m.Stranded.Milliseconds(),
		int64(m.GroupsDown), int64(m.InstancesStranded), int64(m.Drawn), int64(m.Limit),
	}
}

func unpackMetrics(values []int64) garnetworks.ZoneMetrics {
	if len(values) < 6 {
		return garnetworks.ZoneMetrics{}
	}
	return garnetworks.ZoneMetrics{
		GroupDowntime:     time.Duration(values[0]) * time.Millisecond,
		Stranded:          time.Duration(values[1]) * time.Millisecond,
		GroupsDown:        int(values[2]),
		InstancesStranded: int(values[3]),
		Drawn:             garnetworks.Watts(values[4]),
		Limit:             garnetworks.Watts(values[5]),
	}
}
