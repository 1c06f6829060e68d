// Package tracker knows the site's entry nodes: who is there, in which zone,
// and who was lost. It keeps one roster object for each zone in the object API.
//
// Its rules:
//
//	T1  Each node sends heartbeats to Neighbours nodes that follow it on its
//	    zone's ring, and now and then to one of another zone, so that a node's
//	    traffic does not grow with the site.
//	T2  Only evidence counts: a node lives if it was heard within SuspectAfter,
//	    by a heartbeat of its own or by an answer from its address, here or at a
//	    node that was asked.
//	T3  A node is lost when it was suspected by a neighbour, did not answer the
//	    deciding node itself, and another node that was asked after that had not
//	    heard it either. A node that hears nobody decides nothing: it may be the
//	    one that is cut off. Only where no other node is known, it decides alone.
//	T4  A node that one side hears and the other does not (a half-open
//	    partition) stays in the roster.
//	T5  The higher incarnation of a node wins everywhere. A process that learns
//	    of a higher one of its own name after it was accepted is superseded, and
//	    stops taking part; one that was not yet accepted raises its own above it.
//	T6  An address belongs to the node that answers there. Whoever else claims
//	    it is refused.
//	T7  The roster is written by the first of the zone's living nodes in order
//	    of names, after BatchDelay, so that changes that come together cost one
//	    write; the next ones follow by RankDelay each. A node that stays unlisted
//	    for JoinBound lists itself.
//	T8  A roster is changed by conditional update on what was read, with an
//	    identifier that is read back when the answer is lost (rule G11). Its
//	    version only grows, also over a deleted object.
//	T9  During an outage of the object API all work goes on with the last known
//	    rosters and with what was heard directly.
//	T10 The rosters are listed once at the start, and once in RereadEvery by one
//	    node of each zone; everything else comes by distribution.
package tracker

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/garnetworks/garnetworks"
)

// Timings of the tracker.
const (
	// HeartbeatInterval is the time between two heartbeats to a neighbour.
	HeartbeatInterval = time.Second
	// Neighbours is the number of nodes of the zone that a node sends to.
	Neighbours = 2
	// RemoteHeartbeatInterval is the time between two heartbeats to other zones; FarEverySmall
	// in zones with too few nodes for Neighbours.
	RemoteHeartbeatInterval      = 5 * time.Second
	RemoteHeartbeatIntervalSmall = 2 * time.Second
	// SuspectAfter is the silence after which a node is suspected.
	SuspectAfter = 3 * time.Second
	// ConfirmTimeout is the time that a node which decides on a loss asks around.
	ConfirmTimeout = 2 * time.Second
	// BatchDelay is the time for which the roster's writer gathers changes.
	BatchDelay = 500 * time.Millisecond
	// RankDelay is the time that each further candidate gives the one before.
	RankDelay = 2 * time.Second
	// Candidates is the number of nodes that hear of changes.
	Candidates = 3
	// JoinTimeout is the time after which an unlisted node lists itself.
	JoinTimeout = 10 * time.Second
	// RereadInterval is the time between two readings of the rosters by a zone.
	RereadInterval = 60 * time.Second
	// FirstRereadDelay is the time from a zone's first roster to the next reading.
	FirstRereadDelay = 3 * time.Second
	// ProbeTimeout bounds one heartbeat.
	ProbeTimeout = time.Second
	// StoreTimeout bounds one call to the object API.
	StoreTimeout = 5 * time.Second
	// TickInterval is the time between two looks at the state.
	TickInterval = 250 * time.Millisecond
)

// RosterPrefix is the prefix of the rosters' keys in the object API.
const RosterPrefix = "roster/"

// Piggybacker rides on heartbeats: it adds to requests and answers, and takes
// what came back. The distributor is one.
type Piggybacker interface {
	FillRequest(request *garnetworks.HeartbeatRequest)
	FillResponse(request *garnetworks.HeartbeatRequest, response *garnetworks.HeartbeatResponse)
	// TakeResponse may wait; it runs on the heartbeat's own goroutine.
	TakeResponse(ctx context.Context, address string, response *garnetworks.HeartbeatResponse)
}

// Options are what a tracker needs.
type Options struct {
	// Self describes this node. Incarnation may be raised at the start; Self()
	// tells what it became.
	Self garnetworks.NodeInfo
	// Seeds are addresses to ask before any roster is known.
	Seeds   []string
	Objects garnetworks.ObjectAPI
	Peers   garnetworks.PeerCaller
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Publish spreads a roster that was written; the distributor's Publish. It
	// may be nil.
	Publish func(garnetworks.Update) error
	// Hold keeps a roster that was read for peers that ask; the distributor's
	// Hold. It may be nil.
	Hold         func(garnetworks.Update) error
	Piggybackers []Piggybacker
	// Superseded is called once when another process took this node's name; the
	// process should stop. It may be nil.
	Superseded func()
	// Log may be nil.
	Log func(error)
}

// Tracker knows the site's nodes. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu    sync.Mutex
	state *State

	view atomic.Pointer[View]
	// busy holds a token for each heartbeat on its way.
	inFlight chan struct{}
	group    sync.WaitGroup
	// writes counts roster writes; reads counts reads of the object API.
	writes, reads atomic.Uint64
}

// maxBusy bounds the heartbeats on their way; more are left to the next beat.
const maxInFlight = 64

// New returns a tracker; Run starts its work.
func New(options Options) *Tracker {
	if options.Recorder == nil {
		options.Recorder = noRecorder{}
	}
	if options.Log == nil {
		options.Log = func(error) {}
	}
	if options.Publish == nil {
		options.Publish = func(garnetworks.Update) error { return nil }
	}
	if options.Hold == nil {
		options.Hold = func(garnetworks.Update) error { return nil }
	}
	if options.Superseded == nil {
		options.Superseded = func() {}
	}
	t := &Tracker{
		options:  options,
		state:    NewState(options.Self, options.Seeds, time.Now()),
		inFlight: make(chan struct{}, maxInFlight),
	}
	t.view.Store(t.state.View())
	return t
}

type noRecorder struct{}

func (noRecorder) Record(garnetworks.Event) {}

// Run tracks until ctx ends; it returns when all its work has ended.
func (t *Tracker) Run(ctx context.Context) {
	defer t.group.Wait()
	t.group.Go(func() { t.loadRosters(ctx) })
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		t.step(ctx, Ticked{})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// step feeds the state and carries out what it decides.
func (t *Tracker) step(ctx context.Context, o Observation) {
	t.mu.Lock()
	d := t.state.Step(time.Now(), o)
	t.publishView(d)
	t.mu.Unlock()
	t.execute(ctx, d)
}

// publishView makes a changed view visible. The caller holds mu.
func (t *Tracker) publishView(d Decisions) {
	if d.Changed {
		t.view.Store(t.state.View())
	}
}

func (t *Tracker) execute(ctx context.Context, d Decisions) {
	for _, e := range d.Events {
		t.options.Recorder.Record(e)
	}
	if d.Superseded {
		t.options.Superseded()
	}
	for _, p := range d.Probes {
		t.probe(ctx, p)
	}
	if patch, ok := d.Write.Get(); ok {
		t.group.Go(func() { t.writeRoster(ctx, patch) })
	}
	if d.Reread {
		t.group.Go(func() { t.reread(ctx) })
	}
}

// reread lists the rosters again (rule T10).
func (t *Tracker) reread(ctx context.Context) {
	if err := t.listRosters(ctx); err != nil {
		t.options.Log(err)
	}
}

// probe sends a heartbeat on a goroutine of its own. With all in use, the
// heartbeat is left out and counts as not sent.
func (t *Tracker) probe(ctx context.Context, p Probe) {
	select {
	case t.inFlight <- struct{}{}:
	default:
		return
	}
	t.group.Go(func() {
		defer func() { <-t.inFlight }()
		t.sendHeartbeat(ctx, p)
	})
}

func (t *Tracker) sendHeartbeat(ctx context.Context, p Probe) {
	request := &garnetworks.HeartbeatRequest{From: p.From, IndirectProbes: p.IndirectProbes, Leaving: p.Leaving}
	for _, r := range t.options.Piggybackers {
		r.FillRequest(request)
	}
	response, err := t.call(ctx, p.Node.Address, request)
	if err != nil {
		if ctx.Err() == nil {
			t.step(ctx, Unanswered{Node: p.Node, Kind: garnetworks.KindOf(err), Detail: err.Error()})
		}
		return
	}
	t.step(ctx, Answered{Node: p.Node, From: response.From, Indirect: len(p.IndirectProbes) > 0, Alive: response.Alive})
	for _, r := range t.options.Piggybackers {
		r.TakeResponse(ctx, p.Node.Address, response)
	}
}

func (t *Tracker) call(ctx context.Context, address string, request *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return t.options.Peers.Heartbeat(ctx, address, request)
}

// HandleHeartbeat answers a peer's heartbeat.
func (t *Tracker) HandleHeartbeat(request *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	t.mu.Lock()
	reply, d := t.state.Receive(time.Now(), request)
	self := t.state.Self()
	t.publishView(d)
	t.mu.Unlock()
	for _, e := range d.Events {
		t.options.Recorder.Record(e)
	}
	if reply.Refusal != nil {
		return nil, reply.Refusal
	}
	response := &garnetworks.HeartbeatResponse{From: self, Alive: reply.Alive}
	for _, r := range t.options.Piggybackers {
		r.FillResponse(request, response)
	}
	return response, nil
}

// Apply takes a roster that came by distribution; other topics are ignored.
func (t *Tracker) Apply(ctx context.Context, update garnetworks.Update) {
	zone, ok := strings.CutPrefix(string(update.Topic), string(garnetworks.TopicRoster))
	if !ok {
		return
	}
	var roster garnetworks.Roster
	if err := json.Unmarshal(update.Body, &roster); err != nil {
		t.options.Log(err)
		return
	}
	if string(roster.Zone) != zone {
		t.options.Log(garnetworks.Errorf(garnetworks.KindInvalidRequest, "topic %s holds the roster of %s", update.Topic, roster.Zone))
		return
	}
	t.step(ctx, RosterLearned{Roster: roster})
}

// SetReady says whether this node takes calls.
func (t *Tracker) SetReady(ctx context.Context, ready bool) {
	t.step(ctx, ReadySet{Ready: ready})
}

// Leave tells the neighbours and the roster's writer that this node stops, and
// returns when they were told or ctx ends. Run must still be running.
func (t *Tracker) Leave(ctx context.Context) {
	t.mu.Lock()
	d := t.state.Step(time.Now(), Leave{})
	t.publishView(d)
	t.mu.Unlock()
	var group sync.WaitGroup
	defer group.Wait()
	for _, p := range d.Probes {
		group.Go(func() { t.sendHeartbeat(ctx, p) })
	}
}

// Self describes this node as its peers know it.
func (t *Tracker) Self() garnetworks.NodeInfo { return t.view.Load().Self }

// View returns what is known now; it must not be changed.
func (t *Tracker) View() *View { return t.view.Load() }

// Nodes returns the nodes that take calls, this one included if it does.
func (t *Tracker) Nodes() []garnetworks.NodeInfo { return t.view.Load().Ready }

// Peers returns all nodes that are not known to be lost, but this one.
func (t *Tracker) Peers() []garnetworks.NodeInfo { return t.view.Load().Peers }

// Roster returns a zone's last known roster.
func (t *Tracker) Roster(zone garnetworks.ZoneID) (garnetworks.Roster, bool) {
	r, ok := t.view.Load().Rosters[zone]
	return r, ok
}

// StoreCalls counts this node's writes and reads of rosters.
func (t *Tracker) StoreCalls() (writes, reads uint64) { return t.writes.Load(), t.reads.Load() }

// newWriteID identifies one roster write.
func newWriteID() string { return ulid.Make().String() }
