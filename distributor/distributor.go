// Package distributor broadcasts the newest value of each topic to all nodes: first
// along a tree of bounded degree, then by anti-entropy repair between peers for
// what the tree missed.
//
// Its rules:
//
//	D1  A node holds one value per topic and replaces it only by one with a
//	    higher version, whichever peer sends it. Versions never decrease.
//	D2  An update is forwarded along a tree rooted at the publisher: one branch
//	    for each other region, one for each other zone of the region, and
//	    Fanout branches within the zone. Only the first link of a branch crosses
//	    a zone or region boundary.
//	D3  The order within a branch is a hash of node and update, so that over
//	    many updates the forwarding load is spread evenly over the nodes.
//	D4  A node takes responsibility for a part of the targets of an update once:
//	    whoever sends it the same targets again gets an acknowledgement without
//	    another round of forwarding.
//	D5  If the first node of a branch does not answer, the branch is sent to the
//	    next one, up to MaxForwardAttempts nodes; repair covers the rest.
//	D6  Each heartbeat compares digests of what both sides hold. If they differ,
//	    the requesting node fetches what it lacks after RepairGrace, and pushes
//	    what the other side lacked in two consecutive exchanges. Each node thus
//	    holds what a reachable peer holds after one heartbeat interval, and a
//	    node that cannot be called is updated by its own calls.
//	D7  Bodies, messages, topics, jobs and hops are bounded. What exceeds a bound
//	    is counted and left to repair.
//	D8  Transient topics, which are published again periodically, are broadcast
//	    but neither compared nor repaired: some are nearly always in transit, so
//	    that every comparison would differ.
package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Limits (rule D7).
const (
	// DefaultFanout is the number of branches within a zone.
	DefaultFanout = 4
	// MaxForwardAttempts is the number of nodes of a branch that are tried (rule D5).
	MaxForwardAttempts = 3
	// MaxHops bounds the hops of an update; trees are far less deep.
	MaxHops = 12
	// MaxTopics bounds the topics held. Topics are named after zones, so their
	// number grows with the zones, not with the nodes.
	MaxTopics = 1024
	// MaxBatchBytes bounds the total size of the bodies in one message; a single
	// larger body is still sent alone.
	MaxBatchBytes = 256 << 10
	// SendTimeout bounds one call to a peer.
	SendTimeout = 1500 * time.Millisecond
	// RepairGrace is the time that the tree gets to deliver before repair fetches.
	RepairGrace = 200 * time.Millisecond
	// FailureMemory is how long an address that did not answer is tried last.
	FailureMemory = 5 * time.Second
	// maxJobs bounds the forwarding jobs that are queued, and those that run.
	maxJobs = 64
	// maxRepairs bounds the repairs that run at once.
	maxRepairs = 8
)

// Options configure a distributor.
type Options struct {
	Self  garnetworks.NodeInfo
	Peers garnetworks.PeerCaller
	// Nodes returns all known nodes, ready or not; Self is skipped.
	Nodes func() []garnetworks.NodeInfo
	// Apply is called with each new value at this node. The versions of a topic
	// increase, intermediate versions may be skipped, and calls never overlap.
	Apply func(garnetworks.Update)
	// Transient reports whether a topic is transient (rule D8); nil selects the
	// topics that are published periodically.
	Transient func(garnetworks.Topic) bool
	// Fanout is the number of branches within a zone; 0 means DefaultFanout.
	Fanout int
	// Log receives errors of calls to peers; it may be nil.
	Log func(error)
}

// Distributor broadcasts updates. It is safe for concurrent use.
type Distributor struct {
	options  Options
	counters counters

	mu    sync.Mutex
	store store
	// unapplied are the topics whose newest value was not yet passed to Apply.
	unapplied garnetworks.Set[garnetworks.Topic]
	// unsent are the topics published here that are not yet part of a job.
	unsent garnetworks.Set[garnetworks.Topic]
	// failedAt is when each address last failed to answer (rule D5).
	failedAt map[string]time.Time
	// peerMissing is what each peer lacked in the last exchange (rule D6).
	peerMissing map[string]map[garnetworks.Topic]garnetworks.UpdateVersion

	applyReady, sendReady chan struct{}
	jobs                  chan job
	jobSlots, repairSlots chan struct{}
	synced                chan struct{}
	syncOnce              sync.Once
}

// New returns a distributor, which applies and forwards updates while Run runs.
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

// isPeriodic reports whether a topic is published periodically, changed or not.
func isPeriodic(t garnetworks.Topic) bool {
	_, status := garnetworks.CutTopic(t, garnetworks.TopicZoneStatus)
	_, demand := garnetworks.CutTopic(t, garnetworks.TopicDemand)
	return status || demand
}

// Run applies and forwards updates until ctx ends, and returns when all its
// goroutines have ended.
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

// Publish stores a new value and broadcasts it. It returns an error of kind
// KindConflict if the held value is newer or has the same version and another body,
// and of kind KindTooLarge if a limit is exceeded.
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

// Hold stores a new value as Publish does but leaves its distribution to repair.
// It is for values that many nodes read at once from the same source.
func (d *Distributor) Hold(update garnetworks.Update) error {
	d.mu.Lock()
	r := d.accept(update)
	d.mu.Unlock()
	signal(d.applyReady)
	return r.error(update)
}

// accept offers the update to the store and counts the result. The caller holds
// mu.
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

// Handle stores a peer's updates and queues them for forwarding to the targets.
// The response acknowledges receipt by this node only.
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

// runPublish turns published topics into jobs. Topics published while earlier jobs
// are queued are batched, and only the newest value of each topic is sent.
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

// targets returns all nodes except this one.
func (d *Distributor) targets() []garnetworks.NodeInfo {
	var targets []garnetworks.NodeInfo
	for _, n := range d.options.Nodes() {
		if n.ID != d.options.Self.ID && n.Address != d.options.Self.Address {
			targets = append(targets, n)
		}
	}
	return targets
}

// runApply passes new values to Apply, one at a time.
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

// Versions returns the held version of each topic that is not transient.
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

// Digest returns a hash of the versions held, without transient topics.
func (d *Distributor) Digest() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.digest
}

// Missing returns the topics for which versions, held by a peer, are newer than
// the values held here.
func (d *Distributor) Missing(versions map[garnetworks.Topic]garnetworks.UpdateVersion) []garnetworks.Topic {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.missing(versions)
}

// UpdatesNewerThan returns the held values that are newer than versions, in topic
// order and as many as fit into one message.
func (d *Distributor) UpdatesNewerThan(versions map[garnetworks.Topic]garnetworks.UpdateVersion) []garnetworks.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	return firstBatch(d.store.newerThan(versions))
}

// Synced is closed once this node has compared its versions with a peer's and
// fetched what it lacked.
func (d *Distributor) Synced() <-chan struct{} { return d.synced }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// wait waits for a signal on c. It returns false if ctx ended.
func wait(ctx context.Context, c chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c:
		return true
	}
}
