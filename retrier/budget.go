package retrier

import "time"

// BudgetLimits configure a node's retry budget (rule R5).
type BudgetLimits struct {
	// Fraction is the number of retries that each call adds to the budget; 0 to 1.
	Fraction float64
	// MinPerSecond is the number of retries that each second adds, so that a node with
	// few calls can retry at all.
	MinPerSecond float64
	// Burst is the maximum balance; at least 1.
	Burst float64
}

// DefaultBudgetLimits returns limits for a node with about 15 calls per second and 200
// concurrent streams: Burst and two seconds of refill cover the loss of one zone of
// eight, which interrupts about 25 streams at once.
func DefaultBudgetLimits() BudgetLimits {
	return BudgetLimits{Fraction: 0.2, MinPerSecond: 1, Burst: 16}
}

// Budget is a token bucket of a node's retries. It is not safe for concurrent use.
type Budget struct {
	limits  BudgetLimits
	balance float64
	at      time.Time
}

// NewBudget returns a budget of one retry, so that a restart gains next to nothing: an earlier
// process of the node may just have used its own (rule R5).
func NewBudget(limits BudgetLimits, now time.Time) *Budget {
	return &Budget{limits: limits, balance: min(1, limits.Burst), at: now}
}

// RecordCall counts one call, not an attempt.
func (b *Budget) RecordCall(now time.Time) {
	b.refill(now)
	b.add(b.limits.Fraction)
}

// Take takes one retry, and reports whether the budget allowed it.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Available returns the number of retries that could be taken at once.
func (b *Budget) Available(now time.Time) int {
	b.refill(now)
	return int(b.balance)
}

func (b *Budget) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	// Goroutines read the clock before they take the lock, so times may be slightly out
	// of order; an older one must not add its time twice.
	if elapsed <= 0 {
		return
	}
	b.add(elapsed.Seconds() * b.limits.MinPerSecond)
	b.at = now
}

func (b *Budget) add(retries float64) {
	b.balance = min(b.balance+retries, b.limits.Burst)
}
