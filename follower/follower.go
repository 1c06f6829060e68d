// Package follower keeps a node's newest view of what the platform's store
// holds: the operators' routing and the registered backend servers.
//
//	F1  A routing of a lower version than one applied before is never applied
//	    (rule G10).
//	F2  A server whose entry is gone is gone, but not at once after an outage of
//	    the store: entries lapse while servers can't renew them. They are kept
//	    until ReturnTime after the store's return, and dropped then.
//	F3  A routing that can't be decoded changes nothing and is told in the log.
//	F5  A server's entry that can't be decoded names no server: one that was known by
//	    it is dropped as if the entry were removed, and calls that it has go on. Who
//	    wrote it is not known, so neither is who answers at the address that stood
//	    there before. A server that lives writes its entry again within a heartbeat.
//	F6  What is remembered of a server is of one life of it. A server that starts
//	    again under its identifier replaces the earlier life at once, and the group
//	    that the earlier one was in has lost a member.
//	F7  An entry that is gone tells nothing of the server's life: those of a zone that is
//	    cut off lapse together while their servers serve on. So the address of a life
//	    that went is remembered, for those who need to ask it.
//	F4  How old the routing may be is known at each moment: a node that can't ask
//	    the store must stop honouring keys in time.
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

// Times of following.
const (
	// RoutingWait is the longest wait of the watch on the routing. An answer proves
	// that the routing was the newest one when the watch was sent, so what is known
	// is up to twice the wait old: below the usual 2 s within which changes are used.
	RoutingWait = 900 * time.Millisecond
	// ServersWait is that of the watch on servers. Nodes that read it from another
	// node rely on how old its contents are at most, which is twice the wait.
	ServersWait = 1200 * time.Millisecond
	// ServersPause joins changes that come in a row, as when a group forms, into
	// one call. A node that only places calls learns of a group that much later, at
	// most. With 220 engines of which one is lost each second, their entries change
	// some twenty times a second, and each change was a call of each reader.
	ServersPause = 200 * time.Millisecond
	// ActingPause is the same for a node that acts on the entries: each step of a
	// group's formation waits for the one before.
	ActingPause = 50 * time.Millisecond
	// AlonePause is the same for a node that reads for itself only because it reaches no
	// other node: it learns of a new group that much later, and of a lost one by its
	// silence as before.
	AlonePause = 600 * time.Millisecond
	// ResponseMargin is how long past its wait a watch may take to answer.
	ResponseMargin = 700 * time.Millisecond
	// ListTimeout bounds a list.
	ListTimeout = 2 * time.Second
	// Retries wait between these bounds: the first is far above the store's usual
	// answer of some milliseconds, the last lets a node be back well within a
	// second of the store's return, also where it learns of that from another node,
	// which learns of it from a third.
	retryMin = 60 * time.Millisecond
	retryMax = 300 * time.Millisecond
	// RecoveryTime is how long after the store's return living servers' entries may
	// take to be back (rule F2). The platform says about two seconds.
	RecoveryTime = 2300 * time.Millisecond
)

// maxDeparted bounds the lives that are remembered: those of a large zone that is cut off.
const maxDeparted = 512

// Servers is a view of the registered servers. Nobody changes it.
type Servers map[garnetworks.InstanceID]garnetworks.RegisteredServer

// Options describe a follower.
type Options struct {
	Objects garnetworks.ObjectAPI
	Reader  garnetworks.SiteReader
	// Confirmed returns a time at which what was last read of a prefix was the
	// newest state for certain, where Objects know better than by when they were
	// asked; it may be nil.
	Confirmed func(prefix string) time.Time
	// LastResume returns when the instance was last found to have been suspended; it may be
	// nil.
	LastResume func(now time.Time) time.Time
	// Acting reports whether the node acts on what it reads of servers; it may be nil.
	Acting func() bool
	// Alone reports whether nobody else relies on what the node reads; it may be nil.
	Alone func() bool
	// Recorder is told what changes in the node's view.
	Recorder garnetworks.Recorder
	// Random returns values in [0, 1); nil takes the runtime's generator.
	Random func() float64
}

// Follower follows the store. Its views may be read by any goroutine.
type Follower struct {
	options Options
	routing *watcher.Watcher
	servers *watcher.Watcher
	index   atomic.Pointer[matcher.Index]

	mu    sync.Mutex
	known Servers
	// view is a copy of known for readers; it is nil while known is newer.
	view   Servers
	lapsed map[garnetworks.InstanceID]bool
	// departed are the lives that were known and are not any more, at most mostPast of them;
	// pastOrder holds them by when they went.
	departed      map[garnetworks.Incarnation]garnetworks.RegisteredServer
	departedOrder []garnetworks.Incarnation
	// refused holds why the newest entries of some servers can't be decoded.
	refused map[garnetworks.InstanceID]string
	// registered are the servers that registered since registered ones were last told of.
	registered   []garnetworks.InstanceID
	registeredAt time.Time
	changed      []chan struct{}
}

// New returns a follower that knows nothing until Run runs.
func New(options Options) *Follower {
	f := &Follower{
		options: options, known: make(Servers), lapsed: make(map[garnetworks.InstanceID]bool), refused: make(map[garnetworks.InstanceID]string),
		departed: make(map[garnetworks.Incarnation]garnetworks.RegisteredServer),
	}
	common := watcher.Options{
		Margin: ResponseMargin, ListTimeout: ListTimeout,
		RetryMin: retryMin, RetryMax: retryMax, Recorder: options.Recorder, Random: options.Random,
	}
	routing, servers := common, common
	routing.Wait, routing.Certain = RoutingWait, f.confirmedFunc(options.Reader.RoutingKey())
	servers.Wait, servers.Certain = ServersWait, f.confirmedFunc(options.Reader.ServerPrefix())
	servers.Pause = f.pause
	f.routing = watcher.New(options.Objects, options.Reader.RoutingKey(), routing)
	f.servers = watcher.New(options.Objects, options.Reader.ServerPrefix(), servers)
	return f
}

// confirmedFunc returns what tells since when an answer about a prefix is certain; nil if
// that is by when it was asked for.
func (f *Follower) confirmedFunc(prefix string) func() time.Time {
	if f.options.Confirmed == nil {
		return nil
	}
	return func() time.Time { return f.options.Confirmed(prefix) }
}

// pause is the time between two reads of servers that change.
func (f *Follower) pause() time.Duration {
	if f.options.Acting != nil && f.options.Acting() {
		return ActingPause
	}
	if f.options.Alone != nil && f.options.Alone() {
		return AlonePause
	}
	return ServersPause
}

// Changed returns a channel that gets a signal when servers or routing may have
// changed. It is called before Run.
func (f *Follower) Changed() <-chan struct{} {
	c := make(chan struct{}, 1)
	f.changed = append(f.changed, c)
	return c
}

// Index returns the routing in force, or nil before the first one.
func (f *Follower) Index() *matcher.Index { return f.index.Load() }

// Confirmed returns a time at which the routing was the newest one for certain
// (rule F4).
func (f *Follower) Confirmed() time.Time {
	return f.confirmed(f.routing)
}

// confirmed returns since when a prefix's contents are confirmed; zero if the instance
// was suspended since, because ages are then understated.
func (f *Follower) confirmed(w *watcher.Watcher) time.Time {
	at := w.Confirmed()
	if f.options.LastResume != nil && !at.After(f.options.LastResume(time.Now())) {
		return time.Time{}
	}
	return at
}

// RefreshServers reads all servers anew; ServersConfirmed tells when that is done.
func (f *Follower) RefreshServers() { f.servers.Relist() }

// ServersConfirmed returns a time at which the servers were the newest ones for
// certain.
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

// LastEntry returns the last entry of a life that is known no more: whether it has ended is
// asked at the address that it had (rule F7).
func (f *Follower) LastEntry(incarnation garnetworks.Incarnation) (garnetworks.RegisteredServer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.departed[incarnation]
	return s, ok
}

// rememberDeparted remembers a life that is known no more; f.mu is held.
func (f *Follower) rememberDeparted(s *garnetworks.RegisteredServer) {
	incarnation := s.Incarnation()
	if _, known := f.departed[incarnation]; !known {
		f.departedOrder = append(f.departedOrder, incarnation)
	}
	f.departed[incarnation] = *s
	if len(f.departedOrder) > maxDeparted {
		delete(f.departed, f.departedOrder[0])
		f.departedOrder = f.departedOrder[1:]
	}
}

// Ready reports whether routing and servers are known.
func (f *Follower) Ready() bool { return f.Index() != nil && !f.servers.Confirmed().IsZero() }

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.routing.Run(ctx, f.applyRouting) })
	group.Go(func() error { return f.servers.Run(ctx, f.applyServer) })
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
	if o.Deleted {
		f.serverRemoved(id)
		return
	}
	s, err := f.options.Reader.ReadServer(id, o.Value)
	if err != nil {
		f.reject(id, err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordState(&s)
	if old, ok := f.known[id]; ok {
		f.inherit(&old, &s)
	}
	f.known[id] = s
	delete(f.lapsed, id)
	delete(f.refused, id)
	f.publish()
}

// inherit adds to a server's newest entry what earlier ones told (rule F6).
func (f *Follower) inherit(old, s *garnetworks.RegisteredServer) {
	s.InheritFrom(old)
	if old.Incarnation() == s.Incarnation() {
		return
	}
	f.rememberDeparted(old)
	f.record(garnetworks.Event{
		Kind: garnetworks.EventServerRestarted, Instance: s.ID, Zone: s.Zone, Group: old.Membership.Group,
		Detail: fmt.Sprintf("it started at %d, the one known before at %d; what was known of that one is dropped", s.StartMS, old.StartMS),
	})
}

// reject drops the server whose entry can't be decoded (rule F5). It tells so once for
// each reason, however often the entry is written.
func (f *Follower) reject(id garnetworks.InstanceID, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused[id] != err.Error() {
		f.refused[id] = err.Error()
		f.record(garnetworks.Event{Kind: garnetworks.EventServerRefused, Instance: id, Error: garnetworks.KindOf(err), Detail: "its entry names no server: " + err.Error()})
	}
	if _, ok := f.known[id]; ok {
		f.drop(id)
		f.publish()
	}
}

// drop forgets a server, and remembers the incarnation that was known of it (rule F7); f.mu is
// held.
func (f *Follower) drop(id garnetworks.InstanceID) {
	if s, ok := f.known[id]; ok {
		f.rememberDeparted(&s)
	}
	delete(f.known, id)
	delete(f.lapsed, id)
}

// serverRemoved drops a server, or holds it until it is clear that its entry did
// not just lapse in an outage (rule F2).
func (f *Follower) serverRemoved(id garnetworks.InstanceID) {
	recovered, up := f.servers.Recovered()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.refused, id)
	if _, ok := f.known[id]; !ok {
		return
	}
	if !up || time.Since(recovered) < RecoveryTime {
		f.lapsed[id] = true
		f.record(garnetworks.Event{Kind: garnetworks.EventServerLapsed, Instance: id, Detail: "its entry went while the object API was away or just back"})
		return
	}
	f.record(garnetworks.Event{Kind: garnetworks.EventServerGone, Instance: id, Detail: "its entry was removed"})
	f.drop(id)
	f.publish()
}

// expire drops lapsed servers once ReturnTime has passed since the store's
// return.
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
			f.recordRegistrations(time.Now())
		}
	}
}

func (f *Follower) expireLapsed() {
	recovered, up := f.servers.Recovered()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.lapsed) == 0 || !up || time.Since(recovered) < RecoveryTime {
		return
	}
	for id := range f.lapsed {
		f.record(garnetworks.Event{Kind: garnetworks.EventServerGone, Instance: id, Detail: fmt.Sprintf("its entry is not back %s after the object API's return", time.Since(recovered).Round(time.Millisecond))})
		f.drop(id)
	}
	f.publish()
}

func (f *Follower) record(e garnetworks.Event) { f.options.Recorder.Record(e) }

// recordState tells a change of a server's state; f.mu is held.
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

// recordRegistrations tells of the servers that have registered, in one line a second at most:
// with a line for each, 95 nodes that start beside 880 servers wrote 83,600.
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

// publish tells that the known servers have changed; f.mu is held. The view is
// copied when it is asked for, so that many changes in a row cost one copy.
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
