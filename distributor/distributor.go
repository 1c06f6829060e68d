// Package distributor spreads the newest value of each topic to all nodes: at
// once through a tree of bounded degree, and by repair between peers for what
// the tree missed.
//
// Its rules:
//
//	D1  A node holds one value of a topic, and replaces it only by one with a
//	    higher version, from whomever it comes. Nothing goes back.
//	D2  An update is handed down a tree whose root is the publisher: one branch
//	    for each other region, one for each other zone of the region, Fanout
//	    branches in the zone. No link but a branch's first crosses a border.
//	D3  The order within a branch is a hash of node and update, so that over
//	    many updates each node forwards about as often as the others.
//	D4  A node answers for a part of the targets of an update once: whoever hands
//	    it the same targets again is acknowledged without another round.
//	D5  If the first node of a branch does not answer, the next one gets the
//	    branch, MaxHeads in all; what is then left is for repair.
//	D6  Each heartbeat compares digests of what both sides hold. If they differ,
//	    the asking node fetches what it lacks after RepairGrace, and pushes what
//	    the other side lacked in two exchanges running. Thus each node holds
//	    what a peer in reach holds after one heartbeat interval, and a node that
//	    nobody can call is served by its own calls.
//	D7  Bodies, messages, topics, jobs and hops are bounded. What a bound refuses
//	    is counted, and repair makes up for it.
//	D8  Transient topics, whose next value comes soon of itself, are spread but
//	    neither compared nor repaired: they are nearly always on their way
//	    somewhere, so every comparison would differ.
package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Bounds (rule D7).
const (
	// DefaultFanout is the number of branches within a zone.
	DefaultFanout = 4
	// MaxHeads is how many nodes of a branch are tried (rule D5).
	MaxForwardAttempts = 3
	// MaxHops is the most steps an update takes; a tree over 330 nodes takes
	// five.
	MaxHops = 12
	// MaxTopics bounds the topics held. Topics are named after zones, so their
	// number grows with zones, not with nodes.
	MaxTopics = 1024
	// MaxBatchBytes bounds the bodies in one message, except that one body of
	// any size fits.
	MaxBatchBytes = 256 << 10
	// SendBound bounds one handing on.
	SendTimeout = 1500 * time.Millisecond
	// RepairGrace is the time that the tree gets before repair steps in.
	RepairGrace = 200 * time.Millisecond
	// FailedFor is how long an address that did not answer is tried last.
	FailureMemory = 5 * time.Second
	// maxJobs bounds the handings on that wait or run.
	maxJobs = 64
	// maxRepairs bounds the repairs in progress.
	maxRepairs = 8
)

// Options are what a distributor needs.
type Options struct {
	Self  garnetworks.NodeInfo
	Peers garnetworks.PeerCaller
	// Nodes returns the nodes to reach, ready or not; Self is skipped.
	Nodes func() []garnetworks.NodeInfo
	// Apply takes each new value in force at this node. Versions of a topic
	// come in rising order, versions in between may be left out, and calls never
	// overlap.
	Apply func(garnetworks.Update)
	// Transient tells the transient topics (rule D8); nil means those that the
	// zones' controllers send each second or so.
	Transient func(garnetworks.Topic) bool
	// Fanout is the number of branches within a zone; DefaultFanout if 0.
	Fanout int
	// Log may be nil.
	Log func(error)
}

// Distributor spreads updates. It is safe for concurrent use.
type Distributor struct {
	options  Options
	counters counters

	mu    sync.Mutex
	store store
	// unapplied are topics whose newest value Apply has not seen.
	unapplied garnetworks.Set[garnetworks.Topic]
	// unsent are topics published here that wait for a job.
	unsent garnetworks.Set[garnetworks.Topic]
	// failed holds when an address last gave no answer (rule D5).
	failedAt map[string]time.Time
	// lacked is what each peer lacked in the last exchange (rule D6).
	peerMissing map[string]map[garnetworks.Topic]garnetworks.UpdateVersion

	applyReady, sendReady chan struct{}
	jobs                  chan job
	jobSlots, repairSlots chan struct{}
	synced                chan struct{}
	syncOnce              sync.Once
}

// New returns a distributor; Run starts its work.
func New(options Options) *Distributor {
	if options.Fanout <= 0 {
		options.Fanout = DefaultFanout
	}
	if options.Log == nil {
		options.Log = func(error) {}
	}
	if options.Transient == nil {
		options.Transient = isPeriodic
	}
	return &Distributor{
		options:     options,
		store:       newStore(options.Transient),
		unapplied:   garnetworks.NewSet[garnetworks.Topic](),
		unsent:      garnetworks.NewSet[garnetworks.Topic](),
		failedAt:    map[string]time.Time{},
		peerMissing: map[string]map[garnetworks.Topic]garnetworks.UpdateVersion{},
		applyReady:  make(chan struct{}, 1),
		sendReady:   make(chan struct{}, 1),
		jobs:        make(chan job, maxJobs),
		jobSlots:    make(chan struct{}, maxJobs),
		repairSlots: make(chan struct{}, maxRepairs),
		synced:      make(chan struct{}),
	}
}

// periodic tells the topics that are sent again and again, changed or not.
func isPeriodic(t garnetworks.Topic) bool {
	_, status := garnetworks.CutTopic(t, garnetworks.TopicZoneStatus)
	_, demand := garnetworks.CutTopic(t, garnetworks.TopicDemand)
	return status || demand
}

// Run applies and hands on until ctx ends; it returns when all its work has
// ended.
func (d *Distributor) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { d.runApply(ctx) })
	group.Go(func() { d.runPublish(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-d.jobs:
			select {
			case d.jobSlots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-d.jobSlots }()
				d.forward(ctx, j)
			})
		}
	}
}

// Publish takes a new value and spreads it. A value that is not newer than the
// held one is refused with KindConflict, one above a bound with KindTooLarge.
func (d *Distributor) Publish(update garnetworks.Update) error {
	d.mu.Lock()
	r := d.accept(update)
	if r == accepted {
		d.unsent.Add(update.Topic)
		d.counters.published.Add(1)
	}
	d.mu.Unlock()
	signal(d.applyReady)
	signal(d.sendReady)
	return r.error(update)
}

// Hold takes a new value as Publish does, but leaves its spreading to repair. It
// is for values that many nodes read at once from the same place.
func (d *Distributor) Hold(update garnetworks.Update) error {
	d.mu.Lock()
	r := d.accept(update)
	d.mu.Unlock()
	signal(d.applyReady)
	return r.error(update)
}

// take puts the update into the store and counts what became of it. The caller
// holds mu.
func (d *Distributor) accept(update garnetworks.Update) result {
	r := d.store.accept(update)
	switch r {
	case accepted:
		d.counters.accepted.Add(1)
		d.unapplied.Add(update.Topic)
	case duplicate:
		d.counters.duplicates.Add(1)
	case older:
		d.counters.older.Add(1)
	case conflicting:
		d.counters.conflicts.Add(1)
	default:
		d.counters.refused.Add(1)
	}
	return r
}

// Handle takes a peer's updates and hands them on to its targets later; the
// answer is for this node alone.
func (d *Distributor) Handle(request *garnetworks.DistributeRequest) *garnetworks.DistributeResponse {
	targets := d.resolve(request.Targets)
	d.mu.Lock()
	fresh := 0
	var jobs []job
	for _, u := range request.Updates {
		if d.accept(u) == accepted {
			fresh++
		}
		jobs = d.appendJob(jobs, u, targets, request.Hops)
	}
	d.mu.Unlock()
	if fresh > 0 {
		signal(d.applyReady)
	}
	for _, j := range jobs {
		d.enqueue(j)
	}
	return &garnetworks.DistributeResponse{Accepted: fresh}
}

// runPublish turns published topics into jobs. Topics published while jobs wait
// are joined, and of one topic only the newest value is sent.
func (d *Distributor) runPublish(ctx context.Context) {
	for wait(ctx, d.sendReady) {
		for _, j := range d.publishJobs() {
			select {
			case d.jobs <- j:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (d *Distributor) publishJobs() []job {
	targets := d.targets()
	d.mu.Lock()
	defer d.mu.Unlock()
	var updates []garnetworks.Update
	for _, t := range garnetworks.Sorted(d.unsent) {
		updates = append(updates, d.store.held[t])
	}
	clear(d.unsent)
	if len(targets) == 0 {
		return nil
	}
	var jobs []job
	for _, batch := range batches(updates) {
		for _, u := range batch {
			d.store.claim(u, targets)
		}
		jobs = append(jobs, job{updates: batch, targets: targets})
	}
	return jobs
}

// targets are all nodes but this one.
func (d *Distributor) targets() []garnetworks.NodeInfo {
	var targets []garnetworks.NodeInfo
	for _, n := range d.options.Nodes() {
		if n.ID != d.options.Self.ID && n.Address != d.options.Self.Address {
			targets = append(targets, n)
		}
	}
	return targets
}

// runApply brings new values into force, one after the other.
func (d *Distributor) runApply(ctx context.Context) {
	for wait(ctx, d.applyReady) {
		for _, u := range d.pendingUpdates() {
			d.options.Apply(u)
		}
	}
}

func (d *Distributor) pendingUpdates() []garnetworks.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	var updates []garnetworks.Update
	for _, t := range garnetworks.Sorted(d.unapplied) {
		updates = append(updates, d.store.held[t])
	}
	clear(d.unapplied)
	return updates
}

// Versions returns the versions held.
func (d *Distributor) Versions() map[garnetworks.Topic]garnetworks.UpdateVersion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.versions()
}

// Get returns the held value of a topic.
func (d *Distributor) Get(topic garnetworks.Topic) (garnetworks.Update, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.store.held[topic]
	return u, ok
}

// Digest sums up the versions held.
func (d *Distributor) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.digest
}

// Missing returns the topics of which the other side, that holds versions, has
// a newer value.
func (d *Distributor) Missing(versions map[garnetworks.Topic]garnetworks.UpdateVersion) []garnetworks.Topic {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.missing(versions)
}

// UpdatesSince returns the values that the other side, which holds versions,
// lacks, in topic order and as far as they fit into one message.
func (d *Distributor) UpdatesNewerThan(versions map[garnetworks.Topic]garnetworks.UpdateVersion) []garnetworks.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return firstBatch(d.store.newerThan(versions))
}

// Synced is closed once this node has compared what it holds with a peer and
// fetched what it lacked.
func (d *Distributor) Synced() <-chan struct{} { return d.synced }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait reports false when ctx has ended.
func wait(ctx context.Context, c chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c:
		return true
	}
}
