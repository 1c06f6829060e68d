package follower

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// missedHeartbeats is the number of heartbeat intervals of silence after which the platform removes
// a server's entry.
const missedHeartbeats = 3

// toleratedMisses is the number of reports in a row that a live server may miss without its entry
// expiring. After one more, the next report may arrive later than the removal.
const toleratedMisses = missedHeartbeats - 2

// departedServer is the last entry of an incarnation that is no longer known, and the era of the
// store in which it was dropped.
type departedServer struct {
	garnetworks.RegisteredServer
	era garnetworks.Era
}

// withheldServer is an entry that is not applied before due, and the era that it is of.
type withheldServer struct {
	garnetworks.RegisteredServer
	era garnetworks.Era
	due time.Time
}

// observeEra notes the era of an entry or of a removal; f.mu must be held.
func (f *Follower) observeEra(era garnetworks.Era) {
	if era > f.era {
		f.era, f.eraSince = era, time.Now()
	}
}

// recovered returns when the store last recovered, or its newest era was first seen, and whether it is
// reached; f.mu must be held.
func (f *Follower) recovered() (time.Time, bool) {
	recovered, up := f.servers.Recovered()
	return latest(recovered, f.eraSince), up
}

// leftBefore reports whether an entry of a later era says of a server that left in an earlier one
// that it is live; f.mu must be held.
//
// Failure: a server reports that it leaves, and the store comes back from a copy from before. Calls
// are sent to the server until it has reported a second time, and it ends with them.
func (f *Follower) leftBefore(old, s *garnetworks.RegisteredServer, era garnetworks.Era) bool {
	return old.State == garnetworks.ListedLeaving && s.State != garnetworks.ListedLeaving &&
		old.Incarnation() == s.Incarnation() && f.eras[s.ID] < era
}

// withhold reports whether the entry is that of an incarnation that was dropped in an earlier era,
// and keeps it for later if so (rule F10). The next entry of the same era is not withheld, since
// the server itself has written it. f.mu must be held.
func (f *Follower) withhold(s *garnetworks.RegisteredServer, era garnetworks.Era) bool {
	departed, ok := f.departed[s.Incarnation()]
	if current, known := f.known[s.ID]; !ok || departed.era >= era || known && current.Incarnation() == s.Incarnation() {
		return false
	}
	departed.era = era
	f.departed[s.Incarnation()] = departed
	f.withheld[s.ID] = withheldServer{*s, era, time.Now().Add(missedHeartbeats*f.options.HeartbeatInterval + RecoveryTime)}
	f.record(garnetworks.Event{Kind: garnetworks.EventServerRefused, Instance: s.ID, Zone: s.Zone, Detail: "its entry had been removed before the object API came back from a copy"})
	return true
}

// applyWithheld applies the withheld entries that are due.
func (f *Follower) applyWithheld(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.withheld {
		if !now.Before(w.due) {
			f.apply(&w.RegisteredServer, w.era)
		}
	}
	f.applyWithheldEvacuations(now)
}
