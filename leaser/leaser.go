// Package leaser holds a lease on an object of the object API: one holder at a
// time, whose term becomes the high part of every fencing token it issues. The
// decisions are in State, which is pure; Lease is the thin adapter around it.
// Nothing in the package knows what the lease is for.
//
// Rules:
//
//	L1  A holder counts its lease from before it sent the write that renewed
//	    it, and takes the longer of monotonic and wall time as its age.
//	L2  A write whose answer was lost renews nothing until a read shows its
//	    WriteID.
//	L3  An order is sent only if its bound ends before the lease does, and it
//	    carries that bound as its deadline (rule G12).
//	L4  Another node counts from when it first saw the record, on its own
//	    monotonic clock, and takes over only after the lease's duration, the
//	    order bound and the drift bound have all passed.
//	L5  Each change of holder raises the term by one at least, and no node
//	    writes a term that is not above every term it knows of.
//	L6  A holder that steps down leaves the record without a holder, and only
//	    after its caller has ended all orders.
//	L7  Only the first few nodes in order read the record often; the others read
//	    it rarely, and stand in when the first ones are gone.
//	L8  Nodes with more processor come first, and among equals those of different
//	    zones, in rendezvous order. A holder that can't do the work is late with all
//	    of it, and candidates of one zone are lost together.
//
// Assumptions. Clocks of two nodes run at rates that differ by less than
// DriftBound over one lease. A stopped process's monotonic clock goes on, so
// L1 finds the pause. A suspended machine's monotonic clock may stop; its wall
// clock then jumps when the machine resumes, and L1's longer time finds that
// too. A machine whose two clocks both stand still in a suspend and are not
// set right before its first order can't be told from one that never stopped;
// engines that check fencing tokens refuse its orders all the same.
package leaser

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// Settings are the times of a lease; all nodes that contend for it share them.
type Settings struct {
	// Duration is how long a holder may act after it sent a renewal.
	Duration time.Duration
	// RenewInterval is the time between renewals; a third of Duration or less, so
	// that one lost renewal does not end the lease.
	RenewInterval time.Duration
	// OrderBound is the longest time for which an order may be in flight.
	OrderBound time.Duration
	// DriftBound is the most that two clocks differ over Duration.
	DriftBound time.Duration
	// ReadInterval is the time between two reads of a candidate.
	ReadInterval time.Duration
	// RareReadInterval is the time between two reads of a node that is not among
	// the candidates.
	RareReadInterval time.Duration
}

// Defaults returns the settings for a lease: it passes on within 15 s of the
// holder's loss and costs a write every 3 s.
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

// Check reports whether the settings can keep the rules.
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

// ActionKind is what a State asks its adapter to do.
type ActionKind string

const (
	// ActionWait means that nothing is due before Action.At.
	ActionWait ActionKind = "wait"
	// ActionRead asks for a read of the record.
	ActionRead ActionKind = "read"
	// ActionWrite asks for a conditional write of Action.Record.
	ActionWrite ActionKind = "write"
)

// Action is the next thing to do.
type Action struct {
	Kind ActionKind
	// At is when to ask again; set for ActionWait.
	At time.Time
	// Record and After are set for ActionWrite.
	Record garnetworks.LeaseRecord
	After  garnetworks.Revision
}

// sentWrite is a write that this process has sent.
type sentWrite struct {
	Record garnetworks.LeaseRecord
	// Started is the time before the write was sent.
	Started time.Time
}

// maxSentWrites bounds the writes that are remembered for reading back.
const maxSentWrites = 8

// State is one node's knowledge of a lease.
type State struct {
	// Self is this node; never empty.
	Self garnetworks.NodeID
	// Settings passed Check.
	Settings Settings
	// Rank is the node's place in the order of L8; below Candidates it reads
	// often (L7).
	Rank       int
	Candidates int

	// Known says that Record was read or written at Revision.
	Known    bool
	Record   garnetworks.LeaseRecord
	Revision garnetworks.Revision
	// SeenAt is when Record was first seen, ReadAt when it was last read (L4).
	SeenAt time.Time
	ReadAt time.Time
	// Holding says that Record is this process's own. A record with this node's
	// name from before a restart is another holder's: the new process does not
	// know what the old one decided.
	Holding bool
	// HeldFrom is the time before the last concluded renewal was sent (L1).
	HeldFrom time.Time
	// HighestTerm is the highest term seen in the record; Floor is the highest one that
	// this node must not hold any more (L5).
	HighestTerm uint32
	Floor       uint32
	// Closing says that the node steps down and wants the lease no more.
	Closing bool
	// YieldUntil is until when the node leaves the lease to others; it frees its
	// record at FreeFrom, when its last order can't be in flight any more.
	YieldUntil time.Time
	ReleaseAt  time.Time

	// sent are the newest writes, oldest first. A write whose answer was lost can
	// take effect after a read that did not show it yet, so they stay.
	sent []sentWrite
	// reacquireRevision is the revision of this process's own record under a term that it may
	// not use any more; from retakeFrom on it may replace it.
	reacquireRevision garnetworks.Revision
	reacquireFrom     time.Time
	mustRead          bool
	nextRead          time.Time
	nextRenewal       time.Time
}

// NewState returns the state of a node that knows nothing yet.
func NewState(self garnetworks.NodeID, settings Settings) *State {
	return &State{Self: self, Settings: settings, Candidates: 1, mustRead: true}
}

// Age returns how long ago from was, by the longer of the monotonic and the
// wall clock (L1). It guards against a suspended machine: its monotonic clock
// may have stood still while a successor's ran on; the wall clock's jump shows
// it. A wall clock set forward ends the lease too early, which does no harm.
func Age(now, from time.Time) time.Duration {
	return longer(now.Sub(from), now.Round(0).Sub(from.Round(0)))
}

func longer(mono, wall time.Duration) time.Duration { return max(mono, wall) }

// Term returns the term under which this node holds the lease, or 0.
func (s *State) Term(now time.Time) uint32 {
	if !s.Holding || now.Before(s.YieldUntil) || Age(now, s.HeldFrom) >= s.Settings.Duration {
		return 0
	}
	return s.Record.Term
}

// MayAct reports whether an order that ends within bound may be sent now, and
// the remaining time of the lease (L3).
func (s *State) MayAct(now time.Time, bound time.Duration) (time.Duration, bool) {
	if !s.Holding || s.Closing || now.Before(s.YieldUntil) {
		return 0, false
	}
	remaining := s.Settings.Duration - Age(now, s.HeldFrom)
	return remaining, bound <= s.Settings.OrderBound && bound < remaining
}

// Expired reports whether the node holds a lease whose time has run out. It may
// still renew the record if nobody else has taken it.
func (s *State) Expired(now time.Time) bool {
	return s.Holding && Age(now, s.HeldFrom) >= s.Settings.Duration
}

// Yield leaves the lease to other nodes for the given time. From now on the
// node may send no order; its record is freed once those it sent have ended (L6).
func (s *State) Yield(now time.Time, duration time.Duration) {
	s.ReleaseAt = now.Add(s.Settings.OrderBound)
	s.YieldUntil = now.Add(max(duration, 2*s.Settings.OrderBound))
}

// RaiseFloor makes the node's next record carry a term above floor. A holder
// whose term is not above it takes a new term with its next write: tokens of its
// term would go backwards (rule G3), because the record was deleted or restored
// or because the holder no longer knows which ones it issued. Until then it holds
// nothing, so it may send no order.
// The orders that it sent before may be in flight until the order bound is over.
func (s *State) RaiseFloor(now time.Time, floor uint32) {
	s.Floor = max(s.Floor, floor)
	if s.Holding && s.Record.Term <= s.Floor {
		s.Holding = false
		s.reacquireRevision = s.Revision
		s.reacquireFrom = now.Add(s.Settings.OrderBound)
	}
}

// Next returns what to do now. writeID must be unique to the call.
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
		Term:     max(s.Record.Term, s.HighestTerm, s.Floor) + 1,
		Renewals: s.Record.Renewals + 1,
		Duration: s.Settings.Duration,
		WriteID:  writeID,
	}
}

func (s *State) releaseRecord(writeID string) garnetworks.LeaseRecord {
	record := s.Record
	record.Holder = ""
	record.Renewals++
	record.WriteID = writeID
	return record
}

// mayAcquire reports whether the record is free, or was this process's own until
// its floor rose, or its holder's time is over with all its orders (L4).
func (s *State) mayAcquire(now time.Time) bool {
	if !s.Known || now.Before(s.YieldUntil) {
		return false
	}
	if s.Record.Holder == "" && s.Rank < s.Candidates {
		return true
	}
	if s.reacquireRevision != 0 && s.reacquireRevision == s.Revision && !now.Before(s.reacquireFrom) {
		return true
	}
	return s.takeoverDue()
}

// takeoverDue reports whether a read has shown the record unchanged for the whole
// wait. A node that reads rarely knows nothing of what lies between two reads.
func (s *State) takeoverDue() bool { return s.ReadAt.Sub(s.SeenAt) >= s.takeoverWait() }

// takeoverWait counts the record's own duration if it is the longer one: its holder may
// run with other settings.
func (s *State) takeoverWait() time.Duration {
	return max(s.Record.Duration, s.Settings.Duration) + s.Settings.OrderBound + s.Settings.DriftBound
}

// OnRead takes in the result of a read that ended at now. jitter is between 0
// and 1 and spreads the reads of many nodes.
func (s *State) OnRead(now time.Time, record garnetworks.LeaseRecord, revision garnetworks.Revision, err error, jitter float64) {
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		record, revision, err = garnetworks.LeaseRecord{}, 0, nil
	}
	if err != nil {
		s.nextRead = now.Add(s.withJitter(s.failedReadInterval(), jitter))
		return
	}
	s.mustRead = false
	s.ReadAt = now
	s.reconcile(now, record, revision)
	s.nextRead = now.Add(s.withJitter(s.readInterval(), jitter))
	if takeoverAt := s.SeenAt.Add(s.takeoverWait()); s.Rank < s.Candidates && now.Before(takeoverAt) && takeoverAt.Before(s.nextRead) {
		s.nextRead = takeoverAt
	}
}

// setRank takes the node's place in the order of L8, and reports whether it is to read
// sooner for that: the nodes before it are gone.
//
// Load pattern: hundreds of nodes start at once, and each read the record only to find that
// others come before it. One that has read nothing yet, and is no candidate, leaves it at
// the long interval.
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

func (s *State) readInterval() time.Duration {
	if s.Rank < s.Candidates {
		return s.Settings.ReadInterval
	}
	return s.Settings.RareReadInterval
}

// failedReadInterval is the time to the next read after one that failed.
//
// Failure: the object API turns a third of the nodes away. Each of them reads the lease
// three times in a renewal's time, though only few nodes would take it; of 75 nodes, 55
// made 417 such calls in 8 s. A node that reads rarely has no hurry after a failure.
func (s *State) failedReadInterval() time.Duration {
	const retryDivisor = 4
	if s.Rank < s.Candidates {
		return s.Settings.RenewInterval / 3
	}
	return s.Settings.RareReadInterval / retryDivisor
}

// withJitter returns between three and five quarters of d.
func (s *State) withJitter(d time.Duration, jitter float64) time.Duration {
	return d*3/4 + time.Duration(float64(d)*jitter/2)
}

// reconcile compares the record with the writes that this process sent (L2). A
// record that holds one of them is this process's, from when it sent it.
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

// adoptWrite takes in a write that is known to have taken effect.
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
	s.HighestTerm = max(s.HighestTerm, record.Term)
}

// OnWrite takes in the result of the write of the last ActionWrite.
func (s *State) OnWrite(now time.Time, revision garnetworks.Revision, err error) {
	if len(s.sent) == 0 {
		return
	}
	write := s.sent[len(s.sent)-1]
	if err == nil {
		s.adoptWrite(write.Record, revision, write.Started)
		return
	}
	s.mustRead = true
	s.nextRead = now
	if garnetworks.IsKind(err, garnetworks.KindObjectAPIDown, garnetworks.KindThrottled) {
		s.nextRead = now.Add(s.Settings.RenewInterval / 3)
	}
}
