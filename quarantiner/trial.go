package quarantiner

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// trialTime is how long a node may take to let one call through and learn how it ended. Another
	// node may claim a trial after it.
	trialTime = 15 * time.Second
	// trialRetry is how long a call is asked to wait while a trial is claimed or under way.
	trialRetry = 2 * time.Second
)

// trial is a call's way past a quarantine whose time is over (Z10). The zero value is a trial that
// was asked for.
type trial struct {
	// until is when a claimed trial lapses; zero if it is not claimed yet.
	until time.Time
	// call is the only call that may pass; empty until the first one comes.
	call garnetworks.CallID
}

// trialDelay returns how long a call that comes after the time of a quarantine has to wait: no time
// if it is the one call that this node may let through. q.mu is held.
func (q *Quarantiner) trialDelay(now time.Time, lead garnetworks.ContentDigest, call garnetworks.CallID) time.Duration {
	t, ok := q.trials[lead]
	if !ok {
		if r := q.records[lead]; r == nil || now.Sub(r.trialAt) >= trialTime {
			q.trials[lead] = trial{}
			signal(q.trialWake)
		}
		return trialRetry
	}
	if !t.until.After(now) || t.call != "" && t.call != call {
		return trialRetry
	}
	t.call = call
	q.trials[lead] = t
	return 0
}

// runTrials claims the trials that calls have asked for.
func (q *Quarantiner) runTrials(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.trialWake:
		}
		for _, lead := range q.unclaimedTrials() {
			q.claimTrial(ctx, lead)
		}
		sleep(ctx, batchDelay)
	}
}

func (q *Quarantiner) unclaimedTrials() []garnetworks.ContentDigest {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []garnetworks.ContentDigest
	for lead, t := range q.trials {
		if t.until.IsZero() {
			list = append(list, lead)
		}
	}
	return list
}

// claimTrial claims a trial in the object API, whose conditional write lets one node succeed. The
// next call asks again if that fails, or once the trial has lapsed.
func (q *Quarantiner) claimTrial(ctx context.Context, lead garnetworks.ContentDigest) {
	due := false
	err := q.update(ctx, func() bool {
		due = q.markTrial(time.Now(), lead)
		return due
	})
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil || !due {
		time.AfterFunc(trialRetry, func() { q.forgetTrial(lead) })
		return
	}
	q.trials[lead] = trial{until: time.Now().Add(trialTime)}
	time.AfterFunc(trialTime, func() { q.forgetTrial(lead) })
}

// markTrial marks the start of a trial in the record to be written, if one is due.
func (q *Quarantiner) markTrial(now time.Time, lead garnetworks.ContentDigest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	u, ok := q.quarantined[lead]
	r := q.records[lead]
	if !ok || r == nil || u.until.After(now) || now.Sub(r.trialAt) < trialTime {
		return false
	}
	r.trialAt = now
	return true
}

// forgetTrial removes a trial that has lapsed or could not be claimed.
func (q *Quarantiner) forgetTrial(lead garnetworks.ContentDigest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if t, ok := q.trials[lead]; ok && !t.until.After(time.Now()) {
		delete(q.trials, lead)
	}
}
