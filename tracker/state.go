package tracker

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Bounds of the state.
const (
	// unlistedTTL is how long a node that is in no roster counts after it was
	// last heard.
	unlistedTTL = 10 * time.Second
	// maxIndirectProbes bounds the nodes that are asked about and tried at once.
	maxIndirectProbes = 8
	// maxRemoteMembers bounds the nodes of other zones that were asked about.
	maxRemoteMembers = 64
	// maxBackoff bounds the delay after failed roster writes.
	maxBackoff = 15 * time.Second
	// maxConfirmDoublings bounds the growth of the time to decide on a node that comes and
	// goes.
	maxConfirmDoublings = 6
	// lossTTL is the time after which a loss no longer counts, maxLosses the
	// number of nodes whose losses are counted.
	lossTTL          = 10 * time.Minute
	maxLossHistories = 256
	// conflictEventInterval is the time between two events about one address.
	conflictEventInterval = time.Minute
)

// member is what is known of another node.
type member struct {
	info garnetworks.NodeInfo
	// heardAt is the last direct evidence, reportedAt the last one from others.
	heardAt, reportedAt time.Time
	// failingSince is the start of the run of unanswered heartbeats; zero if the last
	// one was answered.
	failingSince time.Time
	// askedAt is when another node last askedAt about it.
	askedAt time.Time
	// probedAt is when it was last probedAt because of that.
	probedAt time.Time
	// suspectedSince is since when this node suspects it; zero if it does not.
	suspectedSince time.Time
	// lossConfirmed says that an asked node had not heard it either.
	lossConfirmed bool
	// displaced says that another node answers at its address.
	displaced bool
	lost      bool
	// leftAt is when it said goodbye; zero if it did not.
	leftAt time.Time
}

// lossHistory counts how often a node was lost of late.
type lossHistory struct {
	count int
	last  time.Time
}

func (m *member) lastEvidence() time.Time {
	if m.reportedAt.After(m.heardAt) {
		return m.reportedAt
	}
	return m.heardAt
}

func (m *member) gone() bool { return m.lost || !m.leftAt.IsZero() }

// State is the pure core of the tracker: it takes observations and the time,
// and returns decisions. It is not safe for concurrent use.
type State struct {
	self  garnetworks.NodeInfo
	seeds []string
	// rosters are the last known ones by zone (rule T9).
	rosters map[garnetworks.ZoneID]garnetworks.Roster
	// members are the other nodes of the own zone.
	members map[garnetworks.NodeID]*member
	// remoteMembers are nodes of other zones that were asked about.
	remoteMembers map[garnetworks.NodeID]*member
	// accepted says that peers know this incarnation of this node (rule T5).
	accepted   bool
	superseded bool
	leaving    bool
	// synced says that the object API was synced, or that a peer has answered.
	synced bool

	nextRound, nextRemote, nextReread time.Time
	// rounds counts heartbeat rounds, remoteRounds those to other zones.
	rounds, remoteRounds uint64
	// unlistedSince is since when this node is not listed as it is; zero if it is.
	unlistedSince time.Time
	// pendingSince is since when a change of the roster is wanted; zero if none is.
	pendingSince time.Time
	writing      bool
	// backoff and nextWrite delay writes after failures.
	backoff   time.Duration
	nextWrite time.Time
	// losses counts losses by node.
	losses map[garnetworks.NodeID]lossHistory
	// conflicts holds when an event about an address was last given.
	conflicts map[string]time.Time
}

// NewState returns the state of a node that has just started.
func NewState(self garnetworks.NodeInfo, seeds []string, now time.Time) *State {
	// Nodes that start together would otherwise beat and reread together.
	phase := time.Duration(ringHash(self.ID) % uint64(HeartbeatInterval))
	s := &State{
		self:          self,
		seeds:         seeds,
		rosters:       map[garnetworks.ZoneID]garnetworks.Roster{},
		members:       map[garnetworks.NodeID]*member{},
		remoteMembers: map[garnetworks.NodeID]*member{},
		nextRound:     now.Add(phase / 4),
		nextRemote:    now.Add(phase),
		nextReread:    now.Add(RereadInterval),
		unlistedSince: now,
		losses:        map[garnetworks.NodeID]lossHistory{},
		conflicts:     map[string]time.Time{},
	}
	return s
}

// Self describes this node.
func (s *State) Self() garnetworks.NodeInfo { return s.self }

// Step takes an observation.
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

// prune forgets nodes that no roster lists and that were not heard for long.
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

// leave says goodbye to the neighbours and to those that write the roster.
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

// View returns what is known now.
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
