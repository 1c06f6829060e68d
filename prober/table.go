package prober

import (
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// entry is the newest status of one instance.
type entry struct {
	status garnetworks.EngineStatus
	// at is when the newest probe that returned this status was sent, or a time before
	// (rule P2).
	at time.Time
	// firstIncarnation is the incarnation first seen with the status's token.
	firstIncarnation uint64
}

// age returns the time since the probe was sent, by whichever clock gives the higher age. The
// monotonic clock stops while a machine is suspended, so older confirmations would look
// recent; the wall clock is correct again after the suspension. If the wall clock jumps ahead
// for another reason, confirmations look too old until the next round.
func (e *entry) age(now time.Time) time.Duration {
	return max(now.Sub(e.at), now.Round(0).Sub(e.at.Round(0)))
}

// Table holds the newest status of each instance. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	entries map[garnetworks.InstanceID]entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[garnetworks.InstanceID]entry)}
}

// Merge merges results and returns the instances whose confirmation has changed. Base is a time
// on this process's clock that is not after the time at which the ages were computed: for the
// node's own results the time of that computation, for a peer's response the time of the
// request, for a peer's request the time that Exchange computes. The time at which a message
// is received can't be used, since the message may have been delayed.
func (t *Table) Merge(base time.Time, results []garnetworks.ProbeResult) []garnetworks.InstanceID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []garnetworks.InstanceID
	for i := range results {
		if t.merge(base, &results[i]) {
			changed = append(changed, results[i].Status.Instance)
		}
	}
	return changed
}

// merge merges one result and reports whether the confirmation has changed. The caller
// holds mu.
func (t *Table) merge(base time.Time, r *garnetworks.ProbeResult) bool {
	if r.Failed {
		return false // rule P4
	}
	at := base.Add(-max(r.Age, 0))
	known, ok := t.entries[r.Status.Instance]
	if ok && !supersedes(&r.Status, at, &known) {
		return false
	}
	first := r.Status.Incarnation
	if ok && known.status.Token == r.Status.Token {
		first = known.firstIncarnation
	}
	status := r.Status
	if ok && status.CacheEvents == 0 && status.Incarnation == known.status.Incarnation {
		status.CacheEvents = known.status.CacheEvents // results from peers omit it
	}
	t.entries[status.Instance] = entry{status, at, first}
	return !ok || !SameConfirmation(&known.status, &r.Status)
}

// supersedes reports whether a status replaces the known one (rule P3).
func supersedes(s *garnetworks.EngineStatus, at time.Time, known *entry) bool {
	if s.Incarnation != known.status.Incarnation {
		return s.Incarnation > known.status.Incarnation
	}
	if s.Token != known.status.Token {
		return s.Token > known.status.Token
	}
	return at.After(known.at)
}

// SameConfirmation reports whether two statuses are equal in instance, incarnation, phase,
// group, token, model, version, adapters and leaving; loads and counters are not compared.
func SameConfirmation(a, b *garnetworks.EngineStatus) bool {
	return a.Instance == b.Instance && a.Incarnation == b.Incarnation &&
		a.Phase == b.Phase && a.Group == b.Group && a.Token == b.Token &&
		a.Model == b.Model && a.Version == b.Version && a.Leaving == b.Leaving &&
		slices.Equal(a.Adapters, b.Adapters)
}

// Confirmed reports whether all members confirm the group now (rule P5).
func (t *Table) Confirmed(now time.Time, g garnetworks.Group) bool {
	return t.confirmed(now, &membership{g.ID, g.Token, g.Model, g.Version}, g.Members)
}

// ConfirmedView is Confirmed for a router's view of a group.
func (t *Table) ConfirmedView(now time.Time, g *garnetworks.GroupView) bool {
	return t.confirmed(now, &membership{g.ID, g.Token, g.Model, g.Version}, g.Members)
}

// Missing returns the members that do not confirm the group now, in the order of the
// group.
func (t *Table) Missing(now time.Time, g garnetworks.Group) []garnetworks.InstanceID {
	want := membership{g.ID, g.Token, g.Model, g.Version}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var missing []garnetworks.InstanceID
	for _, m := range g.Members {
		if !t.confirms(now, m, &want) {
			missing = append(missing, m)
		}
	}
	return missing
}

// membership is what a member must report to confirm its group.
type membership struct {
	group   garnetworks.GroupID
	token   garnetworks.FencingToken
	model   garnetworks.ModelName
	version garnetworks.VersionName
}

// confirmed reports whether all members confirm the wanted membership. A group without
// members is never confirmed.
func (t *Table) confirmed(now time.Time, want *membership, members []garnetworks.InstanceID) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, m := range members {
		if !t.confirms(now, m, want) {
			return false
		}
	}
	return len(members) > 0
}

// confirms reports whether the member confirms the wanted membership. The caller holds mu.
func (t *Table) confirms(now time.Time, m garnetworks.InstanceID, want *membership) bool {
	e, ok := t.entries[m]
	if !ok || e.age(now) > garnetworks.ConfirmationBound {
		return false
	}
	s := &e.status
	// A member that restarted under its token and reports its old membership has lost its
	// state and its connections to the other members. It appears as a new incarnation with a
	// known token, and counts again once it has a new token.
	if s.Incarnation != e.firstIncarnation {
		return false
	}
	return s.Phase == garnetworks.EngineReady && !s.Leaving &&
		*want == membership{s.Group, s.Token, s.Model, s.Version}
}

// Confirmation returns the instance's newest confirmation and when it was probed.
func (t *Table) Confirmation(instance garnetworks.InstanceID) (garnetworks.Confirmation, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[instance]
	if !ok {
		return garnetworks.Confirmation{}, false
	}
	s := &e.status
	return garnetworks.Confirmation{
		Instance: s.Instance, Incarnation: s.Incarnation, Group: s.Group, Token: s.Token,
		Model: s.Model, Version: s.Version, Ready: s.Phase == garnetworks.EngineReady && !s.Leaving, At: e.at,
	}, true
}

// Status returns the instance's newest status and when it was probed.
func (t *Table) Status(instance garnetworks.InstanceID) (garnetworks.EngineStatus, time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.entries[instance]
	return e.status, e.at, ok
}

// expireAll makes all statuses too old to confirm anything or to be sent. They are kept, so
// that outdated statuses are still recognized.
func (t *Table) expireAll(now time.Time) {
	oldest := now.Add(-time.Hour)
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.at.After(oldest) {
			e.at = oldest
			t.entries[id] = e
		}
	}
}

// Keep removes all instances that are not in the set, because they are no longer part of the
// site.
func (t *Table) Keep(instances garnetworks.Set[garnetworks.InstanceID]) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.entries {
		if !instances.Has(id) {
			delete(t.entries, id)
		}
	}
}
