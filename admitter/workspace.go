package admitter

import (
	"math"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Parameters of the limits at one node.
const (
	// BurstTime is the time for which a bucket accumulates (A4).
	BurstTime = time.Second
	// BurstCalls is the minimum depth of the request bucket (A4). With fewer, a node
	// with a small share refuses randomly arriving calls although the site is below
	// the limit.
	BurstCalls = 3
	// RelaxedBurstCalls replaces BurstCalls while the site's demand is below
	// RelaxedUtilization of the limit: bursts at different nodes even out (A4).
	RelaxedBurstCalls = 10
	// RelaxedBurstTime replaces BurstTime for tokens under the same condition.
	RelaxedBurstTime = 20 * time.Second
	// relaxedDeviations is how far a node may then exceed its share of the concurrency
	// limit, in standard deviations of random arrivals (A5).
	relaxedDeviations = 2
	// RelaxedUtilization is the demand, as a fraction of the limit, below which limits
	// are relaxed.
	RelaxedUtilization = 0.9
	// maxCreditTime is how much call time a node whose share is below one call
	// accumulates (A5).
	maxCreditTime = 20 * time.Second
	// demandWindow is the time over which demand is averaged.
	demandWindow = 5 * time.Second

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// workspace holds one workspace's limits at the node.
type workspace struct {
	spec garnetworks.WorkspaceSpec
	// share applies now; pending replaces it at pendingAt (A2).
	share, pending float64
	pendingAt      time.Time
	// relaxed says that the site's demand is below RelaxedUtilization.
	relaxed  bool
	requests bucket
	tokens   bucket
	// credit is the call time that the node has earned, in seconds (A5).
	credit   bucket
	creditAt time.Time
	inFlight int
	// requestRate and tokenRate measure demand, refused calls included.
	requestRate, tokenRate meter
}

func newWorkspace() *workspace {
	return &workspace{
		requestRate: meter{window: demandWindow},
		tokenRate:   meter{window: demandWindow},
	}
}

// setShare sets a new share: a lower one at once, a higher one delayed (A2).
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
	// A pending increase is lowered at once. Raising it would need a new delay for
	// the difference, so the lower of both applies until the next table.
	w.pending = min(w.pending, share)
}

// forceShare sets a share without a delay.
func (w *workspace) forceShare(now time.Time, share float64) {
	w.share = share
	w.pendingAt = time.Time{}
	w.apply(now)
}

// applyPending applies a pending share that is due.
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

// concurrencyShare returns the node's share of the concurrency limit, in calls.
func (w *workspace) concurrencyShare() float64 { return w.share * float64(w.spec.Limits.Concurrency) }

// refusal returns how long the limits refuse a call with the given tokens; 0 if they
// admit it.
func (w *workspace) refusal(now time.Time, tokens int) time.Duration {
	w.applyPending(now)
	l := w.spec.Limits
	wait := time.Duration(0)
	if l.RequestsPerSecond > 0 {
		wait = max(wait, w.requests.wait(now, 1))
	}
	if l.TokensPerSecond > 0 && tokens > 0 {
		// Without debt the call is admitted and charged in full; requiring all of its
		// tokens would refuse large calls at small shares forever.
		wait = max(wait, w.tokens.wait(now, 0))
	}
	if l.Concurrency > 0 {
		wait = max(wait, w.concurrency(now))
	}
	return wait
}

// concurrency returns how long the concurrency limit refuses a call (A5).
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

// chargeInFlight charges the credit for the calls in flight since the last charge. A
// share of one call or more is limited by the number in flight alone.
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

// charge charges a call.
func (w *workspace) charge(now time.Time, tokens int) {
	w.chargeInFlight(now)
	w.requests.take(now, 1)
	w.tokens.take(now, float64(tokens))
	w.inFlight++
}

// refund refunds the charge of a call that did not run (A10).
func (w *workspace) refund(now time.Time, tokens int) {
	w.chargeInFlight(now)
	w.requests.take(now, -1)
	w.tokens.take(now, -float64(tokens))
	w.inFlight--
}

// finish ends a call, correcting the charge to the tokens used.
func (w *workspace) finish(now time.Time, charged, used int) {
	w.chargeInFlight(now)
	w.tokens.take(now, float64(used-charged))
	w.inFlight--
}

// demand returns the node's demand.
func (w *workspace) demand(now time.Time) garnetworks.Demand {
	return garnetworks.Demand{
		Workspace:         w.spec.Name,
		RequestsPerSecond: w.requestRate.rate(now),
		TokensPerSecond:   w.tokenRate.rate(now),
		InFlight:          w.inFlight,
	}
}
