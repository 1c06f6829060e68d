package leaser

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/garnetworks/garnetworks"
	"github.com/oklog/ulid/v2"
)

// DefaultCandidates is the default number of nodes that read a lease frequently (L7).
const DefaultCandidates = 3

// Options configure a lease and the node that contends for it.
type Options struct {
	// Self is the node's name; unique among the contenders.
	Self garnetworks.NodeID
	// Key is the record's key in the object API.
	Key     string
	Objects garnetworks.ObjectAPI
	// Settings default to Defaults() if Duration is 0.
	Settings Settings
	// Candidates defaults to DefaultCandidates if it is 0 or below.
	Candidates int
	// Recorder may be nil.
	Recorder garnetworks.Recorder
	// Zone is recorded with the lease's events.
	Zone garnetworks.ZoneID
	// MilliCPU is the share of a core that the node may use, in thousandths; 0 if it is
	// unknown.
	MilliCPU int
	// StartDelay is how long the node does not contend after its start. If all nodes start
	// at once, none knows the others yet, and without a delay the first one to read the
	// record would hold the lease, whatever its CPU share.
	StartDelay time.Duration
	// FirstStart says that the site starts for the first time (L10).
	FirstStart bool
	// SoleProcess says that the platform starts a process of this node only after the earlier
	// one has ended (L9).
	SoleProcess bool
}

// Lease contends for a lease in the object API. It is safe for concurrent use.
type Lease struct {
	options Options
	// changed has a buffer of one signal; see Changed.
	changed chan struct{}
	wake    chan struct{}

	mu    sync.Mutex
	state *State
	held  bool
}

// New returns a lease. It does not contend before Run is called.
func New(options Options) (*Lease, error) {
	if options.Settings.Duration == 0 {
		options.Settings = Defaults()
	}
	if err := options.Settings.Check(); err != nil {
		return nil, err
	}
	if options.Self == "" || options.Key == "" || options.Objects == nil {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidSettings, "a lease needs a node name, a key and an object API")
	}
	if options.Candidates <= 0 {
		options.Candidates = DefaultCandidates
	}
	state := NewState(options.Self, options.Settings)
	state.Candidates, state.FirstStart = options.Candidates, options.FirstStart
	if options.SoleProcess {
		state.SoleSince = time.Now()
	}
	if options.StartDelay > 0 {
		state.nextRead = time.Now().Add(options.StartDelay)
	}
	return &Lease{
		options: options,
		state:   state,
		changed: make(chan struct{}, 1),
		wake:    make(chan struct{}, 1),
	}, nil
}

// SetContenders sets the nodes that contend, from the zone's roster, so that only the
// first few in rank read the record frequently (L7). The node counts as a contender
// even if it is missing from its own roster.
func (l *Lease) SetContenders(nodes []garnetworks.NodeInfo) {
	self := garnetworks.NodeInfo{ID: l.options.Self, Zone: l.options.Zone, MilliCPU: l.options.MilliCPU}
	rank := Rank(l.options.Key, self, nodes)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.setRank(time.Now(), rank, rand.Float64()) {
		signal(l.wake)
	}
}

// Begin ends the start delay of a node that knows the other contenders sooner.
func (l *Lease) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.begin() {
		signal(l.wake)
	}
}

// Rank returns the number of nodes that rank before self for key.
func Rank(key string, self garnetworks.NodeInfo, nodes []garnetworks.NodeInfo) int {
	isSelf := func(n garnetworks.NodeInfo) bool { return n.ID == self.ID }
	others := slices.DeleteFunc(slices.Clone(nodes), isSelf)
	return slices.IndexFunc(RankNodes(key, append(others, self)), isSelf)
}

// RankNodes returns the nodes in their rank for key, highest first (rule L8).
func RankNodes(key string, nodes []garnetworks.NodeInfo) []garnetworks.NodeInfo {
	type ranked struct {
		garnetworks.NodeInfo
		weight uint64
		// zoneRank is the number of nodes of the same zone that come before the node.
		zoneRank int
	}
	list := make([]ranked, len(nodes))
	for i, n := range nodes {
		list[i] = ranked{NodeInfo: n, weight: weight(key, n.ID)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	zoneCounts := make(map[garnetworks.ZoneID]int)
	for i := range list {
		list[i].zoneRank = zoneCounts[list[i].Zone]
		zoneCounts[list[i].Zone]++
	}
	slices.SortStableFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.MilliCPU, a.MilliCPU), cmp.Compare(a.zoneRank, b.zoneRank))
	})
	sorted := make([]garnetworks.NodeInfo, len(list))
	for i := range list {
		sorted[i] = list[i].NodeInfo
	}
	return sorted
}

func weight(key string, node garnetworks.NodeID) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(node))
}

// Run contends for the lease until ctx ends, then steps down if it holds it. The caller
// must have ended its orders before it cancels ctx (L6).
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		action := l.next()
		switch action.Kind {
		case ActionRead:
			l.read(ctx)
		case ActionWrite:
			l.write(ctx, action)
		case ActionWait:
			l.wait(ctx, action.At)
		}
	}
	l.stepDown()
	return nil
}

func (l *Lease) next() Action {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Next(time.Now(), ulid.Make().String())
}

func (l *Lease) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Settings.RenewInterval)
	defer cancel()
	object, err := l.options.Objects.Get(ctx, l.options.Key)
	record := garnetworks.LeaseRecord{}
	if err == nil {
		err = json.Unmarshal(object.Value, &record)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.OnRead(time.Now(), record, object.Revision, err, rand.Float64())
	l.updateHeldLocked()
}

func (l *Lease) write(ctx context.Context, action Action) {
	value, err := json.Marshal(action.Record)
	if err != nil {
		panic("leaser: a lease record does not marshal: " + err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.Settings.RenewInterval)
	defer cancel()
	revision, err := l.options.Objects.Put(ctx, l.options.Key, value, action.After)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.OnWrite(time.Now(), revision, err)
	l.updateHeldLocked()
}

func (l *Lease) wait(ctx context.Context, until time.Time) {
	timer := time.NewTimer(max(time.Until(until), time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-l.wake:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateHeldLocked()
}

// Limits for stepping down: the number of calls to read back an unclear write and to
// release the record, and the total time for them.
const (
	maxStepDownCalls = 6
	stepDownTimeout  = 2 * time.Second
)

// stepDown releases the record, so that the successor need not wait until the lease
// expires. It gives up early, because a record that is not released only delays the
// successor.
//
// Failure: the node stops while the response to a renewal is lost. The write that
// releases the record then meets a conflict, or the read that would resolve it is not yet
// due; giving up there would delay the successor by the whole lease. So short waits are
// waited out, and a write that did not release the record is followed by a read.
func (l *Lease) stepDown() {
	l.mu.Lock()
	l.state.Closing = true
	l.mu.Unlock()
	deadline := time.Now().Add(stepDownTimeout)
	for range maxStepDownCalls {
		action := l.next()
		switch action.Kind {
		case ActionRead:
			l.read(context.Background())
		case ActionWrite:
			l.write(context.Background(), action)
		case ActionWait:
			if action.At.After(deadline) {
				return
			}
			l.wait(context.Background(), action.At)
		}
	}
}

// updateHeldLocked records and signals a change of whether the lease is held.
func (l *Lease) updateHeldLocked() {
	held := l.state.Term(time.Now()) != 0
	if held == l.held {
		return
	}
	l.held = held
	signal(l.changed)
	if l.options.Recorder == nil {
		return
	}
	kind := garnetworks.EventLeaseLost
	if held {
		kind = garnetworks.EventLeaseTaken
	}
	l.options.Recorder.Record(garnetworks.Event{Kind: kind, Zone: l.options.Zone, Detail: l.options.Key})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Changed returns a channel that gets a signal when the lease may have been taken or lost.
func (l *Lease) Changed() <-chan struct{} { return l.changed }

// Term returns the term under which this node holds the lease at now, or 0.
func (l *Lease) Term(now time.Time) uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Term(now)
}

// Contested reports whether another node has held the lease since this process last held
// it, as far as it knows. A holder that is cut off from the object API has expired but
// is not contested.
func (l *Lease) Contested() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.state.Holding
}

// Snapshot returns a copy of the state, for status pages.
func (l *Lease) Snapshot() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *l.state
}

// RaiseFloor makes the holder's next term exceed floor (L5).
func (l *Lease) RaiseFloor(floor uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.RaiseFloor(time.Now(), floor)
	l.updateHeldLocked()
	signal(l.wake)
}

// Yield releases the lease, so that another node can take it, and keeps this node from
// contending for the duration.
func (l *Lease) Yield(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Yield(time.Now(), duration)
	l.updateHeldLocked()
	signal(l.wake)
}

// OrderContext returns a context for one order that ends within the order bound and
// before the lease does, or KindLeaseLost. It must be called right before the order
// is sent (L3), so that a holder that was paused finds out that its lease has expired.
func (l *Lease) OrderContext(ctx context.Context) (context.Context, context.CancelFunc, error) {
	l.mu.Lock()
	bound := l.options.Settings.OrderBound
	now := time.Now()
	remaining, ok := l.state.MayAct(now, bound)
	l.mu.Unlock()
	if !ok {
		return nil, nil, garnetworks.Errorf(garnetworks.KindLeaseLost, "the lease %s ends in %s, before the order could", l.options.Key, remaining)
	}
	orderCtx, cancel := context.WithDeadline(ctx, now.Add(bound))
	return orderCtx, cancel, nil
}

// OrderBound returns the longest time for which an order may be in flight.
func (l *Lease) OrderBound() time.Duration { return l.options.Settings.OrderBound }
