package admitter

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Bounds of the limits at one node.
const (
	// BurstTime is the time for which a bucket gathers (A4).
	BurstTime = time.Second
	// BurstCalls is the number of requests that a bucket gathers at least (A4).
	// With fewer, a node with a small share refuses calls that come in at random
	// although the site is below the limit.
	BurstCalls = 3
	// SpareCalls is the same while the site as a whole stays below SpareUse of the
	// limit: what one node lets in by chance, another does not (A4).
	RelaxedBurstCalls = 10
	// SpareTime is the time for which tokens gather then.
	RelaxedBurstTime = 20 * time.Second
	// spareDeviations is how far above its part of the concurrency limit a node
	// may go then, in standard deviations of chance (A5).
	relaxedDeviations = 2
	// SpareUse is the demand, as a part of the limit, up to which nodes need not
	// be strict.
	RelaxedUtilization = 0.9
	// creditTime is how much call time a node with less than one call's share
	// gathers (A5).
	maxCreditTime = 20 * time.Second
	// demandWindow is the time over which demand is averaged.
	demandWindow = 5 * time.Second

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// workspace holds one workspace's limits at the node.
type workspace struct {
	spec garnetworks.WorkspaceSpec
	// share is in force; next takes its place at nextAt (A2).
	share, pending float64
	pendingAt      time.Time
	// spare says that the site's demand is well below the limit.
	relaxed  bool
	requests bucket
	tokens   bucket
	// credit is the call time that the node has earned, in seconds (A5).
	credit   bucket
	creditAt time.Time
	inFlight int
	// askedRequests and askedTokens measure demand, refused calls included.
	requestRate, tokenRate meter
}

func newWorkspace() *workspace {
	return &workspace{
		requestRate: meter{window: demandWindow},
		tokenRate:   meter{window: demandWindow},
	}
}

// setShare takes a new share: a lower one at once, a higher one later (A2).
func (w *workspace) setShare(now time.Time, share float64) {
	w.applyPending(now)
	if share <= w.share {
		w.share = share
		w.pendingAt = time.Time{}
		w.apply(now)
		return
	}
	if w.pendingAt.IsZero() {
		w.pendingAt = now.Add(IncreaseDelay)
		w.pending = share
		return
	}
	// A rise that waits already is lowered at once; raised, it waits anew only
	// for what was added, so take the lower of both until the next table.
	w.pending = min(w.pending, share)
}

// forceShare sets the share that needs no settling.
func (w *workspace) forceShare(now time.Time, share float64) {
	w.share = share
	w.pendingAt = time.Time{}
	w.apply(now)
}

// settle puts a share that has waited in force.
func (w *workspace) applyPending(now time.Time) {
	if w.pendingAt.IsZero() || now.Before(w.pendingAt) {
		return
	}
	w.share = w.pending
	w.pendingAt = time.Time{}
	w.apply(now)
}

// apply sets the buckets by share and limits (A4).
func (w *workspace) apply(now time.Time) {
	l := w.spec.Limits
	rate := w.share * l.RequestsPerSecond
	calls := float64(BurstCalls)
	if w.relaxed {
		calls = RelaxedBurstCalls
	}
	w.requests.set(now, rate, max(calls, rate*BurstTime.Seconds()))
	burst := BurstTime
	if w.relaxed {
		burst = RelaxedBurstTime
	}
	rate = w.share * l.TokensPerSecond
	w.tokens.set(now, rate, rate*burst.Seconds())
	w.credit.set(now, min(1, w.concurrencyShare()), maxCreditTime.Seconds())
}

// calls returns the node's part of the concurrency limit.
func (w *workspace) concurrencyShare() float64 { return w.share * float64(w.spec.Limits.Concurrency) }

// refusal returns how long the limits keep a call of the given tokens out; 0
// if they let it in.
func (w *workspace) refusal(now time.Time, tokens int) time.Duration {
	w.applyPending(now)
	l := w.spec.Limits
	wait := time.Duration(0)
	if l.RequestsPerSecond > 0 {
		wait = max(wait, w.requests.wait(now, 1))
	}
	if l.TokensPerSecond > 0 && tokens > 0 {
		// Without debt the call is let in, and pays in full; asking for the whole
		// price would keep large calls out of small shares for good.
		wait = max(wait, w.tokens.wait(now, 0))
	}
	if l.Concurrency > 0 {
		wait = max(wait, w.concurrency(now))
	}
	return wait
}

// concurrency returns how long the concurrency limit keeps a call out (A5).
func (w *workspace) concurrency(now time.Time) time.Duration {
	w.chargeInFlight(now)
	concurrencyShare := w.concurrencyShare()
	limit := max(1, concurrencyShare)
	if w.relaxed {
		limit += relaxedDeviations * math.Sqrt(concurrencyShare)
	}
	if w.inFlight >= int(math.Ceil(limit)) {
		return time.Second
	}
	if concurrencyShare < 1 {
		return w.credit.wait(now, 0)
	}
	return 0
}

// drain pays for the calls in flight since the last look. A share of one call
// or more is held by the number in flight alone.
func (w *workspace) chargeInFlight(now time.Time) {
	if w.concurrencyShare() >= 1 {
		w.credit.level = max(0, w.credit.level)
		w.creditAt = now
		return
	}
	if elapsed := now.Sub(w.creditAt).Seconds(); elapsed > 0 && !w.creditAt.IsZero() {
		w.credit.take(now, elapsed*float64(w.inFlight))
	}
	w.creditAt = now
}

// enter charges a call.
func (w *workspace) charge(now time.Time, tokens int) {
	w.chargeInFlight(now)
	w.requests.take(now, 1)
	w.tokens.take(now, float64(tokens))
	w.inFlight++
}

// undo takes back the charge of a call that did not run (A10).
func (w *workspace) refund(now time.Time, tokens int) {
	w.chargeInFlight(now)
	w.requests.take(now, -1)
	w.tokens.take(now, -float64(tokens))
	w.inFlight--
}

// leave ends a call that used other tokens than were charged.
func (w *workspace) finish(now time.Time, charged, used int) {
	w.chargeInFlight(now)
	w.tokens.take(now, float64(used-charged))
	w.inFlight--
}

// demand returns what the node asks for.
func (w *workspace) demand(now time.Time) garnetworks.Demand {
	return garnetworks.Demand{
		Workspace:         w.spec.Name,
		RequestsPerSecond: w.requestRate.rate(now),
		TokensPerSecond:   w.tokenRate.rate(now),
		InFlight:          w.inFlight,
	}
}
