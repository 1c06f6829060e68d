package quarantiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// checkInterval is the time between two looks for incarnations to probe.
	checkInterval = 100 * time.Millisecond
	// probeBackoffMin is the base of the time between probes, which doubles with each probe.
	// A host that does not answer is down or partitioned.
	probeBackoffMin = 150 * time.Millisecond
	// probeBackoffMax bounds that time.
	probeBackoffMax = 2 * time.Second
	// maxUnregisteredProbes bounds the probes of a server that is no longer registered: they
	// yield nothing new until it, or its next incarnation, is registered again.
	maxUnregisteredProbes = 3
	// probeWindow is how long after an interrupted call a crash of the server is attributed
	// to it. A crash found later may have any cause.
	probeWindow = time.Minute
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 8
	// expiryInterval is the time between two removals of expired records.
	expiryInterval = 10 * time.Second
)

// runProbes probes the servers whose crash is neither proven nor refuted (Z2), and removes
// expired records.
func (q *Quarantiner) runProbes(ctx context.Context) {
	ticker, expiry := time.NewTicker(checkInterval), time.NewTicker(expiryInterval)
	defer ticker.Stop()
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.probeWake:
		case <-ticker.C:
		case <-expiry.C:
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

// dueProbe is an incarnation to be probed.
type dueProbe struct {
	incarnation garnetworks.Incarnation
	// unregistered allows a probe of a server that is no longer registered.
	unregistered bool
}

// dueProbes returns the incarnations that are due for a probe: those of contents that this
// node saw interrupted and that have RetainThreshold runs or more. The loss of one server
// thus causes no probes, since the calls that it interrupts have one run each.
//
// Refused connections alone are probed again while the server is registered: a partition
// can cause them, and a harmless call that met three such servers would otherwise stay
// quarantined at all nodes.
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

// probeBackoff returns the time from one probe to the next, by the number of probes so far.
func probeBackoff(probes int) time.Duration {
	const doublings = 5
	return min(probeBackoffMax, probeBackoffMin<<min(probes, doublings))
}

// applyResult records the result of a probe that began at the given time. A refutation
// covers only calls that were interrupted before the probe began.
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

// maxOthersTried bounds the other servers that are tried to learn whether a zone is reachable;
// one or two of them may have crashed as well.
const maxOthersTried = 3

// AnyReachable reports whether any of the first few other servers is reachable.
//
// A partition can make a node's connections to a zone be refused. All servers of the zone
// are affected alike, so that a refused connection says nothing of a single server.
func AnyReachable[T any](others []T, reachable func(T) bool) bool {
	return slices.ContainsFunc(others[:min(len(others), maxOthersTried)], reachable)
}
