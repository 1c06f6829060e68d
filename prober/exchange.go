package prober

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/garnetworks/garnetworks"
)

const (
	// AgeUnit is the unit of garnetworks.ConfirmRequest's ages.
	AgeUnit = 20 * time.Millisecond
	// AgeNone stands for no confirmation within AgeNone units.
	AgeNone = 255
	// drift is the most by which two monotonic clocks run apart.
	maxDrift = 200e-6
)

// list is what a node tells of some instances. It is never changed.
type statusList struct {
	// sum is the checksum of statuses; 0 for none.
	checksum uint64
	// statuses are sorted by instance and hold no loads.
	statuses []garnetworks.EngineStatus
}

// newList makes a list of sorted statuses.
func newList(statuses []garnetworks.EngineStatus) *statusList {
	if len(statuses) == 0 {
		return &statusList{}
	}
	// Encoding a struct of strings and numbers does not fail.
	encoded, _ := cbor.Marshal(statuses)
	return &statusList{checksum: max(xxhash.Sum64(encoded), 1), statuses: statuses}
}

func compareStatus(s garnetworks.EngineStatus, id garnetworks.InstanceID) int {
	return cmp.Compare(s.Instance, id)
}

// find returns the list's status of an instance.
func (l *statusList) find(id garnetworks.InstanceID) (garnetworks.EngineStatus, bool) {
	i, ok := slices.BinarySearchFunc(l.statuses, id, compareStatus)
	if !ok {
		return garnetworks.EngineStatus{}, false
	}
	return l.statuses[i], true
}

// difference returns what turns base into l.
func (l *statusList) diff(base *statusList) (changed []garnetworks.EngineStatus, removed []garnetworks.InstanceID) {
	for _, s := range l.statuses {
		if known, ok := base.find(s.Instance); !ok || !sameStatus(&known, &s) {
			changed = append(changed, s)
		}
	}
	for _, s := range base.statuses {
		if _, ok := l.find(s.Instance); !ok {
			removed = append(removed, s.Instance)
		}
	}
	return changed, removed
}

// sameStatus compares all that a list holds.
func sameStatus(a, b *garnetworks.EngineStatus) bool {
	return SameConfirmation(a, b) && a.LastOrder == b.LastOrder && a.Load.Capacity == b.Load.Capacity &&
		slices.Equal(a.Weights, b.Weights)
}

// with returns the list after a difference.
func (l *statusList) apply(changed []garnetworks.EngineStatus, removed []garnetworks.InstanceID) *statusList {
	statuses := slices.DeleteFunc(slices.Clone(l.statuses), func(s garnetworks.EngineStatus) bool {
		return slices.Contains(removed, s.Instance)
	})
	for _, s := range changed {
		i, ok := slices.BinarySearchFunc(statuses, s.Instance, compareStatus)
		if ok {
			statuses[i] = s
			continue
		}
		statuses = slices.Insert(statuses, i, s)
	}
	return newList(statuses)
}

// clock relates a peer's monotonic time to this process's: the peer's was stamp
// no earlier than at. It comes from echoes: the peer says that its time was stamp
// when it had this process's answer, which was given at at. The relation is used to count the age of a message from
// before it was sent, however long it was held up on the way (rule P2).
type peerClock struct {
	stamp time.Duration
	at    time.Time
	known bool
}

// observe takes a stamp that the peer reached after the time at, and keeps the
// tighter of the two bounds; the older one loosens by the drift.
func (c *peerClock) observe(stamp time.Duration, at time.Time) {
	if c.known && c.earliest(stamp).After(at) {
		return
	}
	*c = peerClock{stamp, at, true}
}

// earliest returns a moment before which the peer has not read the stamp.
func (c *peerClock) earliest(stamp time.Duration) time.Time {
	since := stamp - c.stamp
	deviation := time.Duration(maxDrift * float64(max(since, -since)))
	return c.at.Add(since - deviation)
}

// peer is what a node knows of another one.
type peer struct {
	incarnation uint64
	clock       peerClock
	// held are the lists that the peer has sent, acked the ones that it is known
	// to hold, by garnetworks.ConfirmRequest.Relayed.
	received, acked map[bool]*statusList
	// echo is the stamp of the peer's last answer, echoAt this process's stamp
	// when it had come, rounded up.
	echo, echoAt uint64
}

// sent returns a moment before which the peer has not read the stamp of a
// message that is here now, by the wall clock of now, or false if none is known.
// A message from the future shows that what is known of the clock is wrong.
func (p *peer) sentAfter(now time.Time, stamp time.Duration) (time.Time, bool) {
	if !p.clock.known {
		return time.Time{}, false
	}
	since := now.Sub(p.clock.earliest(stamp))
	if since < 0 {
		p.clock = peerClock{}
		return time.Time{}, false
	}
	return now.Add(-since), true
}

// suspensionBound is the least jump between wall and monotonic clock that counts
// as a suspension; between two messages, clocks that are being adjusted run apart
// by less than a millisecond.
const suspensionBound = 50 * time.Millisecond

// jumped reports whether the clocks ran apart since the last look.
func clockJumped(previousOffset, wall, monotonic time.Duration) bool {
	offsetChange := wall - monotonic - previousOffset
	return max(offsetChange, -offsetChange) > suspensionBound
}

// checkClock forgets what is known of peers' clocks after a suspension; the
// caller holds mu.
//
// Failure: this node's machine is suspended and its monotonic clock stands still,
// while messages wait for it. Relations from before are then off by the
// suspension and would make old messages look new, and words from before look
// young, here and where they are told. It shows as a jump of the wall clock; from
// then on only later words and echoes of later answers count.
func (x *Exchange) checkClock(now time.Time) {
	monotonic := now.Sub(x.started)
	wall := now.Round(0).Sub(x.started.Round(0))
	if clockJumped(x.wallOffset, wall, monotonic) {
		x.handleSuspension(now)
	}
	x.wallOffset = wall - monotonic
}

// suspended forgets all relations to peers' clocks and lets all words lapse; the
// caller holds mu.
func (x *Exchange) handleSuspension(now time.Time) {
	x.table.expireAll(now)
	x.echoesFrom = x.stamp(now) + 1 // an answer of this millisecond may be from before
	for _, p := range x.peers {
		p.clock = peerClock{}
	}
}

// Outgoing is a request to be sent to a node.
type Outgoing struct {
	To      garnetworks.NodeInfo
	Request *garnetworks.ConfirmRequest
	list    *statusList
}

// Exchange decides what a node tells the others of its zone, and takes what
// they tell (rule P6). It does no I/O and is safe for concurrent use.
type Exchange struct {
	self garnetworks.NodeID
	// started is the origin of the stamps; incarnation tells the process from the
	// node's earlier ones, whose stamps had another origin. It is the start's time
	// in milliseconds, cut to 32 bits to be short.
	started     time.Time
	incarnation uint64
	table       *Table

	mu sync.Mutex
	// apart is how far the wall clock is ahead of the monotonic one, counted from
	// started; echoesFrom is the stamp of the last jump between the two.
	wallOffset  time.Duration
	echoesFrom  uint64
	row, column []garnetworks.NodeInfo
	// own are the instances that the node probes, ofRow those that its row does;
	// both are sorted.
	ownInstances, rowInstances []garnetworks.InstanceID
	peers                      map[garnetworks.NodeID]*peer
}

// NewExchange returns an exchange for a node whose process started at started.
func NewExchange(self garnetworks.NodeID, started time.Time, table *Table) *Exchange {
	return &Exchange{self: self, started: started, incarnation: uint64(uint32(started.UnixMilli())), table: table, peers: make(map[garnetworks.NodeID]*peer)}
}

// SetTopology takes the nodes and targets of the site; others than the zone's are
// left out. A node that is not listed neither tells nor hears anything.
func (x *Exchange) SetTopology(nodes []garnetworks.NodeInfo, targets []Target) {
	zone := zoneOf(x.self, nodes)
	g, a := newGrid(zone, nodes), newAssigner(zone, nodes)
	row, column := g.row(x.self), g.column(x.self)
	rowNodes := garnetworks.NewSet(x.self)
	for _, n := range row {
		rowNodes.Add(n.ID)
	}
	var ownInstances, rowInstances []garnetworks.InstanceID
	for _, t := range targets {
		if t.Zone != zone {
			continue
		}
		probers := a.probers(t.Instance)
		if slices.Contains(probers, x.self) {
			ownInstances = append(ownInstances, t.Instance)
		}
		if slices.ContainsFunc(probers, rowNodes.Has) {
			rowInstances = append(rowInstances, t.Instance)
		}
	}
	slices.Sort(ownInstances)
	slices.Sort(rowInstances)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.row, x.column, x.ownInstances, x.rowInstances = row, column, ownInstances, rowInstances
	x.removePeers(nodes)
}

// forget drops peers that are no longer nodes; the caller holds mu.
func (x *Exchange) removePeers(nodes []garnetworks.NodeInfo) {
	known := garnetworks.NewSet[garnetworks.NodeID]()
	for i := range nodes {
		known.Add(nodes[i].ID)
	}
	for id := range x.peers {
		if !known.Has(id) {
			delete(x.peers, id)
		}
	}
}

// peer returns the state of a node's process, made anew after its restart; the
// caller holds mu.
func (x *Exchange) peer(id garnetworks.NodeID, incarnation uint64) *peer {
	p, ok := x.peers[id]
	if !ok || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, received: make(map[bool]*statusList), acked: make(map[bool]*statusList)}
		x.peers[id] = p
	}
	return p
}

// Outgoing returns the requests to send now.
func (x *Exchange) Outgoing(now time.Time) []Outgoing {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.checkClock(now)
	out := make([]Outgoing, 0, len(x.row)+len(x.column))
	out = x.appendRequests(out, now, x.row, x.ownInstances, false)
	return x.appendRequests(out, now, x.column, x.rowInstances, true)
}

// tell appends the requests to some nodes about some instances.
func (x *Exchange) appendRequests(out []Outgoing, now time.Time, to []garnetworks.NodeInfo, ids []garnetworks.InstanceID, relayed bool) []Outgoing {
	if len(to) == 0 {
		return out
	}
	l, ages, loads := x.table.snapshot(now, ids)
	for _, n := range to {
		request := &garnetworks.ConfirmRequest{
			From: x.self, Incarnation: x.incarnation, Stamp: x.stamp(now), Relayed: relayed,
			ListChecksum: l.checksum, Ages: ages, Loads: loads,
		}
		base := &statusList{}
		if p, ok := x.peers[n.ID]; ok {
			request.Echo, request.EchoAt, request.EchoIncarnation = p.echo, p.echoAt, p.incarnation
			if p.acked[relayed] != nil {
				base = p.acked[relayed]
			}
		}
		if base.checksum != l.checksum {
			request.BaseChecksum = base.checksum
			request.Changed, request.Removed = l.diff(base)
		}
		out = append(out, Outgoing{n, request, l})
	}
	return out
}

// stamp returns the process's monotonic time in milliseconds, rounded down.
func (x *Exchange) stamp(now time.Time) uint64 {
	return uint64(max(now.Sub(x.started), 0) / time.Millisecond)
}

// HandleRequest takes another node's request and returns the answer and the
// instances whose word has changed.
func (x *Exchange) HandleRequest(now time.Time, r *garnetworks.ConfirmRequest) (*garnetworks.ConfirmResponse, []garnetworks.InstanceID) {
	x.mu.Lock()
	x.checkClock(now)
	p := x.peer(r.From, r.Incarnation)
	current := p.applyRequest(r)
	if r.EchoAt > 0 && r.EchoIncarnation == x.incarnation && r.Echo >= x.echoesFrom {
		p.clock.observe(time.Duration(r.EchoAt)*time.Millisecond, x.started.Add(time.Duration(r.Echo)*time.Millisecond))
	}
	base, known := p.sentAfter(now, time.Duration(r.Stamp)*time.Millisecond)
	x.mu.Unlock()
	response := &garnetworks.ConfirmResponse{Incarnation: x.incarnation, Stamp: x.stamp(now), ListChecksum: current.checksum}
	if current.checksum != r.ListChecksum || len(r.Ages) != len(current.statuses) || !known {
		// The ages are of other statuses than the ones held, or the sender's clock
		// is not known yet: nothing is refreshed, and the next request, after the
		// answer, brings what is missing.
		return response, nil
	}
	return response, x.table.Merge(base, current.results(base, r))
}

// take applies a request's difference to the list that the peer has sent before
// and returns the list held then.
func (p *peer) applyRequest(r *garnetworks.ConfirmRequest) *statusList {
	current := p.received[r.Relayed]
	if current == nil {
		current = &statusList{}
	}
	if current.checksum == r.ListChecksum {
		return current
	}
	base := current
	if r.BaseChecksum == 0 {
		base = &statusList{}
	}
	if base.checksum != r.BaseChecksum {
		return current
	}
	if next := base.apply(r.Changed, r.Removed); next.checksum == r.ListChecksum {
		current = next
	}
	p.received[r.Relayed] = current
	return current
}

// results turns a list with ages into results.
func (l *statusList) results(base time.Time, r *garnetworks.ConfirmRequest) []garnetworks.ProbeResult {
	results := make([]garnetworks.ProbeResult, 0, len(l.statuses))
	loads := make(map[int][]uint32, len(r.Loads)/loadFields)
	for i := 0; i+loadFields <= len(r.Loads); i += loadFields {
		loads[int(r.Loads[i])] = r.Loads[i+1 : i+loadFields]
	}
	for i, s := range l.statuses {
		if r.Ages[i] == AgeNone {
			continue
		}
		age := time.Duration(r.Ages[i]) * AgeUnit
		s.Load.At = base.Add(-age)
		if v, ok := loads[i]; ok {
			s.Load.Running, s.Load.Waiting, s.Load.CacheUsed = int(v[0]), int(v[1]), float64(v[2])/100
		}
		results = append(results, garnetworks.ProbeResult{Status: s, Age: age})
	}
	return results
}

// loadFields is the count of numbers for each load in a request.
const loadFields = 4

// HandleResponse takes a node's answer to a request.
func (x *Exchange) HandleResponse(now time.Time, o *Outgoing, response *garnetworks.ConfirmResponse) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(o.To.ID, response.Incarnation)
	p.echo, p.echoAt = response.Stamp, x.stamp(now)+1
	p.acked[o.Request.Relayed] = nil
	if response.ListChecksum == o.list.checksum {
		p.acked[o.Request.Relayed] = o.list
	}
}

// snapshot returns what the table says of some sorted instances: a list, and
// the ages and loads that go with it.
func (t *Table) snapshot(now time.Time, ids []garnetworks.InstanceID) (l *statusList, ages []byte, loads []uint32) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	statuses := make([]garnetworks.EngineStatus, 0, len(ids))
	ages = make([]byte, 0, len(ids))
	for _, id := range ids {
		e, ok := t.entries[id]
		if !ok {
			continue
		}
		s := e.status
		if s.Load.Running > 0 || s.Load.Waiting > 0 || s.Load.CacheUsed > 0 {
			loads = append(loads, uint32(len(statuses)), uint32(s.Load.Running), uint32(s.Load.Waiting), uint32(s.Load.CacheUsed*100))
		}
		s.Load = garnetworks.EngineLoad{Capacity: s.Load.Capacity}
		s.CacheEvents = 0
		statuses = append(statuses, s)
		ages = append(ages, encodeAge(e.age(now)))
	}
	return newList(statuses), ages, loads
}

// encodeAge rounds an age up to units.
func encodeAge(age time.Duration) byte {
	return byte(min((max(age, 0)+AgeUnit-1)/AgeUnit, AgeNone))
}
