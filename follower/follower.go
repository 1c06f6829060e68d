// Package follower maintains a node's current view of the operators' routing and the
// registered backend servers, which the platform's object store holds.
//
//	F1  A routing whose version is lower than one applied before is never
//	    applied (rule G10).
//	F2  A server whose entry was removed is dropped, but not right after an
//	    outage of the store, when entries have expired because servers could not
//	    renew them. Such servers are kept until RecoveryTime after the store's
//	    recovery and dropped only if their entries are still missing. Failed calls
//	    are no outage if the store answers again before an entry can expire.
//	F3  A routing that can't be decoded changes nothing and is reported in the
//	    log.
//	F4  How old the routing may be is known at all times, since a node that can't
//	    reach the store must stop accepting keys in time.
//	F5  A server whose entry can't be decoded is dropped as if the entry had been
//	    removed; calls in flight on it continue. It is not known who wrote the
//	    entry, nor who answers at the earlier address. A live server rewrites its
//	    entry within a heartbeat interval.
//	F6  State that is kept about a server belongs to one incarnation of it. A
//	    server that restarts under its identifier replaces the earlier incarnation
//	    at once, and the group of the earlier one has lost a member.
//	F7  The removal of an entry does not prove that the server ended: in a zone
//	    that is partitioned, all entries expire while their servers keep serving.
//	    So the address of a departed incarnation is kept, for those who need to
//	    probe it.
//	F8  An availability zone is evacuated while an object of its name exists. Neither
//	    an outage of the store nor contents older than those known end an
//	    evacuation, and a node that has not read the evacuations yet is not ready.
//	F9  The servers of a zone whose evacuation has ended count as cold until they
//	    have had the time to report whether they are.
//	F10 In a new era of the store, what an earlier one held and the new one lacks
//	    may be written again: a missing server or evacuation counts for
//	    RecoveryTime. What an earlier era took away and the new one holds again
//	    comes from the copy: an incarnation that was leaving stays so, and one
//	    whose entry was removed, or an evacuation that ended, counts only if it is
//	    written again, or is still there when the platform would have removed it.
package follower

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/matcher"
	"github.com/garnetworks/garnetworks/watcher"
)

// Timing of the watches.
const (
	// RoutingWait is the longest wait of the watch on the routing. A response proves that
	// the routing was the newest one when the watch was sent, so the age of what is known
	// is at most twice the wait, below the usual SiteBounds.ApplyTime of 2 s.
	RoutingWait = 900 * time.Millisecond
	// ServersWait is the longest wait of the watch on servers; with short heartbeat intervals it is
	// less. Nodes that read the servers from another node rely on their age being at most twice the
	// wait.
	ServersWait = 1200 * time.Millisecond
	// EvacuationsWait is the longest wait of the watch on evacuations. A watch that gets no
	// response delays an evacuation by that much, below the usual
	// SiteBounds.EvacuationTime of 5 s.
	EvacuationsWait = 1500 * time.Millisecond
	// ServersPause is the pause after a response with changes, so that changes in quick
	// succession, as when a group forms, cost one call. It delays by that much when a node
	// that only routes calls learns of a new group.
	ServersPause = 200 * time.Millisecond
	// ActingPause is the pause of a node that acts on the entries; it is shorter because
	// each step of forming a group waits for the previous one.
	ActingPause = 50 * time.Millisecond
	// IsolatedPause is the pause of a node that reads from the store itself only because it
	// reaches no other node. It delays by that much when the node learns of a new group.
	IsolatedPause = 600 * time.Millisecond
	// ResponseMargin is how long after its wait a watch may take to respond.
	ResponseMargin = 3 * time.Second
	// ListTimeout limits the time of a list call.
	ListTimeout = 2 * time.Second
	// Retries wait between these bounds. The first is well above the store's usual
	// response time; the last is short enough for a node to recover well within a second
	// of the store's recovery, even if it learns of that through two other nodes.
	retryMin = 60 * time.Millisecond
	retryMax = 300 * time.Millisecond
	// RecoveryTime is how long after the store's recovery live servers may take to restore
	// their entries (rule F2).
	RecoveryTime = 2300 * time.Millisecond
)

// maxDeparted limits the departed incarnations that are kept to those of a large zone.
const maxDeparted = 512

// Servers is an immutable view of the registered servers.
type Servers map[garnetworks.InstanceID]garnetworks.RegisteredServer

// Options configure a follower.
type Options struct {
	Objects garnetworks.ObjectAPI
	Reader  garnetworks.SiteReader
	// Confirmed returns a time at which the objects last read under a prefix are known to
	// have been the newest ones, if Objects knows better than from the time of the call; it
	// may be nil.
	Confirmed func(prefix string) time.Time
	// Answered returns the latest time at which the store is known to have answered a call for
	// a prefix; if it is nil, that is when a response arrived.
	Answered func(prefix string) time.Time
	// LastResume returns when the instance was last found to have resumed from a suspend; it
	// may be nil.
	LastResume func(now time.Time) time.Time
	// Acting reports whether the node acts on the servers that it reads; it may be nil.
	Acting func() bool
	// Isolated reports whether no other node relies on what this node reads; it may be nil.
	Isolated func() bool
	// HeartbeatInterval is the time between two reports of a server.
	HeartbeatInterval time.Duration
	// Recorder records the changes of the node's view.
	Recorder garnetworks.Recorder
	// Random returns values in [0, 1); nil takes the runtime's generator.
	Random func() float64
}

// Follower follows the store. Its views may be read from any goroutine.
type Follower struct {
	options Options
	routing *watcher.Watcher
	servers *watcher.Watcher
	index   atomic.Pointer[matcher.Index]
	evacuations

	mu    sync.Mutex
	known Servers
	// byService holds the servers in known by their service.
	byService map[garnetworks.ServiceName]garnetworks.Set[garnetworks.InstanceID]
	// view is a copy of known for readers; it is nil if known has changed since.
	view   Servers
	lapsed map[garnetworks.InstanceID]bool
	// departed holds the last entries of the incarnations that are no longer known, at most
	// maxDeparted of them; departedOrder lists them, oldest first.
	departed      map[garnetworks.Incarnation]departedServer
	departedOrder []garnetworks.Incarnation
	// eras holds the era of each known server's entry; era is the newest of them, and eraSince
	// when it was first seen.
	eras     map[garnetworks.InstanceID]garnetworks.Era
	era      garnetworks.Era
	eraSince time.Time
	// withheld are the entries of departed incarnations that a new era holds again (rule F10).
	withheld map[garnetworks.InstanceID]withheldServer
	// refused holds the decoding errors of the newest entries of some servers.
	refused map[garnetworks.InstanceID]string
	// registered are the servers that registered since the last record of registrations,
	// which was made at registeredAt.
	registered   []garnetworks.InstanceID
	registeredAt time.Time
	// updated are the servers that changed since the last call of TakeUpdated.
	updated garnetworks.Set[garnetworks.InstanceID]
	changed []chan struct{}
}

// New returns a follower. It knows nothing before Run is called.
func New(options Options) *Follower {
	f := &Follower{
		options: options, known: make(Servers), lapsed: make(map[garnetworks.InstanceID]bool), refused: make(map[garnetworks.InstanceID]string),
		departed:  make(map[garnetworks.Incarnation]departedServer),
		eras:      make(map[garnetworks.InstanceID]garnetworks.Era),
		withheld:  make(map[garnetworks.InstanceID]withheldServer),
		byService: make(map[garnetworks.ServiceName]garnetworks.Set[garnetworks.InstanceID]),
		updated:   make(garnetworks.Set[garnetworks.InstanceID]),
	}
	f.evacuations.init()
	common := watcher.Options{
		Margin: ResponseMargin, ListTimeout: ListTimeout,
		RetryMin: retryMin, RetryMax: retryMax, Recorder: options.Recorder, Random: options.Random,
	}
	routing, servers, evacuations := common, common, common
	routing.Wait, routing.ConfirmedAt = RoutingWait, f.confirmedFunc(options.Reader.RoutingKey())
	servers.Wait, servers.ConfirmedAt = ServersWait, f.confirmedFunc(options.Reader.ServerPrefix())
	servers.Pause = f.pause
	if interval := options.HeartbeatInterval; interval > 0 {
		servers.MinOutage = toleratedMisses * interval
		// A watch that is cut off at the end of its wait, the backoff and the list that follows end
		// before that time has passed.
		servers.Wait = min(ServersWait, servers.MinOutage/2)
	}
	if options.Answered != nil {
		servers.AnsweredAt = func() time.Time { return options.Answered(options.Reader.ServerPrefix()) }
	}
	evacuations.Wait, evacuations.ConfirmedAt = EvacuationsWait, f.confirmedFunc(options.Reader.EvacuationPrefix())
	f.routing = watcher.New(options.Objects, options.Reader.RoutingKey(), routing)
	f.servers = watcher.New(options.Objects, options.Reader.ServerPrefix(), servers)
	f.evacuations.watcher = watcher.New(options.Objects, options.Reader.EvacuationPrefix(), evacuations)
	return f
}

// confirmedFunc returns a function for the time at which a response about a prefix was
// confirmed, or nil if that is when the call was sent.
func (f *Follower) confirmedFunc(prefix string) func() time.Time {
	if f.options.Confirmed == nil {
		return nil
	}
	return func() time.Time { return f.options.Confirmed(prefix) }
}

// pause returns the time to wait between two reads of servers that change.
func (f *Follower) pause() time.Duration {
	if f.options.Acting != nil && f.options.Acting() {
		return ActingPause
	}
	if f.options.Isolated != nil && f.options.Isolated() {
		return IsolatedPause
	}
	return ServersPause
}

// Changed returns a channel that gets a signal when servers or routing may have changed.
// It must be called before Run.
func (f *Follower) Changed() <-chan struct{} {
	c := make(chan struct{}, 1)
	f.changed = append(f.changed, c)
	return c
}

// Index returns the routing in force, or nil if there is none yet.
func (f *Follower) Index() *matcher.Index { return f.index.Load() }

// Confirmed returns a time at which the routing is known to have been the newest one
// (rule F4).
func (f *Follower) Confirmed() time.Time {
	return f.confirmed(f.routing)
}

// confirmed returns a time at which a prefix's contents are known to have been the newest;
// zero if the instance was suspended since, because ages are then understated.
func (f *Follower) confirmed(w *watcher.Watcher) time.Time {
	at := w.Confirmed()
	if f.options.LastResume != nil && !at.After(f.options.LastResume(time.Now())) {
		return time.Time{}
	}
	return at
}

// RefreshServers lists all servers again; ServersConfirmed shows when that is done.
func (f *Follower) RefreshServers() { f.servers.Relist() }

// ServersConfirmed returns a time at which the servers are known to have been the newest
// ones.
func (f *Follower) ServersConfirmed() time.Time {
	return f.confirmed(f.servers)
}

// Servers returns the registered servers.
func (f *Follower) Servers() Servers {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		f.view = maps.Clone(f.known)
	}
	return f.view
}

// Server returns a registered server.
func (f *Follower) Server(id garnetworks.InstanceID) (garnetworks.RegisteredServer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.known[id]
	return s, ok
}

// ServersOf returns the registered servers of a service, in no order.
func (f *Follower) ServersOf(service garnetworks.ServiceName) []garnetworks.RegisteredServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []garnetworks.RegisteredServer
	for id := range f.byService[service] {
		list = append(list, f.known[id])
	}
	return list
}

// Update is the present entry of a server that has changed; Registered is false if it has none.
type Update struct {
	garnetworks.RegisteredServer
	Registered bool
}

// TakeUpdated returns the servers that have changed since the last call. It is for one caller
// only, which need not look at all servers of a site for each change.
func (f *Follower) TakeUpdated() map[garnetworks.InstanceID]Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	updates := make(map[garnetworks.InstanceID]Update, len(f.updated))
	for id := range f.updated {
		s, ok := f.known[id]
		updates[id] = Update{s, ok}
	}
	clear(f.updated)
	return updates
}

// store replaces the entry of a server; f.mu must be held.
func (f *Follower) store(s *garnetworks.RegisteredServer) {
	if old, ok := f.known[s.ID]; ok && old.Service != s.Service {
		f.byService[old.Service].Remove(s.ID)
	}
	if f.byService[s.Service] == nil {
		f.byService[s.Service] = make(garnetworks.Set[garnetworks.InstanceID])
	}
	f.byService[s.Service].Add(s.ID)
	f.known[s.ID] = *s
	f.updated.Add(s.ID)
}

// LastEntry returns the last entry of a departed incarnation, with the address at which to
// probe whether it has ended (rule F7).
func (f *Follower) LastEntry(incarnation garnetworks.Incarnation) (garnetworks.RegisteredServer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.departed[incarnation]
	return d.RegisteredServer, ok
}

// rememberDeparted keeps the last entry of an incarnation; f.mu must be held.
func (f *Follower) rememberDeparted(s *garnetworks.RegisteredServer) {
	incarnation := s.Incarnation()
	if _, known := f.departed[incarnation]; !known {
		f.departedOrder = append(f.departedOrder, incarnation)
	}
	f.departed[incarnation] = departedServer{*s, f.era}
	if len(f.departedOrder) > maxDeparted {
		delete(f.departed, f.departedOrder[0])
		f.departedOrder = f.departedOrder[1:]
	}
}

// Ready reports whether routing, servers and evacuations are known.
func (f *Follower) Ready() bool {
	return f.Index() != nil && !f.servers.Confirmed().IsZero() && f.EvacuationsKnown()
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.routing.Run(ctx, f.applyRouting) })
	group.Go(func() error { return f.servers.Run(ctx, f.applyServer) })
	group.Go(func() error { return f.evacuations.watcher.Run(ctx, f.applyEvacuation) })
	group.Go(func() error { return f.expire(ctx) })
	return group.Wait()
}

func (f *Follower) applyRouting(o garnetworks.Object) {
	if o.Deleted || o.Key != f.options.Reader.RoutingKey() {
		return
	}
	routing, err := f.options.Reader.ReadRouting(o.Value)
	if err != nil { // rule F3
		f.record(garnetworks.Event{Kind: garnetworks.EventRoutingRefused, Error: garnetworks.KindOf(err), Detail: fmt.Sprintf("revision %d: %v", o.Revision, err)})
		return
	}
	if x := f.index.Load(); x != nil && routing.Version <= x.Version { // rule F1
		if routing.Version < x.Version {
			f.record(garnetworks.Event{Kind: garnetworks.EventRoutingRefused, Detail: fmt.Sprintf("version %d is older than %d in force", routing.Version, x.Version)})
		}
		return
	}
	f.index.Store(matcher.New(routing))
	f.record(garnetworks.Event{
		Kind: garnetworks.EventRoutingInForce, Generation: garnetworks.Generation(routing.Version),
		Detail: fmt.Sprintf("%d routes, revision %d", len(routing.Routes), o.Revision),
	})
	f.signal()
}

func (f *Follower) applyServer(o garnetworks.Object) {
	id := garnetworks.InstanceID(strings.TrimPrefix(o.Key, f.options.Reader.ServerPrefix()))
	era := o.Revision.Era()
	if o.Deleted {
		f.serverRemoved(id, era)
		return
	}
	s, err := f.options.Reader.ReadServer(id, o.Value)
	if err != nil {
		f.reject(id, err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(era)
	if !f.withhold(&s, era) {
		f.apply(&s, era)
	}
}

// apply makes a server's entry the known one; f.mu must be held.
func (f *Follower) apply(s *garnetworks.RegisteredServer, era garnetworks.Era) {
	if old, ok := f.known[s.ID]; ok && f.leftBefore(&old, s, era) {
		s.State, era = garnetworks.ListedLeaving, f.eras[s.ID]
	}
	f.recordState(s)
	if old, ok := f.known[s.ID]; ok {
		f.inherit(&old, s)
	}
	f.setWarmAt(time.Now(), s)
	f.store(s)
	f.eras[s.ID] = era
	delete(f.withheld, s.ID)
	delete(f.lapsed, s.ID)
	delete(f.refused, s.ID)
	f.publish()
}

// inherit adds to a server's newest entry what earlier ones held (rule F6).
func (f *Follower) inherit(old, s *garnetworks.RegisteredServer) {
	s.InheritFrom(old)
	if old.Incarnation() == s.Incarnation() {
		return
	}
	f.rememberDeparted(old)
	f.record(garnetworks.Event{
		Kind: garnetworks.EventServerRestarted, Instance: s.ID, Zone: s.Zone, Group: old.Membership.Group,
		Detail: fmt.Sprintf("it started at %d, the previous incarnation at %d; state kept about that one is dropped", s.StartMS, old.StartMS),
	})
}

// reject drops the server whose entry can't be decoded (rule F5). It records that once per
// reason, however often the entry is written.
func (f *Follower) reject(id garnetworks.InstanceID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused[id] != err.Error() {
		f.refused[id] = err.Error()
		f.record(garnetworks.Event{Kind: garnetworks.EventServerRefused, Instance: id, Error: garnetworks.KindOf(err), Detail: "its entry can't be decoded: " + err.Error()})
	}
	if _, ok := f.known[id]; ok {
		f.drop(id)
		f.publish()
	}
}

// drop removes a server from the view and keeps its last entry (rule F7); f.mu must be held.
func (f *Follower) drop(id garnetworks.InstanceID) {
	if s, ok := f.known[id]; ok {
		f.rememberDeparted(&s)
		f.byService[s.Service].Remove(id)
		f.updated.Add(id)
	}
	delete(f.known, id)
	delete(f.eras, id)
	delete(f.lapsed, id)
}

// serverRemoved drops a server, or marks it as lapsed if its entry may only have expired
// during an outage of the store (rule F2).
func (f *Follower) serverRemoved(id garnetworks.InstanceID, era garnetworks.Era) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeEra(era)
	delete(f.refused, id)
	delete(f.withheld, id)
	if _, ok := f.known[id]; !ok {
		return
	}
	lost := era > f.eras[id] // the entry is missing in the copy
	if recovered, up := f.servers.Recovered(); lost || !up || time.Since(recovered) < RecoveryTime {
		f.lapsed[id] = true
		f.record(garnetworks.Event{Kind: garnetworks.EventServerLapsed, Instance: id, Detail: "its entry disappeared during or right after an outage of the object API, or with its return from a copy"})
		return
	}
	f.record(garnetworks.Event{Kind: garnetworks.EventServerGone, Instance: id, Detail: "its entry was removed"})
	f.drop(id)
	f.publish()
}

// expire drops lapsed servers once RecoveryTime has passed since the store's recovery, and
// records registrations.
func (f *Follower) expire(ctx context.Context) error {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f.expireLapsed()
			f.applyWithheld(time.Now())
			f.recordRegistrations(time.Now())
		}
	}
}

func (f *Follower) expireLapsed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	recovered, up := f.recovered()
	if len(f.lapsed) == 0 || !up || time.Since(recovered) < RecoveryTime {
		return
	}
	for id := range f.lapsed {
		f.record(garnetworks.Event{Kind: garnetworks.EventServerGone, Instance: id, Detail: fmt.Sprintf("its entry is still missing %s after the object API's recovery", time.Since(recovered).Round(time.Millisecond))})
		f.drop(id)
	}
	f.publish()
}

func (f *Follower) record(e garnetworks.Event) { f.options.Recorder.Record(e) }

// recordState records a change of a server's state; f.mu must be held.
func (f *Follower) recordState(s *garnetworks.RegisteredServer) {
	old, known := f.known[s.ID]
	switch {
	case f.lapsed[s.ID]:
		f.record(garnetworks.Event{Kind: garnetworks.EventServerListed, Instance: s.ID, Zone: s.Zone, Detail: "its entry is back"})
	case known && old.State != s.State && s.State == garnetworks.ListedLeaving:
		f.record(garnetworks.Event{Kind: garnetworks.EventServerLeaving, Instance: s.ID, Zone: s.Zone})
	case !known && f.Ready():
		f.registered = append(f.registered, s.ID)
	}
}

// recordRegistrations records new servers, in at most one event per second: with one event
// per server, each node of a large site would record thousands when the site starts.
func (f *Follower) recordRegistrations(now time.Time) {
	const (
		interval = time.Second
		maxNamed = 8
	)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.registered) == 0 || now.Sub(f.registeredAt) < interval {
		return
	}
	f.record(garnetworks.Event{
		Kind: garnetworks.EventServerListed, Instance: f.registered[0],
		Detail: fmt.Sprintf("%d servers registered, among them %v", len(f.registered), f.registered[:min(len(f.registered), maxNamed)]),
	})
	f.registered, f.registeredAt = f.registered[:0], now
}

// publish signals that the known servers have changed; f.mu must be held. The view is
// copied only when it is requested, so that many changes in a row cost one copy.
func (f *Follower) publish() {
	f.view = nil
	f.signal()
}

func (f *Follower) signal() {
	for _, c := range f.changed {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
