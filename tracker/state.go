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
	// unlistedFor is how long a node that is in no roster counts after it was
	// last heard.
	unlistedFor = 10 * time.Second
	// maxQuestions bounds the nodes that are asked about and tried at once.
	maxQuestions = 8
	// maxStrangers bounds the nodes of other zones that were asked about.
	maxStrangers = 64
	// maxBackoff bounds the delay after failed roster writes.
	maxBackoff = 15 * time.Second
	// maxFlaps bounds the growth of the time to decide on a node that comes and
	// goes.
	maxFlaps = 6
	// forgetLosses is the time after which a loss no longer counts, maxLosses the
	// number of nodes whose losses are counted.
	forgetLosses = 10 * time.Minute
	maxLosses    = 256
	// conflictEvery is the time between two events about one address.
	conflictEvery = time.Minute
)

// member is what is known of another node.
type member struct {
	info garnetworks.NodeInfo
	// heard is the last direct evidence, told the last one from others.
	heard, told time.Time
	// failing is the start of the run of unanswered heartbeats; zero if the last
	// one was answered.
	failing time.Time
	// asked is when another node last asked about it.
	asked time.Time
	// tried is when it was last tried because of that.
	tried time.Time
	// suspected is since when this node suspects it; zero if it does not.
	suspected time.Time
	// denied says that an asked node had not heard it either.
	denied bool
	// displaced says that another node answers at its address.
	displaced bool
	lost      bool
	// left is when it said goodbye; zero if it did not.
	left time.Time
}

// losses counts how often a node was lost of late.
type losses struct {
	count int
	last  time.Time
}

func (m *member) evidence() time.Time {
	if m.told.After(m.heard) {
		return m.told
	}
	return m.heard
}

func (m *member) gone() bool { return m.lost || !m.left.IsZero() }

// State is the pure core of the tracker: it takes observations and the time,
// and returns decisions. It is not safe for concurrent use.
type State struct {
	self  garnetworks.NodeInfo
	seeds []string
	// rosters are the last known ones by zone (rule T9).
	rosters map[garnetworks.ZoneID]garnetworks.Roster
	// members are the other nodes of the own zone.
	members map[garnetworks.NodeID]*member
	// strangers are nodes of other zones that were asked about.
	strangers map[garnetworks.NodeID]*member
	// accepted says that peers know this incarnation of this node (rule T5).
	accepted   bool
	superseded bool
	leaving    bool
	// read says that the object API was read, or that a peer has answered.
	read bool

	nextBeat, nextFar, nextReread time.Time
	// beats counts heartbeat rounds, farBeats those to other zones.
	beats, farBeats uint64
	// unlisted is since when this node is not listed as it is; zero if it is.
	unlisted time.Time
	// pending is since when a change of the roster is wanted; zero if none is.
	pending time.Time
	writing bool
	// backoff and nextWrite delay writes after failures.
	backoff   time.Duration
	nextWrite time.Time
	// lost counts losses by node.
	lost map[garnetworks.NodeID]losses
	// conflicts holds when an event about an address was last given.
	conflicts map[string]time.Time
}

// NewState returns the state of a node that has just started.
func NewState(self garnetworks.NodeInfo, seeds []string, now time.Time) *State {
	// Nodes that start together would otherwise beat and reread together.
	phase := time.Duration(ringHash(self.ID) % uint64(HeartbeatEvery))
	s := &State{
		self:       self,
		seeds:      seeds,
		rosters:    map[garnetworks.ZoneID]garnetworks.Roster{},
		members:    map[garnetworks.NodeID]*member{},
		strangers:  map[garnetworks.NodeID]*member{},
		nextBeat:   now.Add(phase / 4),
		nextFar:    now.Add(phase),
		nextReread: now.Add(RereadEvery),
		unlisted:   now,
		lost:       map[garnetworks.NodeID]losses{},
		conflicts:  map[string]time.Time{},
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
		s.answered(now, o, &d)
	case Unanswered:
		s.unanswered(now, o, &d)
	case RosterLearned:
		s.learnRoster(now, o.Roster, &d)
	case RostersRead:
		s.read = true
	case Written:
		s.written(now, o, &d)
	case ReadySet:
		d.Changed = s.self.Ready != o.Ready
		s.self.Ready = o.Ready
		s.noteListing(now)
	case Leave:
		s.leave(now, &d)
	}
	return d
}

func (s *State) tick(now time.Time, d *Decisions) {
	s.prune(now, d)
	s.judge(now, d)
	if !s.leaving {
		s.beat(now, d)
		s.inquire(now, d)
		s.reread(now, d)
	}
	s.considerWrite(now, d)
}

// prune forgets nodes that no roster lists and that were not heard for long.
func (s *State) prune(now time.Time, d *Decisions) {
	for id, m := range s.members {
		if _, listed := s.listed(id); !listed && now.Sub(m.evidence()) > unlistedFor {
			delete(s.members, id)
			d.Changed = true
		}
	}
	for id, m := range s.strangers {
		if now.Sub(m.asked) > unlistedFor {
			delete(s.strangers, id)
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
	s.noteListing(now)
}

// View returns what is known now.
func (s *State) View() *View {
	v := &View{Self: s.self, Rosters: maps.Clone(s.rosters), Listed: s.unlisted.IsZero()}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.suspected.IsZero() {
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
