package tracker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Limits of the state.
const (
	// unlistedTTL is how long a node that no roster lists is kept after it was last heard.
	unlistedTTL = 10 * time.Second
	// maxIndirectProbes limits the nodes that one heartbeat asks about, and the nodes probed
	// for peers in one tick.
	maxIndirectProbes = 8
	// maxRemoteMembers limits the recorded nodes of other zones.
	maxRemoteMembers = 64
	// maxBackoff limits the delay after failed roster writes.
	maxBackoff = 15 * time.Second
	// maxConfirmDoublings limits the growth of the confirmation timeout of a flapping node.
	maxConfirmDoublings = 6
	// lossTTL is the time after which losses are forgotten. maxLossHistories limits the
	// number of nodes whose losses are counted.
	lossTTL          = 10 * time.Minute
	maxLossHistories = 256
	// conflictEventInterval is the minimum time between conflict events for one address.
	conflictEventInterval = time.Minute
)

// member is the state kept for another node.
type member struct {
	info garnetworks.NodeInfo
	// heardAt is the time of the last direct evidence, reportedAt that of the last evidence
	// reported by others.
	heardAt, reportedAt time.Time
	// failingSince is when consecutive heartbeats began to fail; zero if the last one
	// was answered.
	failingSince time.Time
	// askedAt is when a peer last asked about it.
	askedAt time.Time
	// probedAt is when it was last probed on behalf of a peer.
	probedAt time.Time
	// suspectedSince is when this node began to suspect it; zero if it is not suspected.
	suspectedSince time.Time
	// lossConfirmed is true if another node that was asked has not heard it either.
	lossConfirmed bool
	// displaced is true if another node answers at its address.
	displaced bool
	lost      bool
	// leftAt is when it announced that it was stopping; zero if it has not.
	leftAt time.Time
}

// lossHistory counts a node's recent losses.
type lossHistory struct {
	count int
	last  time.Time
}

// lastEvidence returns the time of the newest evidence, direct or reported.
func (m *member) lastEvidence() time.Time {
	if m.reportedAt.After(m.heardAt) {
		return m.reportedAt
	}
	return m.heardAt
}

// gone reports whether the node is lost or has announced that it is stopping.
func (m *member) gone() bool { return m.lost || !m.leftAt.IsZero() }

// State is the tracker's state machine: it takes observations and the current time and
// returns decisions, without I/O. It is not safe for concurrent use.
type State struct {
	self  garnetworks.NodeInfo
	seeds []string
	// rosters are the last known rosters by zone (rule T9).
	rosters map[garnetworks.ZoneID]garnetworks.Roster
	// members are the other nodes of the own zone.
	members map[garnetworks.NodeID]*member
	// remoteMembers are nodes of other zones that peers have asked about.
	remoteMembers map[garnetworks.NodeID]*member
	// newcomers are the first few nodes by zone, sorted by ID, of those that sent heartbeats
	// without being listed (rule T11).
	newcomers map[garnetworks.ZoneID][]newcomer
	// accepted is true once peers know this incarnation of this node (rule T5).
	accepted   bool
	superseded bool
	leaving    bool
	// synced is true once the rosters have been read or a peer has answered.
	synced bool

	nextRound, nextRemote, nextReread time.Time
	// rounds counts heartbeat rounds, remoteRounds those to other zones.
	rounds, remoteRounds uint64
	// unlistedSince is since when the roster has not listed this node's current
	// description; zero if it does.
	unlistedSince time.Time
	// pendingSince is since when the roster needs a change; zero if it needs none.
	pendingSince time.Time
	writing      bool
	// rosterLost is set if the object API came back from a copy that lacks the known roster
	// (rule T12).
	rosterLost bool
	// backoff and nextWrite delay writes after failures.
	backoff   time.Duration
	nextWrite time.Time
	// losses holds the loss histories by node.
	losses map[garnetworks.NodeID]lossHistory
	// conflicts holds when a conflict over an address was last reported.
	conflicts map[string]time.Time
}

// NewState returns the state of a node that has just started.
func NewState(self garnetworks.NodeInfo, seeds []string, now time.Time) *State {
	// Spread the heartbeats of nodes that start together.
	phase := time.Duration(ringHash(self.ID) % uint64(HeartbeatInterval))
	s := &State{
		self:          self,
		seeds:         seeds,
		rosters:       map[garnetworks.ZoneID]garnetworks.Roster{},
		members:       map[garnetworks.NodeID]*member{},
		remoteMembers: map[garnetworks.NodeID]*member{},
		newcomers:     map[garnetworks.ZoneID][]newcomer{},
		nextRound:     now.Add(phase / 4),
		nextRemote:    now.Add(phase),
		nextReread:    now.Add(RereadInterval),
		unlistedSince: now,
		losses:        map[garnetworks.NodeID]lossHistory{},
		conflicts:     map[string]time.Time{},
	}
	return s
}

// Self returns this node's description.
func (s *State) Self() garnetworks.NodeInfo { return s.self }

// Step applies an observation and returns the resulting decisions.
func (s *State) Step(now time.Time, o Observation) Decisions {
	var d Decisions
	if s.superseded {
		return d
	}
	switch o := o.(type) {
	case Ticked:
		s.tick(now, &d)
	case Answered:
		s.handleAnswered(now, o, &d)
	case Unanswered:
		s.handleUnanswered(now, o, &d)
	case RosterLearned:
		s.applyRoster(now, o.Roster, &d)
	case OwnRosterStored:
		known := s.rosters[s.self.Zone].Version
		s.rosterLost = o.Version < known && known < firstVersion(o.Era)
	case EraBegan:
		s.nextReread = now
	case RostersRead:
		s.synced = true
	case RosterWritten:
		s.handleWritten(now, o, &d)
	case ReadySet:
		d.Changed = s.self.Ready != o.Ready
		s.self.Ready = o.Ready
		s.updateListing(now)
	case Leave:
		s.leave(now, &d)
	}
	return d
}

func (s *State) tick(now time.Time, d *Decisions) {
	s.prune(now, d)
	s.detectFailures(now, d)
	if !s.leaving {
		s.sendHeartbeats(now, d)
		s.sendIndirectProbes(now, d)
		s.reread(now, d)
	}
	s.decideWrite(now, d)
}

// prune forgets nodes that no roster lists and that were not heard within unlistedTTL.
func (s *State) prune(now time.Time, d *Decisions) {
	for id, m := range s.members {
		if _, listed := s.listed(id); !listed && now.Sub(m.lastEvidence()) > unlistedTTL {
			delete(s.members, id)
			d.Changed = true
		}
	}
	for id, m := range s.remoteMembers {
		if now.Sub(m.askedAt) > unlistedTTL {
			delete(s.remoteMembers, id)
		}
	}
}

func (s *State) event(kind garnetworks.EventKind, n garnetworks.NodeInfo, detail string) garnetworks.Event {
	return garnetworks.Event{Kind: kind, Zone: n.Zone, Detail: fmt.Sprintf("node %s incarnation %d at %s: %s", n.ID, n.Incarnation, n.Address, detail)}
}

// leave notifies the neighbours and the candidates that this node is stopping.
func (s *State) leave(now time.Time, d *Decisions) {
	s.leaving = true
	s.self.Ready = false
	d.Changed = true
	targets := map[string]garnetworks.NodeInfo{}
	for _, n := range slices.Concat(s.neighbours(), s.candidates()) {
		targets[n.Address] = n
	}
	for _, address := range slices.Sorted(maps.Keys(targets)) {
		d.Probes = append(d.Probes, Probe{Node: targets[address], From: s.self, Leaving: true})
	}
	s.updateListing(now)
}

// View returns a snapshot of what is known.
func (s *State) View() *View {
	v := &View{Self: s.self, Rosters: maps.Clone(s.rosters), Listed: s.unlistedSince.IsZero()}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.suspectedSince.IsZero() {
			v.Suspected = append(v.Suspected, id)
		}
		if !m.gone() {
			v.Peers = append(v.Peers, m.info)
		}
	}
	for _, z := range slices.Sorted(maps.Keys(s.rosters)) {
		if z != s.self.Zone {
			v.Peers = append(v.Peers, s.rosters[z].Nodes...)
		}
	}
	for _, n := range v.Peers {
		if n.Ready {
			v.Ready = append(v.Ready, n)
		}
	}
	if s.self.Ready {
		v.Ready = append(v.Ready, s.self)
	}
	return v
}
