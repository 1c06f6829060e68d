package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// askEvery is how often lives that are in doubt are looked through.
	checkInterval = 100 * time.Millisecond
	// askAgain is the time to the second question, and doubles with each. A host that does
	// not answer is dark or cut off.
	probeBackoffMin = 150 * time.Millisecond
	// longestAgain bounds that time.
	probeBackoffMax = 2 * time.Second
	// mostAsked is the number of questions to a server whose entry is gone: nothing new is
	// to be learnt of it before its entry, or that of its next life, is back.
	maxUnregisteredProbes = 3
	// longestDoubt is how long after a call broke off the server's end is put down to it: a
	// partition lasts seconds, and so does a start. One that ends later may have any cause.
	probeWindow = time.Minute
	// mostAtOnce bounds the questions in flight.
	maxConcurrentProbes = 8
	// forgetEvery is how often old records are looked for.
	expiryInterval = 10 * time.Second
)

// ask finds out which of the lives have ended that matter (Z2).
func (q *Quarantiner) runProbes(ctx context.Context) {
	ticker, old := time.NewTicker(checkInterval), time.NewTicker(expiryInterval)
	defer ticker.Stop()
	defer old.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.probeWake:
		case <-ticker.C:
		case <-old.C:
			q.expire()
		}
		var wg sync.WaitGroup
		for _, d := range q.dueProbes(time.Now()) {
			wg.Go(func() {
				began := time.Now()
				q.applyResult(began, d.incarnation, q.options.Probe(ctx, d.incarnation, d.unregistered))
			})
		}
		wg.Wait()
	}
}

// doubt is a life of which it shall be found out whether it has ended.
type dueProbe struct {
	incarnation garnetworks.Incarnation
	// ask says that the server shall be asked also if its entry is gone.
	unregistered bool
}

// doubts returns the lives that matter and are due: those under which a content broke off
// that has others, of contents that this node saw. So a loss costs no question, since the
// calls that it breaks off have one life each.
//
// Failure: a zone is cut off in such a way that its nodes' connections are refused. The
// servers beyond the cut were taken for ended, and a sound call that had met three of them
// was held at all nodes. So a life that only refuses connections is asked again whenever
// its entry is there; its answer releases the call.
func (q *Quarantiner) dueProbes(now time.Time) []dueProbe {
	q.mu.Lock()
	defer q.mu.Unlock()
	due := make(map[garnetworks.Incarnation]bool)
	for _, r := range q.records {
		if !r.observed || !r.retained() {
			continue
		}
		for _, incarnation := range r.incarnations(garnetworks.CrashSuspected) {
			x := r.runs[incarnation]
			settled := x.state > garnetworks.CrashConnectionRefused || x.state == garnetworks.CrashSuspected && now.Sub(x.at) > probeWindow
			if settled || now.Sub(x.probedAt) < probeBackoff(x.probes) || len(due) == maxConcurrentProbes {
				continue
			}
			due[incarnation] = due[incarnation] || x.probes < maxUnregisteredProbes
			x.probes++
			x.probedAt = now
			r.runs[incarnation] = x
		}
	}
	var list []dueProbe
	for incarnation, unregistered := range due {
		list = append(list, dueProbe{incarnation, unregistered})
	}
	return list
}

// againAfter is the time from a question to the next one.
func probeBackoff(probes int) time.Duration {
	const doublings = 5
	return min(probeBackoffMax, probeBackoffMin<<min(probes, doublings))
}

// settle takes what was found out of a life; an answer refutes what broke off before it
// was asked for.
func (q *Quarantiner) applyResult(began time.Time, incarnation garnetworks.Incarnation, state garnetworks.CrashState) {
	if state == garnetworks.CrashSuspected {
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	updated := false
	for content, r := range q.records {
		x, ok := r.runs[incarnation]
		if !ok || state == garnetworks.CrashRefuted && x.at.After(began) {
			continue
		}
		if r.add(incarnation, x.at, state) {
			q.markChanged(now, content, r)
			updated = true
		}
	}
	if updated {
		q.updateQuarantined(now)
	}
}

// mostReached is the number of others that are asked whether a zone is reached; one or two
// of them may have ended as well.
const maxOthersTried = 3

// AnyReachable reports whether any of a few of the others beside a server answers.
//
// Failure: a node is cut off from a zone in such a way that its connections there are
// refused. It shows at all servers of the zone alike, and says nothing of any of them.
func AnyReachable[T any](others []T, reachable func(T) bool) bool {
	return slices.ContainsFunc(others[:min(len(others), maxOthersTried)], reachable)
}
