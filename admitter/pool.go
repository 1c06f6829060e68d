package admitter

import (
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// defaultSlotTime is the assumed time that a call occupies its slot until calls
	// have been measured.
	defaultSlotTime = 5 * time.Second
	// slotTimeWeight is the weight of one call in the moving average.
	slotTimeWeight = 0.1
	// defaultFirstToken is the assumed time to the first token until it is measured.
	defaultFirstToken = 200 * time.Millisecond
	// reviewInterval is the minimum time between two reviews of the waiting calls (A9).
	reviewInterval = 25 * time.Millisecond
	// adaptInterval is the minimum time between two steps of the slot limit.
	adaptInterval = 500 * time.Millisecond
	// Steps and bounds of the slot limit, as factors of the node's share (A6).
	// idleGrowStep times the free part of the slots is the step while many are free:
	// the nodes of a partitioned zone have a share of all slots, although no other
	// node can reach the engines there.
	idleGrowStep         = 0.3
	shrinkStep, growStep = 0.97, 0.03
	minFactor, maxFactor = 0.3, 4.0
	shrinkUse, growUse   = 1.0, 0.97
	// slowFirstToken is the time to the first token at which the engines are short
	// of prefill, however many slots are free. It is half of the promised time, so
	// that most calls still meet it.
	slowFirstToken = 420 * time.Millisecond
	fastFirstToken = 300 * time.Millisecond
	// firstTokenMargin covers calls whose first token is slower than usual. A call
	// that is admitted and late has wasted a slot.
	firstTokenMargin = 2
	// reserveDeviations is the number of standard deviations above the expected
	// number of calls of higher priority for which slots are reserved.
	reserveDeviations = 2.5
	minRateFraction   = 0.05
	classWindow       = 10 * time.Second
	defaultMaxWaiting = 256
	// retryJitter is the largest relative increase of RetryAfter; jitterSteps and
	// jitterStride spread consecutive refusals over it.
	retryJitter              = 0.25
	jitterSteps              = 64
	jitterStride             = 37
	minOverloadRetry         = time.Second
	minSlotLimit     float64 = 1
)

// pool holds a model's slots at the node and the calls that wait for them.
type pool struct {
	model    garnetworks.ModelName
	capacity garnetworks.ModelCapacity
	// factor adapts the node's share (A6).
	factor float64
	// nodeSlots is the node's share of the slots, before adaptation.
	nodeSlots float64
	adaptedAt time.Time
	// saturated is set when a call found no slot since the last step.
	saturated bool
	// limit is the number of calls that the node runs at once; at least 1, so that
	// the router can say why a model is not served.
	limit   float64
	running int
	// startSum is the sum of the start times of running calls, in seconds since
	// base, for the mean age.
	startSum float64
	base     time.Time
	slotTime float64
	// classes are sorted by descending priority; the manifest bounds their number.
	classes  []*class
	waiting  int
	reviewed time.Time
}

func newPool(now time.Time, model garnetworks.ModelName) *pool {
	return &pool{model: model, factor: 1, limit: minSlotLimit, base: now, slotTime: defaultSlotTime.Seconds()}
}

// class returns the class of a priority, creating it if needed.
func (p *pool) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(p.classes, priority, func(c *class, want int) int { return want - c.priority })
	if !ok {
		c := &class{
			priority: priority,
			flows:    map[garnetworks.WorkspaceName]*flow{},
			arrivals: meter{window: classWindow},
		}
		p.classes = slices.Insert(p.classes, i, c)
	}
	return p.classes[i]
}

// setCapacity sets the model's capacity and the node's share of it, and adapts the
// factor (A6).
func (p *pool) setCapacity(now time.Time, capacity garnetworks.ModelCapacity, share float64) {
	p.capacity = capacity
	if capacity.Slots > 0 && now.Sub(p.adaptedAt) >= adaptInterval {
		p.adaptedAt = now
		p.adapt(capacity.InUse/float64(capacity.Slots), capacity.FirstToken)
		p.saturated = false
	}
	slots := share * float64(capacity.Slots)
	if p.factor > 1 && slots > p.nodeSlots && p.nodeSlots > 0 {
		// Other nodes reach these groups again, or groups were added: what was taken
		// beyond the node's own share must not grow in proportion.
		p.factor = max(1, p.factor*p.nodeSlots/slots)
	}
	p.nodeSlots = slots
	p.limit = max(minSlotLimit, p.factor*slots)
}

// adapt makes one step of the factor. Engines are overloaded when calls wait for a
// slot or first tokens are slow.
func (p *pool) adapt(utilization float64, firstToken time.Duration) {
	if utilization > shrinkUse || firstToken > slowFirstToken {
		p.factor = max(minFactor, p.factor*shrinkStep)
		return
	}
	if utilization > growUse || firstToken > fastFirstToken {
		return
	}
	if p.saturated {
		p.factor = min(maxFactor, p.factor+max(growStep, idleGrowStep*(growUse-utilization)))
	} else if p.factor < 1 {
		p.factor = min(1, p.factor+growStep)
	}
}

// slotAvailable reports whether a call may take a slot. It reserves slots for expected
// calls of higher classes, and for smaller workspaces if the call's own asks for more
// than an equal share: with few slots the next release comes too late for a call that
// finds all of them taken (A7).
func (p *pool) slotAvailable(now time.Time, w *waiter) bool {
	if p.running == 0 {
		return true
	}
	higher := p.higherPriority(now, w.class)
	reserve := higher.reserve(p.limit)
	equal := max(0, p.limit-higher.mean) / float64(max(1, w.class.active()))
	if w.flow.mean(now, p.slotTime) > equal {
		smaller := expectedLoad{}
		for _, f := range w.class.flows {
			if mean := f.mean(now, p.slotTime); f != w.flow && mean <= equal {
				smaller.add(mean, f.running)
			}
		}
		reserve += smaller.reserve(p.limit - higher.mean)
	}
	return float64(p.running)+1 <= p.limit-reserve
}

// higherPriority sums the expected load of the classes of higher priority.
func (p *pool) higherPriority(now time.Time, c *class) expectedLoad {
	e := expectedLoad{}
	for _, higher := range p.classes {
		if higher.priority <= c.priority {
			break
		}
		e.add(higher.arrivals.rate(now)*p.slotTime, higher.running)
	}
	return e
}

// expectedLoad is the expected and the current number of calls in flight of some
// classes or workspaces.
type expectedLoad struct {
	mean    float64
	running int
}

func (e *expectedLoad) add(mean float64, running int) {
	e.mean += mean
	e.running += running
}

// reserve returns how many of a number of slots to reserve. The margin for variance is
// at most half of what the mean leaves: otherwise, with few slots, lower priorities
// would never be served, however idle the higher ones are.
func (e *expectedLoad) reserve(slots float64) float64 {
	margin := min(reserveDeviations*math.Sqrt(e.mean), max(0, slots-e.mean)/2)
	return max(0, e.mean+margin-float64(e.running))
}

// noneAhead reports whether no waiting call goes before a new one of the class.
func (p *pool) noneAhead(c *class) bool {
	for _, other := range p.classes {
		if other.priority >= c.priority && other.waiting > 0 {
			return false
		}
	}
	return true
}

// acquire gives a slot to a call.
func (p *pool) acquire(now time.Time, w *waiter) {
	p.running++
	p.startSum += now.Sub(p.base).Seconds()
	w.startedAt = now
	w.class.running++
	w.flow.running++
}

// release takes the slot of a call back and updates the mean slot time.
func (p *pool) release(now time.Time, w *waiter) {
	p.running--
	w.class.running--
	w.flow.running--
	p.startSum -= w.startedAt.Sub(p.base).Seconds()
	if p.running == 0 {
		p.startSum = 0
	}
	p.slotTime += slotTimeWeight * (now.Sub(w.startedAt).Seconds() - p.slotTime)
}

// slotRate returns the slots released per second while all are taken. If calls stop
// ending, their age exceeds the measured slot time and the rate falls, before a single
// one has ended (A9).
func (p *pool) slotRate(now time.Time) float64 {
	slotTime := max(p.slotTime, 0.01)
	if p.running > 0 {
		age := now.Sub(p.base).Seconds() - p.startSum/float64(p.running)
		slotTime = max(slotTime, age)
	}
	return p.limit / slotTime
}

// wait estimates how long a call waits with the given number of calls ahead of it in
// a class.
func (p *pool) wait(now time.Time, c *class, ahead int) time.Duration {
	slotRate := p.slotRate(now)
	remaining := slotRate
	for _, higher := range p.classes {
		if higher.priority <= c.priority {
			break
		}
		remaining -= higher.arrivals.rate(now)
	}
	remaining = max(remaining, minRateFraction*slotRate)
	return seconds(float64(ahead+1) / remaining)
}

// ahead counts the calls that would be served before a tagged call.
func (p *pool) ahead(w *waiter) int {
	n := 0
	for _, c := range p.classes {
		if c.priority < w.class.priority {
			break
		}
		if c != w.class {
			n += c.waiting
			continue
		}
		for _, f := range c.flows {
			for _, other := range f.queue {
				if !servedBefore(other, w) {
					break
				}
				n++
			}
		}
	}
	return n
}

// firstToken returns the usual time from the start of a call to its first token.
func (p *pool) firstToken() time.Duration {
	if p.capacity.FirstToken > 0 {
		return p.capacity.FirstToken
	}
	return defaultFirstToken
}

// missesDeadline reports whether a call that waits for the given time misses its
// deadline for the first token.
func (p *pool) missesDeadline(now time.Time, w *waiter, wait time.Duration) bool {
	by := w.request.FirstTokenBy
	if by.IsZero() {
		return false
	}
	// A measured time above the whole allowance must not refuse every waiting call:
	// capped at half the allowance, it lets some through, so that it can improve.
	firstToken := min(firstTokenMargin*p.firstToken(), by.Sub(w.request.Received)/2)
	return now.Add(wait + firstToken).After(by)
}

// prune removes priorities and workspaces without calls; the manifest may no longer
// contain them.
func (p *pool) prune() {
	p.classes = slices.DeleteFunc(p.classes, func(c *class) bool { return c.waiting == 0 && c.running == 0 })
	for _, c := range p.classes {
		for name, f := range c.flows {
			if len(f.queue) == 0 && f.running == 0 {
				delete(c.flows, name)
			}
		}
	}
}

// next returns the call to be served next, or nil if none waits.
func (p *pool) next() *waiter {
	for _, c := range p.classes {
		if c.waiting > 0 {
			return c.head()
		}
	}
	return nil
}

// victim returns the call that a new call may replace in a full queue, or nil (A8).
func (p *pool) victim(w *waiter) *waiter {
	for i := len(p.classes) - 1; i >= 0; i-- {
		c := p.classes[i]
		if c.priority > w.class.priority {
			return nil
		}
		if c.waiting == 0 {
			continue
		}
		v := c.evictionCandidate()
		if c.priority == w.class.priority && len(v.flow.queue) <= len(w.flow.queue)+1 {
			return nil
		}
		return v
	}
	return nil
}

// ordered returns the waiting calls in the order in which they will be served.
func (p *pool) ordered() []*waiter {
	all := make([]*waiter, 0, p.waiting)
	for _, c := range p.classes {
		from := len(all)
		for _, f := range c.flows {
			all = append(all, f.queue...)
		}
		slices.SortFunc(all[from:], func(a, b *waiter) int {
			if servedBefore(a, b) {
				return -1
			}
			if servedBefore(b, a) {
				return 1
			}
			return 0
		})
	}
	return all
}
