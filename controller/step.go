package controller

import (
	"fmt"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/grouper"
)

// Step computes the next calls and orders from the state and an observation.
func (s *ZoneState) Step(o Observation) Effects {
	e := Effects{}
	if s.Phase != PhaseStandby && (o.Contested || (o.Term != 0 && o.Term != s.Term)) {
		// Another node holds the lease, or this one under another term: decisions that were
		// not stored must be dropped.
		s.reset()
	}
	if s.Phase == PhaseStandby {
		if o.Term == 0 {
			return e
		}
		if o.Term <= s.Term {
			// The decisions made under this term were dropped, including tokens that engines
			// may hold. Continuing under the same term would issue those tokens again for
			// other decisions.
			e.RaiseFloor = s.Term
			return e
		}
		s.beginTerm(o)
	}
	s.detectPause(o.Now)
	s.startReads(o, &e)
	switch s.Phase {
	case PhaseLoading:
		s.listDomains(o, &e)
	case PhaseClaiming:
		s.claim(o, &e)
	case PhaseActive:
		s.act(o, &e)
	}
	return e
}

// pauseThreshold is the time between two steps above which the process is taken to have
// been paused; steps normally come every Times.Tick.
const pauseThreshold = 2 * time.Second

// detectPause restarts the measurement of silence after the process was paused. A resumed
// holder has only old statuses. Without the restart it would take its own pause for silence of
// the engines, and yield its lease or count every member as lost; a zone with a single node
// would then have no controller for yieldPeriod. An instance that fell silent during the pause
// is detected Times.Loss after the restart, as after a change of holder.
func (s *ZoneState) detectPause(now time.Time) {
	if gap := now.Sub(s.lastStep); !s.lastStep.IsZero() && gap > pauseThreshold {
		s.ListeningSince = now
		s.lastContact = now
	}
	s.lastStep = now
}

func (s *ZoneState) beginTerm(o Observation) {
	s.Term = o.Term
	s.refused = ""
	s.enter(PhaseLoading, o.Now)
}

func (s *ZoneState) enter(p Phase, now time.Time) {
	s.Phase = p
	s.Since = now
	s.ListeningSince = now
	s.lastContact = now
	s.metricsAt = now
	s.changed = true
}

// startReads updates the manifest and requests the list, ledger and rate when due.
func (s *ZoneState) startReads(o Observation, e *Effects) {
	s.updateManifest(o)
	e.ReadList = s.listRead.start(o.Now)
	e.ReadLedger = s.ledgerRead.start(o.Now)
	e.ReadRate = s.rateRead.start(o.Now)
}

// updateManifest takes over a newer manifest, never an older generation (rule G10).
func (s *ZoneState) updateManifest(o Observation) {
	if o.Manifest == nil || (s.Manifest != nil && o.Manifest.Generation <= s.Manifest.Generation) {
		return
	}
	s.Manifest = o.Manifest
	s.changed = true
}

func (s *ZoneState) listDomains(o Observation, e *Effects) {
	if o.Term == 0 {
		return
	}
	e.ListDomains = s.domainList.start(o.Now)
}

// OnDomains handles the result of listing the zone's domains.
func (s *ZoneState) OnDomains(now time.Time, objects []garnetworks.Object, err error) error {
	if s.Phase != PhaseLoading {
		return nil
	}
	if err != nil {
		s.domainList.done(now.Add(minRetryDelay))
		return err
	}
	domains := map[garnetworks.DomainID]*DomainState{}
	for _, object := range objects {
		d := &DomainState{Record: Record[garnetworks.FabricDomain]{Key: object.Key}}
		if err := d.onRead(now, object, nil); err != nil {
			// A domain that can't be decoded may contain instances that draw power: nothing is
			// decided for the zone until an operator has repaired it.
			s.domainList.done(now.Add(s.Times.ListEvery))
			return err
		}
		d.Decided = grouper.Clone(&d.Stored)
		domains[d.Stored.ID] = d
	}
	s.Domains = domains
	s.Power.MustRead = true
	s.enter(PhaseClaiming, now)
	return nil
}

// claim writes each object under this term (rule C1) and then enters PhaseActive.
func (s *ZoneState) claim(o Observation, e *Effects) {
	if o.Term == 0 {
		return
	}
	claimed := s.claimPower(o, e)
	for _, d := range s.sortedDomains() {
		if !s.claimDomain(o, d, e) {
			claimed = false
		}
	}
	if claimed {
		s.enter(PhaseActive, o.Now)
	}
}

func (s *ZoneState) claimPower(o Observation, e *Effects) bool {
	switch {
	case s.Power.MustRead:
		s.Power.read(o.Now, e)
	case s.Power.Revision == 0:
		// There is no power statement, hence nothing to claim: its creation is conditional on
		// its absence. It is written once the zone's draw is known, because the site would
		// read an empty statement as a draw of 0.
		return true
	case s.Power.Stored.Term > s.Term:
		e.RaiseFloor = max(e.RaiseFloor, s.Power.Stored.Term)
	case s.Power.Stored.Term < s.Term:
		next := s.Power.Stored
		next.Zone, next.Term, next.WriteID = s.Zone, s.Term, s.writeID()
		s.Power.write(o.Now, next, e)
	default:
		return !s.Power.Busy
	}
	return false
}

func (s *ZoneState) claimDomain(o Observation, d *DomainState, e *Effects) bool {
	switch {
	case d.MustRead:
		d.read(o.Now, e)
	case d.Stored.Term > s.Term:
		// The lease's record was deleted or restored from an old copy, so its term is lower
		// than the stored one.
		e.RaiseFloor = max(e.RaiseFloor, d.Stored.Term)
	case d.Stored.Term < s.Term:
		d.Decided = grouper.Clone(&d.Stored)
		a, err := grouper.Open(&d.Decided, s.Term)
		if err != nil {
			return false
		}
		d.Decided = *a.Domain()
		s.writeDomain(o.Now, d, e)
	default:
		return !d.Busy
	}
	return false
}

func (s *ZoneState) writeDomain(now time.Time, d *DomainState, e *Effects) {
	if !d.due(now) {
		return
	}
	d.Decided.WriteID = s.writeID()
	d.write(now, grouper.Clone(&d.Decided), e)
	d.Urgency = grouper.Unchanged
	d.SoftSince = time.Time{}
}

// writeID returns a unique identifier: a term belongs to one process, which counts its writes.
func (s *ZoneState) writeID() string {
	s.writes++
	return fmt.Sprintf("%s/%d/%d", s.Zone, s.Term, s.writes)
}

// OnWrite handles the result of a write.
func (s *ZoneState) OnWrite(now time.Time, term uint32, key string, revision garnetworks.Revision, err error) {
	if term != s.Term {
		return
	}
	s.changed = true
	if key == s.Power.Key {
		s.Power.onWrite(now, revision, err)
		return
	}
	if d := s.domainByKey(key); d != nil {
		d.Resend = !d.onWrite(now, revision, err)
	}
}

// OnRead handles the result of a read.
func (s *ZoneState) OnRead(now time.Time, term uint32, key string, object garnetworks.Object, err error) error {
	if term != s.Term {
		return nil
	}
	s.changed = true
	if key == s.Power.Key {
		return s.Power.onRead(now, object, err)
	}
	d := s.domainByKey(key)
	if d == nil {
		return nil
	}
	if err := d.onRead(now, object, err); err != nil {
		return err
	}
	d.Resend = d.Stored.WriteID != d.Sent.WriteID
	return nil
}

func (s *ZoneState) domainByKey(key string) *DomainState {
	for _, d := range s.Domains {
		if d.Key == key {
			return d
		}
	}
	return nil
}

// OnList handles the instance list.
func (s *ZoneState) OnList(now time.Time, rows []garnetworks.ListedInstance, err error) {
	s.listRead.done(now.Add(s.Times.ListEvery))
	if err == nil {
		s.Listed = rows
		s.ListKnown = true
		s.changed = true
	}
}

// OnLedger handles the power ledger; an older ledger never replaces a newer one.
func (s *ZoneState) OnLedger(now time.Time, ledger garnetworks.PowerLedger, err error) {
	s.ledgerRead.done(now.Add(s.Times.LedgerEvery))
	if err != nil {
		return
	}
	if old, ok := s.Ledger.Get(); ok && old.Sequence >= ledger.Sequence {
		return
	}
	s.Ledger = garnetworks.Some(ledger)
	s.changed = true
}

// rateInterval is the interval between reads of the weight store's rate.
const rateInterval = time.Minute

// OnRate handles the weight store's rate.
func (s *ZoneState) OnRate(now time.Time, rate int64, err error) {
	s.rateRead.done(now.Add(rateInterval))
	if err == nil {
		s.StoreRate = rate
	}
}

// OnStatus handles a status that was read directly or that answered an order, unless the known
// status of the instance was requested at the same time or later.
func (s *ZoneState) OnStatus(sent time.Time, status garnetworks.EngineStatus, err error) {
	if err != nil || status.Instance == "" {
		return
	}
	if old, ok := s.direct[status.Instance]; ok && !sent.After(old.At) {
		return
	}
	s.direct[status.Instance] = TimedStatus{status, sent}
	s.changed = true
}
