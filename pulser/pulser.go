// Package pulser keeps nodes' views of an availability zone fresh at little
// cost: the whole view travels when what it holds for long changes, and a pulse
// of some hundred bytes each second says which of its groups are confirmed and
// how loaded they are.
//
// The rules:
//
//	U1  A whole view is sent when anything in it changes but confirmations,
//	    loads and measures; a pulse names the whole view that it refers to.
//	U2  A receiver uses a pulse only with the very view that it refers to; with
//	    an older one it does not count as refreshed.
//	U3  Neither views nor pulses go back: a lower version is ignored.
//	U4  A pulse carries the sender's monotonic time. A pulse that took longer
//	    than the quickest of its sender's is taken as older by the difference,
//	    so that one held up on the way does not refresh what has long changed.
//	    No clocks are compared.
package pulser

import (
	"math"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/garnetworks/garnetworks"
)

// Interval is the time between two pulses of a zone: two of them, with their
// way, fit into garnetworks.ConfirmationBound, so that one lost pulse takes no
// group out. A group that stops being confirmed is told at once.
const Interval = 1400 * time.Millisecond

// pulse is the body of garnetworks.TopicZoneStatus. Its fields are encoded by
// position.
type status struct {
	_ struct{} `cbor:",toarray"`
	// View is the version of the whole view that the pulse refers to.
	View version
	// Sent is the sender's monotonic time since it began to send, in
	// milliseconds.
	Sent uint64
	// Unconfirmed are the positions of groups that are not confirmed now.
	Unconfirmed []uint16
	// Loads holds one step of loadStep for each group, in the view's order.
	Loads []byte
	// Measures holds the zone's measures in the order of packMeasures.
	Measures []int64
}

type version struct {
	_        struct{} `cbor:",toarray"`
	Term     uint32
	Sequence uint64
}

// Sender splits the views of one zone, while one node controls it, into whole
// views and pulses. It is not safe for concurrent use.
type Sender struct {
	started     time.Time
	last        garnetworks.ZoneView
	viewVersion garnetworks.UpdateVersion
}

// NewSender returns a sender that begins at now.
func NewSender(now time.Time) *Sender { return &Sender{started: now} }

// Next returns the updates that bring the view to all nodes: a whole view only
// if it is needed (U1), and a pulse.
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
		return nil, garnetworks.WrapError(garnetworks.KindInternal, err, "encode a zone pulse")
	}
	return append(updates, garnetworks.Update{Topic: garnetworks.TopicZoneStatus + garnetworks.Topic(view.Zone), Version: v, Body: body}), nil
}

func (s *Sender) status(now time.Time, view garnetworks.ZoneView) status {
	p := status{
		View:     version{Term: s.viewVersion.Term, Sequence: s.viewVersion.Sequence},
		Sent:     uint64(now.Sub(s.started).Milliseconds()),
		Loads:    make([]byte, 0, len(view.Groups)),
		Measures: packMetrics(view.Metrics),
	}
	for i := range view.Groups {
		g := &view.Groups[i]
		if !g.Confirmed {
			p.Unconfirmed = append(p.Unconfirmed, uint16(i))
		}
		p.Loads = append(p.Loads, packLoad(g.Load))
	}
	return p
}

// lasting returns the view without what a pulse carries.
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

// offsetMemory is how many pulses the smallest delay is remembered for: clocks'
// rates differ, so a minimum from long ago would make each pulse seem late or
// early.
const maxOffsets = 120

// Receiver joins the whole views and pulses of one zone. It is not safe for
// concurrent use.
type Receiver struct {
	zone garnetworks.ZoneID
	// view is the newest whole view, at version whole.
	view        garnetworks.ZoneView
	viewVersion garnetworks.UpdateVersion
	// waiting is a pulse that came before its view.
	pending garnetworks.Option[receivedStatus]
	// newest is the version of the newest pulse taken.
	statusVersion garnetworks.UpdateVersion
	// offsets are receive time less send time of the last pulses of one term.
	offsets []time.Duration
	term    uint32
	base    time.Time
}

type receivedStatus struct {
	status  status
	version garnetworks.UpdateVersion
	at      time.Time
}

// NewReceiver returns a receiver for the zone that holds nothing.
func NewReceiver(zone garnetworks.ZoneID) *Receiver { return &Receiver{zone: zone} }

// Joined is the zone's view as it was confirmed at a time.
type Joined struct {
	View garnetworks.ZoneView
	// Version is that of the pulse.
	Version garnetworks.UpdateVersion
	// At is when the view was fresh by the receiver's clock, at the latest.
	At time.Time
}

// Apply takes an update of the zone's topics. It returns the joined view if the
// update refreshed it, and an error of kind garnetworks.KindInvalidRequest if
// the body is malformed.
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
	if w, ok := r.pending.Get(); ok {
		r.pending = garnetworks.Option[receivedStatus]{}
		return r.join(w), nil
	}
	return none, nil
}

func (r *Receiver) applyStatus(now time.Time, u garnetworks.Update) (garnetworks.Option[Joined], error) {
	none := garnetworks.Option[Joined]{}
	if !r.statusVersion.Less(u.Version) { // U3
		return none, nil
	}
	var p status
	if err := cbor.Unmarshal(u.Body, &p); err != nil {
		return none, garnetworks.WrapError(garnetworks.KindInvalidRequest, err, "decode a zone pulse")
	}
	r.statusVersion = u.Version
	return r.join(receivedStatus{status: p, version: u.Version, at: now.Add(-r.delay(now, u.Version.Term, p))}), nil
}

// late returns how much longer the pulse took than the quickest one of its
// sender (U4). Failure: a relaying node is paused with a pulse in hand and sends
// it on when it wakes; taken as fresh it would keep a broken group in use for
// another ConfirmationBound.
func (r *Receiver) delay(now time.Time, term uint32, p status) time.Duration {
	if r.base.IsZero() || term != r.term {
		r.base, r.term, r.offsets = now, term, nil
	}
	offset := now.Sub(r.base) - time.Duration(p.Sent)*time.Millisecond
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

// join lays a pulse over the view that it refers to (U2).
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

// loadSteps is the number of steps of a group's capacity in a pulse. A byte
// holds calls up to four times the capacity, finer than the load changes between
// two pulses.
const loadSteps = 63

// packLoad returns the calls of a group in steps of its capacity, rounded up so
// that a busy group never looks idle.
func packLoad(load garnetworks.EngineLoad) byte {
	calls := max(0, load.Running) + max(0, load.Waiting)
	if load.Capacity <= 0 {
		return byte(min(calls, math.MaxUint8))
	}
	return byte(min((calls*loadSteps+load.Capacity-1)/load.Capacity, math.MaxUint8))
}

// unpackLoad is the inverse of packLoad, down to a step.
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
