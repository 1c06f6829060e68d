package admitter

import (
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// defaultHold is the time that a call is taken to hold its slot before any
	// call has been measured.
	defaultSlotTime = 5 * time.Second
	// holdWeight is the weight of one call in the moving average.
	slotTimeWeight = 0.1
	// defaultFirstToken is the time to the first token before the node has
	// measured it.
	defaultFirstToken = 200 * time.Millisecond
	// reviewInterval is the time between two looks at the waiting calls (A9).
	reviewInterval = 25 * time.Millisecond
	// adaptInterval is the least time between two steps of the slot limit.
	adaptInterval = 500 * time.Millisecond
	// Steps and bounds of the slot limit, as factors of the node's part (A6).
	// roomStep times the free part is the step up while much is free: the nodes
	// of a cut-off zone hold a part of all slots, though no other node can reach
	// the engines there.
	idleGrowStep         = 0.3
	shrinkStep, growStep = 0.97, 0.03
	minFactor, maxFactor = 0.3, 4.0
	shrinkUse, growUse   = 1.0, 0.97
	// slowFirstToken is the usual time to the first token from which the engines
	// are short of prefill, however many slots are free; half of what is
	// promised, so that most calls still keep the promise.
	slowFirstToken = 420 * time.Millisecond
	fastFirstToken = 300 * time.Millisecond
	// firstTokenMargin covers calls whose first token takes longer than usual. A
	// call that is let in and comes too late has cost a slot for nothing.
	firstTokenMargin = 2
	// reserveDeviations is how far above the mean number of calls of higher
	// priorities room is left for them, in standard deviations.
	reserveDeviations = 2.5
	minRateFraction   = 0.05
	classWindow       = 10 * time.Second
	defaultMaxWaiting = 256
	// retrySpread is the part by which times to come back differ; retryParts and
	// retryStride walk through the differences.
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
	// factor adapts the node's part (A6).
	factor float64
	// part is the node's part of the slots, before adaptation.
	nodeSlots float64
	adaptedAt time.Time
	// short is set when a call found no slot since the last step.
	saturated bool
	// limit is the number of calls that the node lets run; at least 1, so that
	// the router can say why a model is not served.
	limit   float64
	running int
	// startSum is the sum of the entry times of running calls, in seconds since
	// base, for the mean age.
	startSum float64
	base     time.Time
	slotTime float64
	// classes are sorted by descending priority; they come from the manifest's
	// priorities.
	classes  []*class
	waiting  int
	reviewed time.Time
}

func newPool(now time.Time, model garnetworks.ModelName) *pool {
	return &pool{model: model, factor: 1, limit: minSlotLimit, base: now, slotTime: defaultSlotTime.Seconds()}
}

// class returns the class of a priority.
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

// setCapacity takes the model's capacity and the node's part of it, and adapts
// the factor (A6).
func (p *pool) setCapacity(now time.Time, capacity garnetworks.ModelCapacity, share float64) {
	p.capacity = capacity
	if capacity.Slots > 0 && now.Sub(p.adaptedAt) >= adaptInterval {
		p.adaptedAt = now
		p.adapt(capacity.InUse/float64(capacity.Slots), capacity.FirstToken)
		p.saturated = false
	}
	slots := share * float64(capacity.Slots)
	if p.factor > 1 && slots > p.nodeSlots && p.nodeSlots > 0 {
		// Other nodes reach these groups again, or there are more of them: what was
		// taken beyond the own part must not grow along with it.
		p.factor = max(1, p.factor*p.nodeSlots/slots)
	}
	p.nodeSlots = slots
	p.limit = max(minSlotLimit, p.factor*slots)
}

// adapt takes one step. Engines show that they are short of something by calls
// that wait for a slot, or by first tokens that come late.
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

// free reports whether a call may have a slot. It leaves room for the calls
// that are to be expected of higher classes, and of smaller workspaces if its
// own asks for more than an equal part: a node with few slots has one come free
// every few hundred milliseconds only, too late for a call that finds all of
// them taken (A7).
func (p *pool) slotAvailable(now time.Time, w *waiter) bool {
	if p.running == 0 {
		return true
	}
	higherPriority := p.higherPriority(now, w.class)
	reserve := higherPriority.reserve(p.limit)
	equal := max(0, p.limit-higherPriority.mean) / float64(max(1, w.class.active()))
	if w.flow.mean(now, p.slotTime) > equal {
		below := expectedLoad{}
		for _, f := range w.class.flows {
			if mean := f.mean(now, p.slotTime); f != w.flow && mean <= equal {
				below.add(mean, f.running)
			}
		}
		reserve += below.reserve(p.limit - higherPriority.mean)
	}
	return float64(p.running)+1 <= p.limit-reserve
}

// above sums the classes of higher priority.
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

// expected is the number of calls that some classes or workspaces will have in
// flight, and that they have.
type expectedLoad struct {
	mean    float64
	running int
}

func (e *expectedLoad) add(mean float64, running int) {
	e.mean += mean
	e.running += running
}

// reserve returns the slots to be left free of a number of slots. The room for
// chance is at most half of what the mean leaves: with few slots, lower
// priorities would else never be served, however idle the higher ones are.
func (e *expectedLoad) reserve(slots float64) float64 {
	chance := min(reserveDeviations*math.Sqrt(e.mean), max(0, slots-e.mean)/2)
	return max(0, e.mean+chance-float64(e.running))
}

// first reports whether no call waits that a new one of the class would have to
// let pass.
func (p *pool) noneAhead(c *class) bool {
	for _, other := range p.classes {
		if other.priority >= c.priority && other.waiting > 0 {
			return false
		}
	}
	return true
}

// enter gives a slot to a call.
func (p *pool) acquire(now time.Time, w *waiter) {
	p.running++
	p.startSum += now.Sub(p.base).Seconds()
	w.entered = now
	w.class.running++
	w.flow.running++
}

// leave takes the slot back.
func (p *pool) release(now time.Time, w *waiter) {
	p.running--
	w.class.running--
	w.flow.running--
	p.startSum -= w.entered.Sub(p.base).Seconds()
	if p.running == 0 {
		p.startSum = 0
	}
	p.slotTime += slotTimeWeight * (now.Sub(w.entered).Seconds() - p.slotTime)
}

// rate returns the slots that come free in a second while all are taken. If
// calls stop ending, their age grows above the measured time and the rate falls,
// before a single one has ended (A9).
func (p *pool) slotRate(now time.Time) float64 {
	slotTime := max(p.slotTime, 0.01)
	if p.running > 0 {
		age := now.Sub(p.base).Seconds() - p.startSum/float64(p.running)
		slotTime = max(slotTime, age)
	}
	return p.limit / slotTime
}

// wait estimates how long a call waits that has ahead calls before it in a
// class.
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

// firstToken returns the usual time to the first token once a call runs.
func (p *pool) firstToken() time.Duration {
	if p.capacity.FirstToken > 0 {
		return p.capacity.FirstToken
	}
	return defaultFirstToken
}

// late reports whether a call that waits for the given time misses its first
// token.
func (p *pool) missesDeadline(now time.Time, w *waiter, wait time.Duration) bool {
	by := w.request.FirstTokenBy
	if by.IsZero() {
		return false
	}
	// A measured time above the whole allowance must not refuse each call that
	// waits: with half of it assumed, the engines get the chance to do better.
	firstToken := min(firstTokenMargin*p.firstToken(), by.Sub(w.request.Received)/2)
	return now.Add(wait + firstToken).After(by)
}

// prune forgets priorities and workspaces that no call waits for; the manifest
// names others now.
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

// victim returns the call that a newcomer may replace in a full queue, or nil
// (A8).
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
