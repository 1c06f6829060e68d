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
	// AgeUnit is the unit of the ages in garnetworks.ConfirmRequest.
	AgeUnit = 20 * time.Millisecond
	// AgeNone says that there is no confirmation younger than AgeNone units.
	AgeNone = 255
	// maxDrift is the maximum relative drift between two monotonic clocks.
	maxDrift = 200e-6
)

// statusList is an immutable list of the statuses of some instances.
type statusList struct {
	// checksum is the checksum of statuses; 0 if there are none.
	checksum uint64
	// statuses are sorted by instance; only the capacity of their loads is set.
	statuses []garnetworks.EngineStatus
}

// newList returns a list of sorted statuses.
func newList(statuses []garnetworks.EngineStatus) *statusList {
	if len(statuses) == 0 {
		return &statusList{}
	}
	// Encoding a struct of strings and numbers can't fail.
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

// diff returns the changes from base to l.
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

// sameStatus compares the parts of statuses that a list holds.
func sameStatus(a, b *garnetworks.EngineStatus) bool {
	return SameConfirmation(a, b) && a.LastOrder == b.LastOrder && a.Load.Capacity == b.Load.Capacity &&
		slices.Equal(a.Weights, b.Weights)
}

// apply returns the list with changes applied.
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

// peerClock relates a peer's monotonic clock to this process's clock: the peer's clock reached
// stamp no earlier than at. The relation comes from echoes: the peer reports that its clock
// showed stamp when it received a response that this process sent at time at. It is used to
// compute a message's age from before it was sent, however long it was delayed (rule P2).
type peerClock struct {
	stamp time.Duration
	at    time.Time
	known bool
}

// observe handles a stamp that the peer reached no earlier than at. It keeps whichever relation
// gives the later bound; the older one has loosened by the drift.
func (c *peerClock) observe(stamp time.Duration, at time.Time) {
	if c.known && c.earliest(stamp).After(at) {
		return
	}
	*c = peerClock{stamp, at, true}
}

// earliest returns a time before which the peer's clock had not reached stamp.
func (c *peerClock) earliest(stamp time.Duration) time.Time {
	since := stamp - c.stamp
	deviation := time.Duration(maxDrift * float64(max(since, -since)))
	return c.at.Add(since - deviation)
}

// peer is the state that a node keeps about another one.
type peer struct {
	incarnation uint64
	clock       peerClock
	// received are the lists that the peer has sent, acked those that it has acknowledged
	// holding, both by garnetworks.ConfirmRequest.Relayed.
	received, acked map[bool]*statusList
	// echo is the stamp of the peer's last response, echoAt this process's stamp when it
	// arrived, rounded up.
	echo, echoAt uint64
}

// sentAfter returns a time, on the wall clock of now, before which a message that has arrived
// with the stamp was not sent, or false if none is known. If that time is in the future, the
// clock relation is wrong and is dropped.
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

// suspensionBound is the smallest jump between wall and monotonic clock that counts as a
// suspension; clock adjustments between two messages are much smaller.
const suspensionBound = 50 * time.Millisecond

// clockJumped reports whether the offset between the clocks has jumped from previousOffset.
func clockJumped(previousOffset, wall, monotonic time.Duration) bool {
	offsetChange := wall - monotonic - previousOffset
	return max(offsetChange, -offsetChange) > suspensionBound
}

// checkClock detects a suspension of this machine and handles it. The caller holds mu.
//
// While a machine is suspended, its monotonic clock stops and messages wait. Older clock
// relations are then off by the length of the suspension: old messages would look new, and old
// confirmations recent, here and at the nodes they are sent to. The suspension shows as a jump
// of the wall clock.
func (x *Exchange) checkClock(now time.Time) {
	monotonic := now.Sub(x.started)
	wall := now.Round(0).Sub(x.started.Round(0))
	if clockJumped(x.wallOffset, wall, monotonic) {
		x.handleSuspension(now)
	}
	x.wallOffset = wall - monotonic
}

// handleSuspension drops all clock relations and expires all statuses; afterwards only newer
// statuses and echoes of newer responses count. The caller holds mu.
func (x *Exchange) handleSuspension(now time.Time) {
	x.table.expireAll(now)
	x.echoesFrom = x.stamp(now) + 1 // a response in this millisecond may be from before
	for _, p := range x.peers {
		p.clock = peerClock{}
	}
}

// Outgoing is a request to send to a node.
type Outgoing struct {
	To      garnetworks.NodeInfo
	Request *garnetworks.ConfirmRequest
	list    *statusList
}

// Exchange computes the requests that a node sends to other nodes of its zone, and handles
// theirs (rule P6). It does no I/O and is safe for concurrent use.
type Exchange struct {
	self garnetworks.NodeID
	// started is the origin of the stamps. incarnation distinguishes the process from the
	// node's earlier ones, whose stamps had another origin: the start time in milliseconds,
	// truncated to 32 bits to be short.
	started     time.Time
	incarnation uint64
	table       *Table

	mu sync.Mutex
	// wallOffset is how far the wall clock is ahead of the monotonic one since started,
	// echoesFrom the lowest stamp whose echo counts.
	wallOffset  time.Duration
	echoesFrom  uint64
	row, column []garnetworks.NodeInfo
	// ownInstances are the instances that the node probes, rowInstances those that its row
	// probes; both are sorted.
	ownInstances, rowInstances []garnetworks.InstanceID
	peers                      map[garnetworks.NodeID]*peer
}

// NewExchange returns an exchange for a node whose process started at started.
func NewExchange(self garnetworks.NodeID, started time.Time, table *Table) *Exchange {
	return &Exchange{self: self, started: started, incarnation: uint64(uint32(started.UnixMilli())), table: table, peers: make(map[garnetworks.NodeID]*peer)}
}

// SetTopology sets the nodes and targets of the site; those of other zones are ignored. A node
// that is not listed sends nothing.
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

// removePeers removes peers that are no longer nodes. The caller holds mu.
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

// peer returns the state of a node's process, which is new after a restart. The caller holds mu.
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

// appendRequests appends the requests that send the statuses of instances to nodes.
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

// HandleRequest handles another node's request and returns the response and the instances whose
// confirmation has changed.
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
		// The ages refer to other statuses than the current ones, or the sender's clock is
		// unknown. Nothing is refreshed; after the response, the sender's next request
		// includes what is missing.
		return response, nil
	}
	return response, x.table.Merge(base, current.results(base, r))
}

// applyRequest applies a request's changes to the list received from the peer and returns the
// current list. It stays as it was if the request refers to another base.
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

// results converts a list with ages and loads to probe results.
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

// loadFields is the number of values per load in a request.
const loadFields = 4

// HandleResponse handles a node's response to a request.
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

// snapshot returns a list of the table's statuses of the given sorted instances, with their
// ages and loads.
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

// encodeAge rounds an age up to units of AgeUnit, at most AgeNone.
func encodeAge(age time.Duration) byte {
	return byte(min((max(age, 0)+AgeUnit-1)/AgeUnit, AgeNone))
}
