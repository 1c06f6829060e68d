package tracker

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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

// Observation is something that happened at a node.
type Observation interface{ observation() }

// The observations.
type (
	// Ticked says that time has passed.
	Ticked struct{}
	// Answered says that a heartbeat to Node was answered by From.
	Answered struct {
		Node, From garnetworks.NodeInfo
		// Asked says that the heartbeat asked about nodes.
		Asked bool
		Heard []garnetworks.HeardNode
	}
	// Unanswered says that a heartbeat to Node failed.
	Unanswered struct {
		Node   garnetworks.NodeInfo
		Kind   garnetworks.Kind
		Detail string
	}
	// RosterLearned brings a zone's roster, read or distributed.
	RosterLearned struct{ Roster garnetworks.Roster }
	// RostersRead says that all rosters were read once.
	RostersRead struct{}
	// Written says how a roster write went.
	Written struct {
		Patch  Patch
		Roster garnetworks.Roster
		Err    error
	}
	// ReadySet says whether this node takes calls from now on.
	ReadySet struct{ Ready bool }
	// Leave says that this node stops.
	Leave struct{}
)

func (Ticked) observation()        {}
func (Answered) observation()      {}
func (Unanswered) observation()    {}
func (RosterLearned) observation() {}
func (RostersRead) observation()   {}
func (Written) observation()       {}
func (ReadySet) observation()      {}
func (Leave) observation()         {}

// Probe is a heartbeat to be sent.
type Probe struct {
	// Node is the receiver; only its address is known if ID is empty.
	Node garnetworks.NodeInfo
	From garnetworks.NodeInfo
	Ask  []garnetworks.NodeInfo
	// Leaving says goodbye.
	Leaving bool
}

// Decisions are what a step decided.
type Decisions struct {
	Probes []Probe
	Write  garnetworks.Option[Patch]
	// Reread asks to list the rosters again.
	Reread bool
	Events []garnetworks.Event
	// Changed says that the view has changed.
	Changed bool
	// Superseded is set once, when another process took this node's name.
	Superseded bool
}

// Reply is the state's part of the answer to a heartbeat.
type Reply struct {
	Heard []garnetworks.HeardNode
	// Refusal is not nil if the heartbeat is refused.
	Refusal error
}

// View is what a node knows of the site. It is never changed once made.
type View struct {
	Self garnetworks.NodeInfo
	// Rosters are the last known ones.
	Rosters map[garnetworks.ZoneID]garnetworks.Roster
	// Peers are all nodes that are not known to be lost, without Self, sorted by
	// zone and name.
	Peers []garnetworks.NodeInfo
	// Ready are those of Peers that take calls, and Self if it does.
	Ready []garnetworks.NodeInfo
	// Listed says that the roster lists this node as it is.
	Listed bool
	// Suspected are nodes of the own zone that this node suspects, sorted.
	Suspected []garnetworks.NodeID
}

// member is what is known of another node.
type member struct {
	info garnetworks.NodeInfo
	// heard is the last direct evidence, told the last one from others.
	heard, told time.Time
	// reached is when its address last answered in its name.
	reached time.Time
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

// listed returns the roster's description of a node of the own zone.
func (s *State) listed(id garnetworks.NodeID) (garnetworks.NodeInfo, bool) {
	nodes := s.rosters[s.self.Zone].Nodes
	i, ok := slices.BinarySearchFunc(nodes, id, func(n garnetworks.NodeInfo, id garnetworks.NodeID) int { return cmp.Compare(n.ID, id) })
	if !ok {
		return garnetworks.NodeInfo{}, false
	}
	return nodes[i], true
}

// noteListing notes since when the roster does not list this node as it is.
func (s *State) noteListing(now time.Time) {
	listed, _ := s.listed(s.self.ID)
	switch {
	case listed == s.self:
		s.unlisted = time.Time{}
		s.accepted = true
	case s.unlisted.IsZero():
		s.unlisted = now
	}
}

// beat sends this round's heartbeats (rule T1).
func (s *State) beat(now time.Time, d *Decisions) {
	if now.Before(s.nextBeat) {
		return
	}
	s.nextBeat = s.nextBeat.Add(HeartbeatEvery)
	if s.nextBeat.Before(now) {
		// The process was paused; the rounds it missed are not made up for.
		s.nextBeat = now.Add(HeartbeatEvery)
	}
	s.beats++
	targets := map[string]garnetworks.NodeInfo{}
	add := func(nodes ...garnetworks.NodeInfo) {
		for _, n := range nodes {
			targets[n.Address] = n
		}
	}
	near := s.neighbours()
	add(near...)
	add(s.farTargets(now, len(near))...)
	suspects := s.suspects()
	if !s.unlisted.IsZero() || len(suspects) > 0 {
		add(s.candidates()...)
	}
	if len(suspects) > 0 {
		add(s.helpers()...)
	}
	if len(targets) == 0 || !s.heardAnyone(now) {
		count := 1
		if len(targets) == 0 {
			count = 3
		}
		add(s.seedTargets(count)...)
	}
	delete(targets, s.self.Address)
	for _, address := range slices.Sorted(maps.Keys(targets)) {
		d.Probes = append(d.Probes, Probe{Node: targets[address], From: s.self, Ask: except(suspects, targets[address].ID)})
	}
}

func except(nodes []garnetworks.NodeInfo, id garnetworks.NodeID) []garnetworks.NodeInfo {
	return slices.DeleteFunc(slices.Clone(nodes), func(n garnetworks.NodeInfo) bool { return n.ID == id })
}

// neighbours returns the next living nodes on the ring. Suspected ones stay
// among them, so that their return is seen, but do not count.
func (s *State) neighbours() []garnetworks.NodeInfo {
	var near []garnetworks.NodeInfo
	sound := 0
	for _, m := range s.ring() {
		near = append(near, m.info)
		if m.suspected.IsZero() {
			sound++
		}
		if sound == Neighbours || len(near) == 2*Neighbours {
			break
		}
	}
	return near
}

// ring returns the members that are not gone, in ring order from this node on.
func (s *State) ring() []*member {
	var all []*member
	for _, m := range s.members {
		if !m.gone() {
			all = append(all, m)
		}
	}
	own := ringHash(s.self.ID)
	slices.SortFunc(all, func(a, b *member) int {
		// The distance from this node, round the ring.
		return cmp.Compare(ringHash(a.info.ID)-own, ringHash(b.info.ID)-own)
	})
	return all
}

func ringHash(id garnetworks.NodeID) uint64 { return xxhash.Sum64String(string(id)) }

// farTargets returns a node of another zone when one is due. Zones and nodes
// take turns.
func (s *State) farTargets(now time.Time, near int) []garnetworks.NodeInfo {
	if now.Before(s.nextFar) {
		return nil
	}
	s.nextFar = now.Add(FarEvery)
	if near < Neighbours {
		s.nextFar = now.Add(FarEverySmall)
	}
	s.farBeats++
	if far, ok := s.farNode(s.farBeats); ok {
		return []garnetworks.NodeInfo{far}
	}
	// At the first start of a site no zone knows another one; the seeds join
	// them.
	return s.seedTargets(1)
}

// farNode returns a node of another zone by turn.
func (s *State) farNode(turn uint64) (garnetworks.NodeInfo, bool) {
	var zones []garnetworks.ZoneID
	for z, r := range s.rosters {
		if z != s.self.Zone && len(r.Nodes) > 0 {
			zones = append(zones, z)
		}
	}
	if len(zones) == 0 {
		return garnetworks.NodeInfo{}, false
	}
	slices.Sort(zones)
	start := ringHash(s.self.ID)
	nodes := s.rosters[zones[(start+turn)%uint64(len(zones))]].Nodes
	return nodes[(start/7+turn/uint64(len(zones)))%uint64(len(nodes))], true
}

// candidates are the first nodes that may write the roster, without this one.
func (s *State) candidates() []garnetworks.NodeInfo {
	var first []garnetworks.NodeInfo
	for _, id := range s.writers() {
		if len(first) == Candidates {
			break
		}
		if m, ok := s.members[id]; ok {
			first = append(first, m.info)
		}
	}
	return first
}

// writers are the zone's living nodes in the order in which they write.
func (s *State) writers() []garnetworks.NodeID {
	var ids []garnetworks.NodeID
	if !s.leaving {
		ids = append(ids, s.self.ID)
	}
	for id, m := range s.members {
		if !m.gone() && m.suspected.IsZero() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// rank is this node's place among the writers; -1 if it is none.
func (s *State) rank() int { return slices.Index(s.writers(), s.self.ID) }

func (s *State) isCandidate() bool {
	r := s.rank()
	return r >= 0 && r < Candidates
}

// helpers are nodes to ask about suspects: the nearest sound ones and one of
// another zone.
func (s *State) helpers() []garnetworks.NodeInfo {
	var helpers []garnetworks.NodeInfo
	for _, m := range s.ring() {
		if m.suspected.IsZero() && len(helpers) < Neighbours {
			helpers = append(helpers, m.info)
		}
	}
	if far, ok := s.farNode(s.beats); ok {
		helpers = append(helpers, far)
	}
	return helpers
}

// suspects are the nodes that this node suspects, as many as may be asked about
// at once.
func (s *State) suspects() []garnetworks.NodeInfo {
	var suspects []garnetworks.NodeInfo
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if !m.suspected.IsZero() && !m.gone() && len(suspects) < maxQuestions {
			suspects = append(suspects, m.info)
		}
	}
	return suspects
}

// heardAnyone reports whether any node of the zone was heard of late.
func (s *State) heardAnyone(now time.Time) bool {
	for _, m := range s.members {
		if now.Sub(m.heard) <= unlistedFor {
			return true
		}
	}
	return len(s.members) == 0 && s.accepted
}

// seedTargets are count of the seeds, by turn: some at the start, later one, as
// a way back for a node that lost sight of all others.
func (s *State) seedTargets(count int) []garnetworks.NodeInfo {
	var targets []garnetworks.NodeInfo
	for i := range min(count, len(s.seeds)) {
		address := s.seeds[(s.beats+uint64(i))%uint64(len(s.seeds))]
		targets = append(targets, garnetworks.NodeInfo{Address: address})
	}
	return targets
}

// inquire tries the nodes that others asked about.
func (s *State) inquire(now time.Time, d *Decisions) {
	count := 0
	for _, all := range []map[garnetworks.NodeID]*member{s.members, s.strangers} {
		for _, id := range slices.Sorted(maps.Keys(all)) {
			m := all[id]
			asked := !m.asked.IsZero() && now.Sub(m.asked) < 2*HeartbeatEvery
			if !asked || now.Sub(m.tried) < HeartbeatEvery || count == maxQuestions {
				continue
			}
			m.tried = now
			count++
			d.Probes = append(d.Probes, Probe{Node: m.info, From: s.self})
		}
	}
}

// judge decides on suspicion and loss (rules T2 and T3).
func (s *State) judge(now time.Time, d *Decisions) {
	candidate := s.isCandidate()
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		if m.gone() {
			continue
		}
		s.suspect(now, m, d)
		if candidate && s.isLost(now, m) {
			m.lost = true
			s.noteLoss(now, id)
			d.Changed = true
		}
	}
}

func (s *State) suspect(now time.Time, m *member, d *Decisions) {
	silent := !m.failing.IsZero() && now.Sub(m.evidence()) >= SuspectAfter
	asked := !m.asked.IsZero() && now.Sub(m.asked) < SuspectAfter
	switch {
	case !silent:
		if !m.suspected.IsZero() {
			m.suspected, m.denied = time.Time{}, false
			d.Changed = true
		}
	case m.suspected.IsZero() && (asked || now.Sub(m.failing) >= SuspectAfter):
		m.suspected = now
		d.Changed = true
		d.Events = append(d.Events, s.event(garnetworks.EventNodeSuspected, m.info, "no answer since "+m.failing.UTC().Format(time.TimeOnly)))
	}
}

// isLost keeps rule T3. Deciding on the own failure alone would take out half a
// zone when the deciding node's own network fails; the asked node's word shows
// that others can still be heard.
func (s *State) isLost(now time.Time, m *member) bool {
	if m.displaced {
		return true
	}
	if m.suspected.IsZero() || now.Sub(m.suspected) < s.confirmBound(now, m) {
		return false
	}
	return m.denied || s.onlyOther(m)
}

// confirmBound grows for nodes that come and go, so that a node at the edge of
// reach does not cause a roster write each few seconds.
func (s *State) confirmBound(now time.Time, m *member) time.Duration {
	l := s.lost[m.info.ID]
	if now.Sub(l.last) > forgetLosses {
		return ConfirmBound
	}
	return ConfirmBound << min(l.count, maxFlaps)
}

func (s *State) noteLoss(now time.Time, id garnetworks.NodeID) {
	l := s.lost[id]
	if now.Sub(l.last) > forgetLosses {
		l.count = 0
	}
	if len(s.lost) >= maxLosses {
		clear(s.lost)
	}
	s.lost[id] = losses{count: l.count + 1, last: now}
}

// onlyOther reports whether no node is known but this one and m.
func (s *State) onlyOther(m *member) bool {
	for id, other := range s.members {
		if id != m.info.ID && !other.gone() {
			return false
		}
	}
	_, far := s.farNode(0)
	return !far && s.read
}

func (s *State) event(kind garnetworks.EventKind, n garnetworks.NodeInfo, detail string) garnetworks.Event {
	return garnetworks.Event{Kind: kind, Zone: n.Zone, Detail: fmt.Sprintf("node %s incarnation %d at %s: %s", n.ID, n.Incarnation, n.Address, detail)}
}

// learn takes direct evidence of a node of the own zone. It reports false for
// an incarnation that was replaced.
func (s *State) learn(now time.Time, n garnetworks.NodeInfo, d *Decisions) bool {
	m, ok := s.members[n.ID]
	if !ok {
		m = &member{}
		s.members[n.ID] = m
	}
	if n.Incarnation < m.info.Incarnation {
		return false
	}
	if n.Incarnation > m.info.Incarnation && ok {
		// A new process: what was held against the old one says nothing of it.
		*m = member{}
	}
	if m.lost {
		m.lost, m.displaced = false, false
		d.Changed = true
	}
	if !m.left.IsZero() && now.Sub(m.left) > SuspectAfter {
		// It said goodbye and yet lives on; earlier words may have overtaken it.
		m.left = time.Time{}
		d.Changed = true
	}
	if m.info != n {
		m.info = n
		d.Changed = true
	}
	m.heard = now
	return true
}

func (s *State) answered(now time.Time, o Answered, d *Decisions) {
	if o.From.ID == s.self.ID {
		return
	}
	if s.outranked(now, o.Heard, d) {
		return
	}
	s.read = true
	s.takeHeard(now, o)
	if stranger, ok := s.strangers[o.From.ID]; ok {
		stranger.heard = now
	}
	if o.Node.ID != "" && o.Node.ID != o.From.ID {
		s.displace(now, o.Node, d)
	}
	if o.From.Zone != s.self.Zone {
		return
	}
	if !s.learn(now, o.From, d) {
		s.failed(now, o.Node)
		return
	}
	m := s.members[o.From.ID]
	m.failing, m.reached, m.displaced = time.Time{}, now, false
}

// outranked handles a peer's word that this node's name has a higher
// incarnation (rule T5).
func (s *State) outranked(now time.Time, heard []garnetworks.HeardNode, d *Decisions) bool {
	for _, h := range heard {
		if h.ID == s.self.ID && h.Incarnation > s.self.Incarnation {
			s.outrankedBy(now, h.Incarnation, d)
			return true
		}
	}
	return false
}

// outrankedBy raises the incarnation of a process that has just started, whose
// clock may be behind that of the one before. One that was accepted has been
// replaced while it was paused or cut off: going on would show as two nodes
// that answer in one name.
func (s *State) outrankedBy(now time.Time, incarnation uint64, d *Decisions) {
	if !s.accepted {
		s.self.Incarnation = incarnation + 1
		s.noteListing(now)
		d.Changed = true
		return
	}
	s.superseded = true
	d.Superseded = true
	d.Events = append(d.Events, s.event(garnetworks.EventNodeSuperseded, s.self, fmt.Sprintf("incarnation %d is known", incarnation)))
}

// takeHeard takes the words of a node that was asked about suspects.
func (s *State) takeHeard(now time.Time, o Answered) {
	heard := garnetworks.NewSet[garnetworks.NodeID]()
	for _, h := range o.Heard {
		m, ok := s.members[h.ID]
		if !ok || h.Incarnation < m.info.Incarnation {
			continue
		}
		if at := now.Add(-h.Age); at.After(m.told) {
			m.told = at
		}
		if h.Age < SuspectAfter {
			heard.Add(h.ID)
		}
	}
	if !o.Asked {
		return
	}
	for id, m := range s.members {
		// The asked node needs the time to try for itself.
		tried := !m.suspected.IsZero() && now.Sub(m.suspected) >= ConfirmBound
		if tried && !heard.Has(id) && id != o.From.ID {
			m.denied = true
		}
	}
}

// displace takes the word of another node at the address of n (rule T6).
func (s *State) displace(now time.Time, n garnetworks.NodeInfo, d *Decisions) {
	m, ok := s.members[n.ID]
	if !ok || m.info.Address != n.Address || m.displaced {
		return
	}
	m.displaced = true
	if m.failing.IsZero() {
		m.failing = now
	}
	d.Events = append(d.Events, s.event(garnetworks.EventNodeSuspected, m.info, "another node answers at its address"))
}

func (s *State) unanswered(now time.Time, o Unanswered, d *Decisions) {
	if !isSilence(o.Kind) {
		s.refused(now, o, d)
		return
	}
	if o.Node.Zone != s.self.Zone {
		// Another zone's node gets the next turn at once, so that a few lost
		// nodes do not keep this one from hearing of other zones.
		s.nextFar = now
		return
	}
	s.failed(now, o.Node)
}

// isSilence reports whether an error says nothing but that no answer came. Any
// other is an answer: somebody lives there.
func isSilence(k garnetworks.Kind) bool {
	return k == garnetworks.KindUnreachable || k == garnetworks.KindAnswerLost
}

func (s *State) failed(now time.Time, n garnetworks.NodeInfo) {
	m, ok := s.members[n.ID]
	if ok && m.failing.IsZero() {
		m.failing = now
	}
}

func (s *State) refused(now time.Time, o Unanswered, d *Decisions) {
	if o.Kind != garnetworks.KindConflict || now.Sub(s.conflicts[o.Node.Address]) < conflictEvery {
		return
	}
	s.noteConflict(now, o.Node.Address)
	d.Events = append(d.Events, s.event(garnetworks.EventAddressConflict, s.self, "refused by "+o.Node.Address+": "+o.Detail))
}

func (s *State) noteConflict(now time.Time, address string) {
	if len(s.conflicts) >= maxStrangers {
		clear(s.conflicts)
	}
	s.conflicts[address] = now
}

// Receive takes a peer's heartbeat.
func (s *State) Receive(now time.Time, q *garnetworks.HeartbeatRequest) (Reply, Decisions) {
	var r Reply
	var d Decisions
	if s.superseded {
		r.Refusal = garnetworks.Errorf(garnetworks.KindShuttingDown, "another process took the name %s", s.self.ID)
		return r, d
	}
	from := q.From
	switch {
	case from.ID == s.self.ID:
		r.Heard = s.receiveNamesake(now, from, &d)
		return r, d
	case from.Zone == s.self.Zone:
		r.Refusal = s.checkAddress(now, from, &d)
		if r.Refusal != nil {
			return r, d
		}
		if !s.learn(now, from, &d) {
			m := s.members[from.ID]
			r.Heard = append(r.Heard, garnetworks.HeardNode{ID: from.ID, Incarnation: m.info.Incarnation, Age: now.Sub(m.evidence())})
			return r, d
		}
		if q.Leaving {
			s.members[from.ID].left = now
			d.Changed = true
		}
	}
	for _, n := range q.Ask[:min(len(q.Ask), maxQuestions)] {
		if h, ok := s.ask(now, n); ok {
			r.Heard = append(r.Heard, h)
		}
	}
	return r, d
}

// receiveNamesake answers a process with this node's own name. A node whose
// seeds name it reaches itself, which says nothing.
func (s *State) receiveNamesake(now time.Time, from garnetworks.NodeInfo, d *Decisions) []garnetworks.HeardNode {
	if from.Incarnation == s.self.Incarnation && from.Address == s.self.Address {
		return nil
	}
	if from.Incarnation > s.self.Incarnation {
		s.outrankedBy(now, from.Incarnation, d)
		return nil
	}
	return []garnetworks.HeardNode{{ID: s.self.ID, Incarnation: s.self.Incarnation + 1}}
}

// checkAddress refuses a node that claims the address of another one (rule
// T6), and has the address tried: if the newcomer answers there, the other one
// is displaced and the next heartbeat accepted.
func (s *State) checkAddress(now time.Time, from garnetworks.NodeInfo, d *Decisions) error {
	for id, m := range s.members {
		if id == from.ID || m.info.Address != from.Address || m.gone() || m.displaced {
			continue
		}
		m.asked = now
		if now.Sub(s.conflicts[from.Address]) >= conflictEvery {
			s.noteConflict(now, from.Address)
			d.Events = append(d.Events, s.event(garnetworks.EventAddressConflict, from, "the address is that of "+string(id)))
		}
		return garnetworks.Errorf(garnetworks.KindConflict, "address %s is that of node %s", from.Address, id)
	}
	return nil
}

// ask notes a question about a node and answers it from what is known.
func (s *State) ask(now time.Time, n garnetworks.NodeInfo) (garnetworks.HeardNode, bool) {
	if n.ID == s.self.ID {
		return garnetworks.HeardNode{ID: n.ID, Incarnation: s.self.Incarnation}, true
	}
	m := s.inQuestion(n)
	if m == nil {
		return garnetworks.HeardNode{}, false
	}
	m.asked = now
	if m.heard.IsZero() {
		return garnetworks.HeardNode{}, false
	}
	return garnetworks.HeardNode{ID: n.ID, Incarnation: m.info.Incarnation, Age: now.Sub(m.heard)}, true
}

// inQuestion returns the record of a node that was asked about; nil if there is
// none and no room for one.
func (s *State) inQuestion(n garnetworks.NodeInfo) *member {
	if n.Zone == s.self.Zone {
		return s.members[n.ID]
	}
	m, ok := s.strangers[n.ID]
	if ok {
		return m
	}
	if len(s.strangers) >= maxStrangers {
		return nil
	}
	m = &member{info: n}
	s.strangers[n.ID] = m
	return m
}

func (s *State) learnRoster(now time.Time, r garnetworks.Roster, d *Decisions) {
	if r.Version <= s.rosters[r.Zone].Version {
		return
	}
	if !slices.IsSortedFunc(r.Nodes, compareNodes) {
		r.Nodes = slices.SortedFunc(slices.Values(r.Nodes), compareNodes)
	}
	s.rosters[r.Zone] = r
	d.Changed = true
	if r.Zone != s.self.Zone {
		return
	}
	for _, n := range r.Nodes {
		if n.ID == s.self.ID {
			if n.Incarnation > s.self.Incarnation || (n.Incarnation == s.self.Incarnation && n.Address != s.self.Address) {
				s.outrankedBy(now, n.Incarnation, d)
			}
			continue
		}
		s.learnListed(now, n)
	}
	s.noteListing(now)
}

// learnListed takes the roster's word on a node of the own zone, which is older
// than what was heard from the node itself.
func (s *State) learnListed(now time.Time, n garnetworks.NodeInfo) {
	m, ok := s.members[n.ID]
	switch {
	case !ok:
		s.members[n.ID] = &member{info: n}
	case n.Incarnation > m.info.Incarnation:
		*m = member{info: n}
	case n.Incarnation == m.info.Incarnation && m.lost && !m.displaced:
		// The writer has heard it after this node had given it up.
		m.lost, m.suspected, m.denied = false, time.Time{}, false
		m.told = now
	}
}

func (s *State) reread(now time.Time, d *Decisions) {
	if now.Before(s.nextReread) {
		return
	}
	s.nextReread = now.Add(RereadEvery)
	d.Reread = s.rank() == 0
}

// considerWrite decides whether this node changes the roster now (rule T7).
func (s *State) considerWrite(now time.Time, d *Decisions) {
	rank := s.rank()
	var patch Patch
	switch {
	case s.leaving:
		// The others were told; they take this node out.
		return
	case !s.read && now.Sub(s.unlisted) < JoinBound:
		// The first read shows who writes.
		return
	case rank < Candidates:
		patch = s.wanted(now)
	case !s.unlisted.IsZero() && now.Sub(s.unlisted) >= JoinBound:
		patch = Patch{Zone: s.self.Zone, Set: []garnetworks.NodeInfo{s.self}}
		rank = 0
	}
	if patch.Empty() {
		s.pending = time.Time{}
		return
	}
	if s.pending.IsZero() {
		s.pending = now
	}
	due := s.pending.Add(BatchDelay + time.Duration(rank)*RankDelay)
	if s.writing || now.Before(due) || now.Before(s.nextWrite) {
		return
	}
	patch.Above = s.rosters[s.self.Zone].Version
	s.writing = true
	d.Write = garnetworks.Some(patch)
}

// wanted is what the roster lacks by this node's direct evidence.
func (s *State) wanted(now time.Time) Patch {
	p := Patch{Zone: s.self.Zone}
	for _, id := range slices.Sorted(maps.Keys(s.members)) {
		m := s.members[id]
		listed, ok := s.listed(id)
		switch {
		case m.gone():
			if ok && listed.Incarnation <= m.info.Incarnation {
				p.Remove = append(p.Remove, Removal{ID: id, Incarnation: m.info.Incarnation, Left: !m.lost})
			}
		case now.Sub(m.heard) > SuspectAfter || m.displaced:
		case !ok || (listed != m.info && listed.Incarnation <= m.info.Incarnation):
			p.Set = append(p.Set, m.info)
		}
	}
	if listed, _ := s.listed(s.self.ID); listed != s.self {
		p.Set = append(p.Set, s.self)
		slices.SortFunc(p.Set, compareNodes)
	}
	return p
}

func (s *State) written(now time.Time, o Written, d *Decisions) {
	s.writing = false
	if o.Err != nil {
		s.backoff = min(max(2*s.backoff, time.Second), maxBackoff)
		s.nextWrite = now.Add(s.backoff)
		return
	}
	s.backoff = 0
	before := s.rosters[s.self.Zone]
	if before.Version == 0 {
		// At the first start of a site, the other zones list themselves now, too.
		s.nextReread = now.Add(FirstReread)
	}
	s.learnRoster(now, o.Roster, d)
	s.tell(before, o, d)
}

// tell gives the events of a roster write.
func (s *State) tell(before garnetworks.Roster, o Written, d *Decisions) {
	if o.Roster.Version <= before.Version {
		return
	}
	known := map[garnetworks.NodeID]garnetworks.NodeInfo{}
	for _, n := range before.Nodes {
		known[n.ID] = n
	}
	for _, n := range o.Patch.Set {
		if old, ok := known[n.ID]; !ok || old.Incarnation != n.Incarnation {
			d.Events = append(d.Events, s.event(garnetworks.EventNodeJoined, n, "listed"))
		}
	}
	for _, r := range o.Patch.Remove {
		how := "lost"
		if r.Left {
			how = "left"
		}
		if n, ok := known[r.ID]; ok {
			d.Events = append(d.Events, s.event(garnetworks.EventNodeLost, n, how))
		}
	}
	d.Events = append(d.Events, garnetworks.Event{
		Kind: garnetworks.EventRosterWritten, Zone: s.self.Zone,
		Detail: fmt.Sprintf("version %d, %d nodes", o.Roster.Version, len(o.Roster.Nodes)),
	})
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
