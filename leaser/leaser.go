// Package leaser implements a lease on an object of the object API: it has one holder at
// a time, whose term becomes the high part of every fencing token that it issues. The
// decisions are in State, which does no I/O; Lease is a thin adapter around it. The
// package is independent of what the lease is used for.
//
// Rules:
//
//	L1  A holder counts its lease from before it sent the write that renewed
//	    it. The lease's age is the longer of the monotonic and the wall time.
//	L2  A write whose response was lost renews nothing until a read returns its
//	    WriteID.
//	L3  An order is sent only if its bound ends before the lease does, and it
//	    carries that bound as its deadline (rule G12).
//	L4  Another node counts from when it first saw the record, on its own
//	    monotonic clock, and takes over only after the lease's duration, the
//	    order bound and the drift bound have all passed.
//	L5  Each change of holder raises the term by at least one, and no node
//	    writes a term that is not above every term that it knows of.
//	L6  A holder that steps down leaves the record without a holder, and only
//	    after its caller has ended all orders.
//	L7  Only the first few nodes in rank, the candidates, read the record
//	    frequently. The others read it rarely, and take over when the candidates
//	    are gone.
//	L8  Nodes rank by their CPU share, then so that those of equal share alternate
//	    between zones, then in rendezvous order. An overloaded holder is late with
//	    all its work, and candidates of one zone would be lost together.
//	L9  Where the platform starts a node's process only after the earlier one has
//	    ended, a process replaces its predecessor's record once the order bound and
//	    the drift bound have passed since its own start: no order of the predecessor
//	    is in flight any more. It takes a new term, because it does not know what the
//	    predecessor decided.
//	L10 In a new era of the object API, a record of an earlier one proves nothing: the
//	    lease may have been taken after the copy, by a node that still counts on it.
//	    It is taken over as if it had a holder, but for a holder whose lease has not
//	    expired and whose own record it is: no other can have taken it. Each era has
//	    terms of its own, above those of earlier ones, so that no term is given out
//	    twice.
//
// Assumptions. The clocks of two nodes drift apart by less than DriftBound over one
// lease. The monotonic clock of a stopped process continues, so L1 detects the pause. The
// monotonic clock of a suspended machine may stop, but then its wall clock jumps when the
// machine resumes, and L1 detects that too. A machine of which both clocks stop during a
// suspend and are not corrected before its first order can't be told from one that was
// never suspended; engines that check fencing tokens still refuse its orders.
package leaser

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Settings are the durations of a lease. All nodes that contend for it must share them.
type Settings struct {
	// Duration is how long a holder may act after it sent a renewal.
	Duration time.Duration
	// RenewInterval is the time between renewals; it should be at most a third of Duration,
	// so that one lost renewal does not end the lease.
	RenewInterval time.Duration
	// OrderBound is the longest time for which an order may be in flight.
	OrderBound time.Duration
	// DriftBound is the most that two clocks drift apart over Duration.
	DriftBound time.Duration
	// ReadInterval is the time between two reads by a candidate.
	ReadInterval time.Duration
	// RareReadInterval is the time between two reads by a node that is not a candidate.
	RareReadInterval time.Duration
}

// Defaults returns settings with which the lease changes hands within 15 s of the
// holder's loss, at the cost of one write every 3 s.
func Defaults() Settings {
	return Settings{
		Duration:         9 * time.Second,
		RenewInterval:    3 * time.Second,
		OrderBound:       2 * time.Second,
		DriftBound:       200 * time.Millisecond,
		ReadInterval:     3 * time.Second,
		RareReadInterval: 90 * time.Second,
	}
}

// Check returns an error if the rules can't be kept with the settings.
func (s Settings) Check() error {
	switch {
	case s.Duration <= 0 || s.RenewInterval <= 0 || s.ReadInterval <= 0 || s.RareReadInterval <= 0:
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "lease times must be above 0")
	case s.RenewInterval*2 > s.Duration:
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "lease renewal %s is more than half of the duration %s", s.RenewInterval, s.Duration)
	case s.OrderBound <= 0 || s.OrderBound >= s.Duration:
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "order bound %s is not between 0 and the duration %s", s.OrderBound, s.Duration)
	case s.DriftBound < 0:
		return garnetworks.Errorf(garnetworks.KindInvalidSettings, "drift bound %s is below 0", s.DriftBound)
	}
	return nil
}

// ActionKind is the kind of an Action.
type ActionKind string

const (
	// ActionWait: nothing is due before Action.At.
	ActionWait ActionKind = "wait"
	// ActionRead: the record is to be read.
	ActionRead ActionKind = "read"
	// ActionWrite: Action.Record is to be written conditionally.
	ActionWrite ActionKind = "write"
)

// Action is what the adapter has to do next.
type Action struct {
	Kind ActionKind
	// At is when to call Next again; set for ActionWait.
	At time.Time
	// Record and After are set for ActionWrite.
	Record garnetworks.LeaseRecord
	After  garnetworks.Revision
}

// sentWrite is a write that this process sent.
type sentWrite struct {
	Record garnetworks.LeaseRecord
	// Started is a time before the write was sent.
	Started time.Time
}

// maxSentWrites is the number of writes that are remembered for reading back.
const maxSentWrites = 8

// State is one node's knowledge of a lease.
type State struct {
	// Self is this node; never empty.
	Self garnetworks.NodeID
	// Settings passed Check.
	Settings Settings
	// Rank is the node's rank by L8; a node with a rank below Candidates is a candidate
	// (L7).
	Rank       int
	Candidates int

	// Era is the newest era that a read or write returned, if EraKnown is set. EraBegan says that
	// this node has seen it begin, and no record of it yet (L10).
	Era                garnetworks.Era
	EraKnown, EraBegan bool
	// FirstStart says that the site starts for the first time: a missing record was not lost.
	FirstStart bool
	// Known says that Record was read or written at Revision.
	Known    bool
	Record   garnetworks.LeaseRecord
	Revision garnetworks.Revision
	// SeenAt is when Record was first seen, ReadAt when it was last read (L4).
	SeenAt time.Time
	ReadAt time.Time
	// Holding says that Record was written by this process. A record that carries this
	// node's name from before a restart counts as another holder's, because the new
	// process does not know what the old one decided; L9 says when it may be replaced.
	Holding bool
	// HeldFrom is a time before the last confirmed renewal was sent (L1).
	HeldFrom time.Time
	// HighestTerm is the highest term seen in the record; Floor is the highest one that
	// this node must no longer hold (L5).
	HighestTerm uint32
	Floor       uint32
	// Closing says that the node is stepping down and does not contend any more.
	Closing bool
	// SoleSince is since when no earlier process of this node can have sent an order; zero if
	// an earlier one may still run (L9). PredecessorTerm is the term of the predecessor's
	// record, as the first read shows it; 0 if that record was not the predecessor's.
	SoleSince       time.Time
	PredecessorTerm uint32

	// YieldUntil is until when the node leaves the lease to others. It releases its record
	// at ReleaseAt, when no order of it can be in flight any more.
	YieldUntil time.Time
	ReleaseAt  time.Time

	// sent are the newest writes, oldest first. They are kept after a read that does not
	// show them, because a write whose response was lost can still take effect later.
	sent []sentWrite
	// reacquireRevision is the revision of this process's own record under a term that it
	// must no longer use; from reacquireFrom on it may replace the record.
	reacquireRevision garnetworks.Revision
	reacquireFrom     time.Time
	mustRead          bool
	nextRead          time.Time
	nextRenewal       time.Time
}

// NewState returns the state of a node that has not read the record yet.
func NewState(self garnetworks.NodeID, settings Settings) *State {
	return &State{Self: self, Settings: settings, Candidates: 1, mustRead: true}
}

// Age returns how long ago from was, by the longer of the monotonic and the wall clock
// (L1). The monotonic clock of a suspended machine may have stopped while a successor's
// continued; its wall clock then jumps on resuming. A wall clock that is set forward ends
// the lease early, which does no harm.
func Age(now, from time.Time) time.Duration {
	return longer(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

func longer(mono, wall time.Duration) time.Duration { return max(mono, wall) }

// Term returns the term under which this node holds the lease at now, or 0.
func (s *State) Term(now time.Time) uint32 {
	if !s.Holding || now.Before(s.YieldUntil) || Age(now, s.HeldFrom) >= s.Settings.Duration {
		return 0
	}
	return s.Record.Term
}

// MayAct returns the remaining time of the lease and reports whether an order that ends
// within bound may be sent now (L3).
func (s *State) MayAct(now time.Time, bound time.Duration) (time.Duration, bool) {
	if !s.Holding || s.Closing || now.Before(s.YieldUntil) {
		return 0, false
	}
	remaining := s.Settings.Duration - Age(now, s.HeldFrom)
	return remaining, bound <= s.Settings.OrderBound && bound < remaining
}

// Expired reports whether the node holds a lease that has expired. It may still renew
// the record if no other node has taken it.
func (s *State) Expired(now time.Time) bool {
	return s.Holding && Age(now, s.HeldFrom) >= s.Settings.Duration
}

// Yield leaves the lease to other nodes for the duration. From now on the node may send
// no order; its record is released once those already sent have ended (L6).
func (s *State) Yield(now time.Time, duration time.Duration) {
	s.ReleaseAt = now.Add(s.Settings.OrderBound)
	s.YieldUntil = now.Add(max(duration, 2*s.Settings.OrderBound))
}

// RaiseFloor makes the term of the node's next record exceed floor. A holder whose term
// does not exceed it takes a new term with its next write, because tokens of its term
// could decrease (rule G3): the record was deleted or restored, or the holder no longer
// knows which tokens it issued. Until then it does not hold the lease and may send no
// order. It waits for the order bound, since earlier orders may still be in flight.
func (s *State) RaiseFloor(now time.Time, floor uint32) {
	s.Floor = max(s.Floor, floor)
	if s.Holding && s.Record.Term <= s.Floor {
		s.Holding = false
		s.reacquireRevision = s.Revision
		s.reacquireFrom = now.Add(s.Settings.OrderBound)
	}
}

// Next returns what to do at now. writeID must be unique to the call.
func (s *State) Next(now time.Time, writeID string) Action {
	if s.mustRead {
		return s.readOrWait(now)
	}
	if s.Holding {
		return s.nextAsHolder(now, writeID)
	}
	if s.Closing {
		return Action{Kind: ActionWait, At: now.Add(s.Settings.ReadInterval)}
	}
	if s.mayAcquire(now) {
		return s.write(now, s.acquireRecord(writeID))
	}
	return s.readOrWait(now)
}

func (s *State) readOrWait(now time.Time) Action {
	if now.Before(s.nextRead) {
		return Action{Kind: ActionWait, At: s.nextRead}
	}
	return Action{Kind: ActionRead}
}

func (s *State) nextAsHolder(now time.Time, writeID string) Action {
	if now.Before(s.YieldUntil) && now.Before(s.ReleaseAt) {
		return Action{Kind: ActionWait, At: s.ReleaseAt}
	}
	if s.Closing || now.Before(s.YieldUntil) {
		return s.write(now, s.releaseRecord(writeID))
	}
	if now.Before(s.nextRenewal) {
		return Action{Kind: ActionWait, At: s.nextRenewal}
	}
	record := s.Record
	record.Renewals++
	record.WriteID = writeID
	record.Era = s.Revision.Era()
	return s.write(now, record)
}

func (s *State) write(now time.Time, record garnetworks.LeaseRecord) Action {
	s.sent = append(s.sent, sentWrite{Record: record, Started: now})
	if len(s.sent) > maxSentWrites {
		s.sent = s.sent[1:]
	}
	return Action{Kind: ActionWrite, Record: record, After: s.Revision}
}

func (s *State) acquireRecord(writeID string) garnetworks.LeaseRecord {
	return garnetworks.LeaseRecord{
		Holder:   s.Self,
		Term:     max(s.Record.Term, s.HighestTerm, s.Floor, firstTerm(s.Era)) + 1,
		Renewals: s.Record.Renewals + 1,
		Duration: s.Settings.Duration,
		WriteID:  writeID,
		Era:      s.Era,
	}
}

// termBits is the number of the low bits of a term that count the holders of one era.
const termBits = 16

// firstTerm returns the term below all those that are taken in an era (L10). Terms of eras that
// do not fit follow the highest one known.
func firstTerm(era garnetworks.Era) uint32 {
	const lastEra = 1<<(32-termBits) - 1
	return uint32(min(era, lastEra)) << termBits
}

func (s *State) releaseRecord(writeID string) garnetworks.LeaseRecord {
	record := s.Record
	record.Holder = ""
	record.Renewals++
	record.WriteID = writeID
	return record
}

// mayAcquire reports whether the record has no holder, or was this process's own until
// the floor was raised, or its holder has expired with all its orders (L4).
func (s *State) mayAcquire(now time.Time) bool {
	if !s.Known || now.Before(s.YieldUntil) {
		return false
	}
	if s.reacquireRevision != 0 && s.reacquireRevision == s.Revision && !now.Before(s.reacquireFrom) {
		return true
	}
	if s.ofEarlierEra() {
		return s.takeoverDue()
	}
	if s.Record.Holder == "" && s.Rank < s.Candidates {
		return true
	}
	if s.ownedByPredecessor() && !now.Before(s.reclaimAt()) {
		return true
	}
	return s.takeoverDue()
}

// ofEarlierEra reports whether the record, or its absence, may come from a copy (L10).
func (s *State) ofEarlierEra() bool {
	if s.Revision == 0 {
		return s.EraBegan || s.Era > 0 && !s.FirstStart
	}
	return s.Record.Era < s.Revision.Era()
}

// ownedByPredecessor reports whether the record is that of an earlier process of this node
// that has ended (L9).
//
// Failure: the holder's process is killed and starts again within a second. All groups that
// break are not replaced until another node has waited for the lease to expire.
func (s *State) ownedByPredecessor() bool {
	return s.PredecessorTerm != 0 && s.Record.Holder == s.Self && s.Record.Term == s.PredecessorTerm
}

// reclaimAt returns when the predecessor's last order has ended.
func (s *State) reclaimAt() time.Time {
	return s.SoleSince.Add(s.Settings.OrderBound + s.Settings.DriftBound)
}

// takeoverDue reports whether reads have shown the record unchanged for the whole
// takeover wait. The time since the last read does not count, because the record may
// have changed in it.
func (s *State) takeoverDue() bool { return s.ReadAt.Sub(s.SeenAt) >= s.takeoverWait() }

// takeoverWait uses the record's own duration if it is longer, because the holder may
// run with other settings.
func (s *State) takeoverWait() time.Duration {
	return max(s.Record.Duration, s.Settings.Duration) + s.Settings.OrderBound + s.Settings.DriftBound
}

// OnRead processes the result of a read that ended at now. jitter is between 0 and 1
// and spreads the reads of many nodes over time.
func (s *State) OnRead(now time.Time, record garnetworks.LeaseRecord, revision garnetworks.Revision, err error, jitter float64) {
	era := revision.Era()
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		record, revision, err = garnetworks.LeaseRecord{}, 0, nil
	}
	if err == nil && s.EraKnown && era < s.Era {
		err = garnetworks.Errorf(garnetworks.KindObjectAPIDown, "the record was read in era %d, after era %d", era, s.Era)
	}
	if err != nil {
		s.nextRead = now.Add(s.withJitter(s.failedReadInterval(), jitter))
		return
	}
	s.mustRead = false
	first := s.ReadAt.IsZero()
	s.ReadAt = now
	if s.observeEra(era) {
		s.beginEra(now, record, revision)
	} else {
		s.reconcile(now, record, revision)
	}
	if first && !s.SoleSince.IsZero() && !s.ofEarlierEra() && !s.Holding && record.Holder == s.Self {
		s.PredecessorTerm = record.Term
	}
	s.nextRead = now.Add(s.withJitter(s.readInterval(), jitter))
	if reclaimAt := s.reclaimAt(); s.ownedByPredecessor() && now.Before(reclaimAt) && reclaimAt.Before(s.nextRead) {
		s.nextRead = reclaimAt
	}
	if takeoverAt := s.SeenAt.Add(s.takeoverWait()); s.Rank < s.Candidates && now.Before(takeoverAt) && takeoverAt.Before(s.nextRead) {
		s.nextRead = takeoverAt
	}
}

// setRank sets the node's rank by L8 and reports whether the node is to read sooner,
// because it has become a candidate.
//
// Load pattern: hundreds of nodes start at once. A node that has read nothing yet and is
// not a candidate skips its first read and waits for the long interval.
func (s *State) setRank(now time.Time, rank int, jitter float64) (sooner bool) {
	wasCandidate := s.Rank < s.Candidates
	s.Rank = rank
	candidate := rank < s.Candidates
	switch {
	case candidate && !wasCandidate:
		s.nextRead = time.Time{}
		return true
	case !candidate && wasCandidate && s.ReadAt.IsZero() && len(s.sent) == 0:
		s.nextRead = now.Add(s.withJitter(s.Settings.RareReadInterval, jitter))
	}
	return false
}

// begin makes a candidate that has read nothing yet read now, and reports whether it does.
func (s *State) begin() bool {
	if s.Rank >= s.Candidates || !s.ReadAt.IsZero() {
		return false
	}
	s.nextRead = time.Time{}
	return true
}

func (s *State) readInterval() time.Duration {
	if s.Rank < s.Candidates {
		return s.Settings.ReadInterval
	}
	return s.Settings.RareReadInterval
}

// failedReadInterval is the time from a failed read to the next one.
//
// Load pattern: the object API refuses the calls of many nodes. Only candidates retry
// soon; frequent retries by all nodes would add to the load. 55 of 75 nodes made 417 such calls
// in 8 s.
func (s *State) failedReadInterval() time.Duration {
	const retryDivisor = 4
	if s.Rank < s.Candidates {
		return s.Settings.RenewInterval / 3
	}
	return s.Settings.RareReadInterval / retryDivisor
}

// withJitter returns a duration between three and five quarters of d.
func (s *State) withJitter(d time.Duration, jitter float64) time.Duration {
	return d*3/4 + time.Duration(float64(d)*jitter/2)
}

// observeEra notes the era of a response and reports whether the node has seen it begin.
func (s *State) observeEra(era garnetworks.Era) bool {
	begins := s.EraKnown && era > s.Era
	s.Era, s.EraKnown = max(s.Era, era), true
	return begins
}

// beginEra processes the first read of a new era. The writes of earlier ones are not recognized any
// more, since a copy may show one that another node's has replaced (L10).
//
// Failure: the lease changes hands, and the object API comes back from a copy from before that. The
// former holder finds its own record, and two nodes act as holders.
func (s *State) beginEra(now time.Time, record garnetworks.LeaseRecord, revision garnetworks.Revision) {
	unexpired := s.Holding && Age(now, s.HeldFrom) < s.Settings.Duration && record.Holder == s.Self && record.Term == s.Record.Term
	s.sent, s.PredecessorTerm, s.EraBegan = nil, 0, true
	s.observe(now, record, revision)
	s.SeenAt = now
	s.Holding = false
	s.Floor = max(s.Floor, s.HighestTerm)
	if unexpired {
		s.reacquireRevision = revision
		s.reacquireFrom = now.Add(s.Settings.OrderBound)
	}
}

// reconcile compares the record with the writes that this process sent (L2). A record
// that one of them wrote is this process's own, held from when that write was sent.
func (s *State) reconcile(now time.Time, record garnetworks.LeaseRecord, revision garnetworks.Revision) {
	for _, w := range s.sent {
		if revision != 0 && w.Record.WriteID == record.WriteID {
			s.adoptWrite(record, revision, w.Started)
			return
		}
	}
	s.observe(now, record, revision)
	s.Holding = false
}

// adoptWrite updates the state with a write that is known to have taken effect.
func (s *State) adoptWrite(record garnetworks.LeaseRecord, revision garnetworks.Revision, started time.Time) {
	s.observe(started, record, revision)
	s.Holding = record.Holder == s.Self && record.Term > s.Floor
	s.HeldFrom = started
	s.nextRenewal = started.Add(s.Settings.RenewInterval)
}

func (s *State) observe(now time.Time, record garnetworks.LeaseRecord, revision garnetworks.Revision) {
	if !s.Known || revision != s.Revision {
		s.SeenAt = now
	}
	s.Known = true
	s.Record = record
	s.Revision = revision
	s.EraBegan = s.EraBegan && (revision == 0 || record.Era < s.Era)
	s.HighestTerm = max(s.HighestTerm, record.Term)
}

// OnWrite processes the result of the write of the last ActionWrite.
func (s *State) OnWrite(now time.Time, revision garnetworks.Revision, err error) {
	if len(s.sent) == 0 {
		return
	}
	write := s.sent[len(s.sent)-1]
	if err == nil {
		if s.observeEra(revision.Era()) {
			// The write created the record, under a condition that was read in an earlier era.
			s.beginEra(now, write.Record, revision)
			return
		}
		s.adoptWrite(write.Record, revision, write.Started)
		return
	}
	s.mustRead = true
	s.nextRead = now
	if garnetworks.IsKind(err, garnetworks.KindObjectAPIDown, garnetworks.KindThrottled) {
		s.nextRead = now.Add(s.Settings.RenewInterval / 3)
	}
}
