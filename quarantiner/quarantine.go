package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// quarantine is the quarantine of the calls that have all of some contents and parts.
type quarantine struct {
	// shared are the digests that all these calls have.
	shared []garnetworks.ContentDigest
	// until is when a call may be tried again, which may have passed.
	until time.Time
}

// covers reports whether the call is one of those quarantined.
func (u *quarantine) covers(call *garnetworks.CallIdentity) bool {
	return !slices.ContainsFunc(u.shared, func(digest garnetworks.ContentDigest) bool { return !call.Has(digest) })
}

// updateQuarantined recomputes the quarantines (Z3, Z8); q.mu is held.
func (q *Quarantiner) updateQuarantined(now time.Time) {
	close(q.updated)
	q.updated = make(chan struct{})
	q.checksumValid = false
	var suspects []suspect
	for digest, r := range q.records {
		if len(r.runs) < CrashThreshold {
			continue
		}
		if crashes := r.incarnations(garnetworks.CrashConnectionRefused); len(crashes) >= CrashThreshold {
			suspects = append(suspects, suspect{digest: digest, crashes: crashes, spread: r.clusters(crashSpacing) >= r.threshold()})
		}
	}
	quarantined := make(map[garnetworks.ContentDigest]quarantine)
	for _, c := range findCulprits(suspects, q.crashedParts) {
		r := q.records[c.lead()]
		u := quarantine{shared: c.shared, until: r.lastInterruption().Add(r.quarantineTime())}
		quarantined[c.lead()] = u
		if old := q.quarantined[c.lead()]; u.until.After(now) && (!old.until.Equal(u.until) || !slices.Equal(old.shared, u.shared)) {
			q.recordEvent(garnetworks.EventCallQuarantined, fmt.Sprintf("content %s is quarantined for %s: %d servers crashed during calls with it, among them %s", describe(&u), u.until.Sub(now).Round(time.Second), len(c.crashes), c.crashes[len(c.crashes)-1].Instance))
		}
	}
	for lead, u := range q.quarantined {
		if _, still := quarantined[lead]; !still && u.until.After(now) {
			q.recordEvent(garnetworks.EventCallReleased, fmt.Sprintf("content %s is no longer quarantined: a server completed it or began to answer it, or the crashes are refuted or attributed to another one", describe(&u)))
		}
	}
	q.quarantined = quarantined
}

// crashedParts returns the parts of prompts with crashes, in the calls of all workspaces and models;
// q.mu is held.
func (q *Quarantiner) crashedParts() (parts []suspect) {
	for digest, r := range q.records {
		if !r.part || digest.IsScopedPart() {
			continue
		}
		if crashes := r.incarnations(garnetworks.CrashConnectionRefused); len(crashes) > 0 {
			parts = append(parts, suspect{digest: digest, crashes: crashes})
		}
	}
	return parts
}

// describe names what the calls of a quarantine have in common.
func describe(u *quarantine) string {
	var names []string
	for _, digest := range u.shared {
		names = append(names, string(digest))
	}
	return strings.Join(names, " with ")
}
