// Package tracker maintains the membership of a site's entry nodes and detects node
// failures. It keeps one roster object for each zone in the object API.
//
// Rules:
//
//	T1  Each node sends heartbeats to the Neighbours nodes that follow it on its
//	    zone's ring, and less often to one node of another zone, so that a node's
//	    traffic does not grow with the site.
//	T2  A node is alive if there is evidence of it within SuspectAfter: a
//	    heartbeat from it or a response from its address, received here or by a
//	    node that was asked.
//	T3  A node is lost if a neighbour suspected it, it did not answer the deciding
//	    node, and another node that was asked afterwards had not heard it
//	    either. A node that hears nobody makes no decision, since it may itself
//	    be cut off. If no other node is known, the node decides alone.
//	T4  A node that only some nodes can reach (a half-open partition) stays in
//	    the roster.
//	T5  The higher incarnation of a node always wins. A process that learns of a
//	    higher incarnation of its own name after it was accepted is superseded
//	    and stops participating; one that was not yet accepted raises its own
//	    incarnation above it.
//	T6  An address belongs to the node that answers there. Any other node that
//	    claims it is refused.
//	T7  The roster is written by the first of the zone's live nodes in order of
//	    ID, after BatchDelay, so that simultaneous changes need one write; each
//	    further candidate waits RankDelay longer. A node that stays unlisted for
//	    JoinTimeout lists itself.
//	T8  A roster is changed by conditional update, with a write ID that is read
//	    back if the response is lost (rule G11). Its version only grows, even if
//	    the object was deleted.
//	T9  During an outage of the object API all work continues with the last known
//	    rosters and direct evidence.
//	T10 The rosters are listed once at the start, and once per RereadInterval by
//	    one node of each zone; all other updates are distributed. When a whole site
//	    starts for the first time there are none, and a node lists them only if its
//	    zone's roster has not reached it within FirstListDelay.
//	T11 A node answers the heartbeat of an unlisted node with the first few nodes of
//	    that node's zone that it knows, so that nodes which know only the seeds find
//	    the writers of their roster, and not each of them writes it.
//	T12 When the object API has come back from an older copy, one node of each zone
//	    lists the rosters, and the known one is written again if the copy lacks it.
//	    Versions of the new era are above all earlier ones, so that no version is
//	    given to two rosters.
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

// Timing and size parameters of the tracker.
const (
	// HeartbeatInterval is the time between two heartbeats to a neighbour.
	HeartbeatInterval = time.Second
	// Neighbours is the number of ring successors that a node sends heartbeats to.
	Neighbours = 2
	// RemoteHeartbeatInterval is the time between two heartbeats to other zones, and
	// RemoteHeartbeatIntervalSmall the one for nodes with fewer neighbours than Neighbours.
	RemoteHeartbeatInterval      = 5 * time.Second
	RemoteHeartbeatIntervalSmall = 2 * time.Second
	// SuspectAfter is the time without evidence after which a node is suspected.
	SuspectAfter = 3 * time.Second
	// ConfirmTimeout is the minimum time between suspecting a node and declaring it lost, in
	// which other nodes probe it.
	ConfirmTimeout = 2 * time.Second
	// BatchDelay is the time for which the roster's writer collects changes.
	BatchDelay = 500 * time.Millisecond
	// RankDelay is the additional delay of each further candidate.
	RankDelay = 2 * time.Second
	// Candidates is the number of nodes that may write the roster.
	Candidates = 3
	// JoinTimeout is the time after which an unlisted node lists itself.
	JoinTimeout = 10 * time.Second
	// RereadInterval is the time between two listings of the rosters by one node of a zone.
	RereadInterval = 60 * time.Second
	// FirstRereadDelay is the time from a zone's first roster to the next listing of rosters.
	FirstRereadDelay = 3 * time.Second
	// FirstListDelay is how long a node of a site that starts for the first time waits for its
	// zone's roster before it lists the rosters itself; up to as much is added at random.
	FirstListDelay = 3 * time.Second
	// ProbeTimeout limits one heartbeat.
	ProbeTimeout = time.Second
	// StoreTimeout limits one call to the object API.
	StoreTimeout = 5 * time.Second
	// TickInterval is the time between two periodic steps of the state.
	TickInterval = 250 * time.Millisecond
)

// RosterPrefix is the prefix of the rosters' keys in the object API.
const RosterPrefix = "roster/"

// Piggybacker adds data to heartbeat requests and responses and handles the data received.
// The distributor implements it.
type Piggybacker interface {
	FillRequest(request *garnetworks.HeartbeatRequest)
	FillResponse(request *garnetworks.HeartbeatRequest, response *garnetworks.HeartbeatResponse)
	// TakeResponse may block; it runs on the heartbeat's own goroutine.
	TakeResponse(ctx context.Context, address string, response *garnetworks.HeartbeatResponse)
}

// Options configures a Tracker.
type Options struct {
	// Self describes this node. Its incarnation may be raised at the start; Tracker.Self
	// returns the current description.
	Self garnetworks.NodeInfo
	// Seeds are addresses to contact before any roster is known.
	Seeds []string
	// FirstStart is set when the whole site starts for the first time.
	FirstStart bool
	Objects    garnetworks.ObjectAPI
	Peers      garnetworks.PeerCaller
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Publish distributes a written roster; it is the distributor's Publish. It may be nil.
	Publish func(garnetworks.Update) error
	// Hold keeps a roster for peers that ask; it is the distributor's Hold. It may be nil.
	Hold         func(garnetworks.Update) error
	Piggybackers []Piggybacker
	// Superseded is called once when another process has taken this node's name; the
	// process should stop. It may be nil.
	Superseded func()
	// Log may be nil.
	Log func(error)
}

// Tracker maintains the membership of the site. It is safe for concurrent use.
type Tracker struct {
	options Options

	mu    sync.Mutex
	state *State

	view atomic.Pointer[View]
	// inFlight is a semaphore for heartbeats in flight.
	inFlight   chan struct{}
	goroutines sync.WaitGroup
	// writes counts roster writes; reads counts reads of the object API.
	writes, reads atomic.Uint64
}

// maxInFlight limits concurrent heartbeats; further ones are skipped.
const maxInFlight = 64

// New returns a tracker; call Run to start it.
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

// Run runs the tracker until ctx ends and all its goroutines have returned.
func (t *Tracker) Run(ctx context.Context) {
	defer t.goroutines.Wait()
	t.goroutines.Go(func() { t.loadRosters(ctx) })
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

// step applies an observation to the state and executes the decisions.
func (t *Tracker) step(ctx context.Context, o Observation) {
	t.mu.Lock()
	d := t.state.Step(time.Now(), o)
	t.publishView(d)
	t.mu.Unlock()
	t.execute(ctx, d)
}

// publishView stores the new view if it changed. The caller holds mu.
func (t *Tracker) publishView(d Decisions) {
	if d.Changed {
		t.view.Store(t.state.View())
	}
}

// execute carries out decisions. The caller does not hold mu.
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
		t.goroutines.Go(func() { t.writeRoster(ctx, patch) })
	}
	if d.Reread {
		t.goroutines.Go(func() { t.reread(ctx) })
	}
}

// reread lists the rosters again (rule T10).
func (t *Tracker) reread(ctx context.Context) {
	if err := t.listRosters(ctx); err != nil {
		t.options.Log(err)
	}
}

// probe sends a heartbeat on its own goroutine. It skips it if maxInFlight heartbeats are in
// flight; that does not count as a failure.
func (t *Tracker) probe(ctx context.Context, p Probe) {
	select {
	case t.inFlight <- struct{}{}:
	default:
		return
	}
	t.goroutines.Go(func() {
		defer func() { <-t.inFlight }()
		t.sendHeartbeat(ctx, p)
	})
}

// sendHeartbeat sends a heartbeat and applies the response.
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
	t.step(ctx, Answered{Node: p.Node, From: response.From, Indirect: len(p.IndirectProbes) > 0, Alive: response.Alive, Introduced: response.Introduced})
	for _, r := range t.options.Piggybackers {
		r.TakeResponse(ctx, p.Node.Address, response)
	}
}

func (t *Tracker) call(ctx context.Context, address string, request *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return t.options.Peers.Heartbeat(ctx, address, request)
}

// HandleHeartbeat answers a heartbeat from a peer.
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
	response := &garnetworks.HeartbeatResponse{From: self, Alive: reply.Alive, Introduced: reply.Introduced}
	for _, r := range t.options.Piggybackers {
		r.FillResponse(request, response)
	}
	return response, nil
}

// Apply applies a distributed roster; it ignores other topics.
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

// HandleNewEra lists the rosters if this node does so for its zone (rule T12).
func (t *Tracker) HandleNewEra(ctx context.Context) { t.step(ctx, EraBegan{}) }

// SetReady sets whether this node takes calls.
func (t *Tracker) SetReady(ctx context.Context, ready bool) {
	t.step(ctx, ReadySet{Ready: ready})
}

// Leave notifies the neighbours and the roster's writers that this node is stopping. It
// returns when all were notified or ctx ends. Run must still be running.
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

// Self returns this node's description as its peers know it.
func (t *Tracker) Self() garnetworks.NodeInfo { return t.view.Load().Self }

// View returns the current view; the caller must not modify it.
func (t *Tracker) View() *View { return t.view.Load() }

// Nodes returns the nodes that take calls, including this one if it does.
func (t *Tracker) Nodes() []garnetworks.NodeInfo { return t.view.Load().Ready }

// Peers returns all nodes not known to be lost, except this one.
func (t *Tracker) Peers() []garnetworks.NodeInfo { return t.view.Load().Peers }

// Roster returns a zone's last known roster.
func (t *Tracker) Roster(zone garnetworks.ZoneID) (garnetworks.Roster, bool) {
	r, ok := t.view.Load().Rosters[zone]
	return r, ok
}

// StoreCalls returns the number of writes and reads of rosters by this node.
func (t *Tracker) StoreCalls() (writes, reads uint64) { return t.writes.Load(), t.reads.Load() }

// newWriteID returns a unique identifier for a roster write.
func newWriteID() string { return ulid.Make().String() }
