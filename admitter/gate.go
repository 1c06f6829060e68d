package admitter

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// anyModel is the pool of calls that use tokens and don't name their model; they
// share the capacity of all models.
const anyModel garnetworks.ModelName = ""

// Options configure an admitter.
type Options struct {
	Node garnetworks.NodeID
	// MaxWaiting bounds the waiting calls of one model; 0 means 256.
	MaxWaiting int
}

// gate holds the state of an Admitter and makes its decisions. It does no I/O and no
// locking; waiting calls that were decided are appended to decided.
type gate struct {
	options    Options
	workspaces map[garnetworks.WorkspaceName]*workspace
	pools      map[garnetworks.ModelName]*pool
	// nodes is the number of nodes on the rosters, this one included.
	nodes int
	// slotShare is the node's share of the serving capacity, 0 to 1.
	slotShare float64
	// tableAt is when the share table in use was received; zero if none is.
	tableAt time.Time
	stopped bool
	decided []*waiter
	counts  Counts
	// refusals counts refusals, to vary their RetryAfter.
	refusals uint64
}

// Counts are the numbers of decisions since the start.
type Counts struct {
	Admitted   uint64
	OverLimit  uint64
	Overloaded uint64
	Deadline   uint64
	Cancelled  uint64
	// Waiting and Running are current numbers.
	Waiting, Running int
}

func newGate(options Options) *gate {
	if options.MaxWaiting <= 0 {
		options.MaxWaiting = defaultMaxWaiting
	}
	return &gate{
		options:    options,
		workspaces: map[garnetworks.WorkspaceName]*workspace{},
		pools:      map[garnetworks.ModelName]*pool{},
		nodes:      1,
		slotShare:  1,
	}
}

// setManifest applies workspaces, limits and models. Calls in flight stay charged to
// the workspace and pool they were admitted with.
func (g *gate) setManifest(now time.Time, m *garnetworks.Manifest) {
	kept := make(map[garnetworks.WorkspaceName]*workspace, len(m.Workspaces))
	for _, spec := range m.Workspaces {
		w := g.workspaces[spec.Name]
		if w == nil {
			w = newWorkspace()
			w.share = g.equalShare()
		}
		w.spec = spec
		w.applyPending(now)
		w.apply(now)
		kept[spec.Name] = w
	}
	g.workspaces = kept
	pools := make(map[garnetworks.ModelName]*pool, len(m.Models)+1)
	keep := func(name garnetworks.ModelName) {
		p := g.pools[name]
		if p == nil {
			p = newPool(now, name)
		}
		p.prune()
		pools[name] = p
	}
	keep(anyModel)
	for _, spec := range m.Models {
		keep(spec.Name)
	}
	for name, p := range g.pools {
		if pools[name] == nil {
			g.refuseAll(now, p)
		}
	}
	g.pools = pools
}

// refuseAll refuses the waiting calls of a model that is no longer served.
func (g *gate) refuseAll(now time.Time, p *pool) {
	for _, w := range p.ordered() {
		g.shed(now, w, garnetworks.Errorf(garnetworks.KindOverloaded, "the model is no longer served"))
	}
}

func (g *gate) equalShare() float64 { return 1 / float64(max(1, g.nodes)) }

func (g *gate) setNodes(now time.Time, nodes int) {
	g.nodes = max(1, nodes)
	if g.tableAt.IsZero() {
		g.useEqualShares(now)
	}
}

// useEqualShares falls back to equal shares (A3).
func (g *gate) useEqualShares(now time.Time) {
	for _, w := range g.workspaces {
		w.relaxed = false
		w.forceShare(now, g.equalShare())
	}
	g.setSlotShare(now, g.equalShare())
}

// setShares applies the node's row of a table (A2).
func (g *gate) setShares(now time.Time, row NodeShare) {
	g.tableAt = now
	for _, s := range row.Workspaces {
		if w := g.workspaces[s.Workspace]; w != nil {
			w.relaxed = s.Utilization < RelaxedUtilization
			w.setShare(now, s.Share)
			w.apply(now)
		}
	}
	g.setSlotShare(now, row.Slots)
}

func (g *gate) setSlotShare(now time.Time, slotShare float64) {
	g.slotShare = slotShare
	for _, p := range g.pools {
		p.setCapacity(now, p.capacity, slotShare)
		g.dispatch(now, p)
	}
}

// expireTable drops a table that is too old (A3).
func (g *gate) expireTable(now time.Time) {
	if g.tableAt.IsZero() || now.Sub(g.tableAt) <= ShareBound {
		return
	}
	g.tableAt = time.Time{}
	g.useEqualShares(now)
}

// setCapacity sets the capacity of all models; models that are missing have none.
func (g *gate) setCapacity(now time.Time, capacities []garnetworks.ModelCapacity) {
	for name, p := range g.pools {
		p.setCapacity(now, capacityOf(name, capacities), g.slotShare)
		g.dispatch(now, p)
	}
}

// capacityOf returns one model's capacity, or the sum for anyModel.
func capacityOf(name garnetworks.ModelName, capacities []garnetworks.ModelCapacity) garnetworks.ModelCapacity {
	sum := garnetworks.ModelCapacity{Model: name}
	for _, c := range capacities {
		if name == anyModel || c.Model == name {
			sum.Slots += c.Slots
			sum.InUse += c.InUse
			sum.FirstToken = max(sum.FirstToken, c.FirstToken)
		}
	}
	return sum
}

// arrive decides on a new call: it is admitted, queued or refused.
func (g *gate) arrive(now time.Time, request garnetworks.AdmitRequest) *waiter {
	g.expireTable(now)
	w := &waiter{request: request}
	if err := g.admissible(now, w); err != nil {
		return g.refuse(w, err)
	}
	w.workspace.charge(now, request.Tokens)
	if w.pool == nil {
		w.state = admitted
		g.counts.Admitted++
		return w
	}
	g.schedule(now, w)
	return w
}

// admissible checks everything but the model's slots.
func (g *gate) admissible(now time.Time, w *waiter) error {
	if g.stopped {
		return garnetworks.Errorf(garnetworks.KindShuttingDown, "the node takes no new calls")
	}
	r := &w.request
	if !r.FirstTokenBy.IsZero() && !now.Before(r.FirstTokenBy) {
		return g.lateError(minOverloadRetry)
	}
	w.workspace = g.workspaces[r.Workspace]
	if w.workspace == nil {
		return garnetworks.Errorf(garnetworks.KindForbidden, "workspace %s is not in the manifest", r.Workspace)
	}
	w.workspace.requestRate.add(now, 1)
	w.workspace.tokenRate.add(now, float64(r.Tokens))
	if r.Model != anyModel || r.Tokens > 0 {
		w.pool = g.pools[r.Model]
		if w.pool == nil {
			return garnetworks.Errorf(garnetworks.KindUnknownModel, "model %s is not in the manifest", r.Model)
		}
	}
	if wait := w.workspace.refusal(now, r.Tokens); wait > 0 {
		return g.retryError(garnetworks.KindOverLimit, wait, "workspace %s is over its limit at this node", r.Workspace)
	}
	return nil
}

// schedule gives the call a slot, queues it or refuses it.
func (g *gate) schedule(now time.Time, w *waiter) {
	p := w.pool
	w.class = p.class(w.request.Priority)
	w.flow = w.class.flow(w.request.Workspace)
	w.class.tag(w)
	w.class.arrivals.add(now, 1)
	w.flow.arrivals.add(now, 1)
	if p.noneAhead(w.class) && p.slotAvailable(now, w) {
		w.class.virtualTime = max(w.class.virtualTime, w.start)
		p.acquire(now, w)
		w.state = admitted
		g.counts.Admitted++
		return
	}
	p.saturated = true
	wait := p.wait(now, w.class, p.ahead(w))
	if p.missesDeadline(now, w, wait) {
		g.reject(now, w, g.lateError(wait))
		return
	}
	if p.waiting >= g.options.MaxWaiting {
		v := p.victim(w)
		if v == nil {
			g.reject(now, w, g.fullError(wait))
			return
		}
		g.shed(now, v, g.fullError(p.wait(now, v.class, p.ahead(v))))
	}
	w.decided = make(chan struct{})
	w.class.push(w)
	p.waiting++
	g.review(now, p, true)
}

func (g *gate) lateError(wait time.Duration) error {
	return g.retryError(garnetworks.KindDeadlineUnreachable, max(wait, minOverloadRetry), "the first token can't come in time")
}

func (g *gate) fullError(wait time.Duration) error {
	return g.retryError(garnetworks.KindOverloaded, max(wait, minOverloadRetry), "the queue is full")
}

// retryError returns a refusal with the time after which to retry. The time varies
// between callers, so that those refused at the same moment don't all retry at once.
func (g *gate) retryError(kind garnetworks.Kind, after time.Duration, format string, args ...any) error {
	err := garnetworks.Errorf(kind, format, args...).(*garnetworks.Error)
	after = min(max(after, minRetryAfter), maxRetryAfter)
	g.refusals++
	step := float64(g.refusals*jitterStride%jitterSteps) / jitterSteps
	err.RetryAfter = after + time.Duration(retryJitter*step*float64(after))
	return err
}

// refuse refuses a call that was not charged.
func (g *gate) refuse(w *waiter, err error) *waiter {
	w.state = refused
	w.err = err
	g.count(err)
	return w
}

// reject refuses a tagged call that was not queued.
func (g *gate) reject(now time.Time, w *waiter, err error) {
	w.flow.finish -= w.cost()
	w.workspace.refund(now, w.request.Tokens)
	g.refuse(w, err)
}

// shed refuses a queued call (A10).
func (g *gate) shed(now time.Time, w *waiter, err error) {
	w.class.remove(w)
	w.pool.waiting--
	w.workspace.refund(now, w.request.Tokens)
	g.refuse(w, err)
	g.decided = append(g.decided, w)
}

func (g *gate) count(err error) {
	switch garnetworks.KindOf(err) {
	case garnetworks.KindOverLimit:
		g.counts.OverLimit++
	case garnetworks.KindOverloaded:
		g.counts.Overloaded++
	case garnetworks.KindDeadlineUnreachable:
		g.counts.Deadline++
	case garnetworks.KindCancelled:
		g.counts.Cancelled++
	}
}

// dispatch gives free slots to waiting calls (A7).
func (g *gate) dispatch(now time.Time, p *pool) {
	for p.waiting > 0 {
		w := p.next()
		if !p.slotAvailable(now, w) {
			return
		}
		if p.missesDeadline(now, w, 0) {
			g.shed(now, w, g.lateError(p.wait(now, w.class, 0)))
			continue
		}
		w.class.dequeue(w)
		p.waiting--
		p.acquire(now, w)
		w.state = admitted
		g.counts.Admitted++
		g.decided = append(g.decided, w)
	}
}

// review refuses the waiting calls that can no longer meet their deadline (A9): calls
// of higher priority came in ahead of them, or slots are released more slowly.
func (g *gate) review(now time.Time, p *pool, force bool) {
	if p.waiting == 0 || !force && now.Sub(p.reviewed) < reviewInterval {
		return
	}
	p.reviewed = now
	ahead := 0
	for _, w := range p.ordered() {
		wait := p.wait(now, w.class, ahead)
		if p.missesDeadline(now, w, wait) {
			g.shed(now, w, g.lateError(wait))
			continue
		}
		ahead++
	}
}

// poll dispatches and reviews a waiting call's queue. Slots reserved for other calls
// become available to waiting ones over time, without any call ending.
func (g *gate) poll(now time.Time, w *waiter) {
	g.expireTable(now)
	if w.state == waiting {
		g.dispatch(now, w.pool)
		g.review(now, w.pool, false)
	}
}

// cancel cancels a waiting call. It returns false if the call was decided already.
func (g *gate) cancel(now time.Time, w *waiter) bool {
	if w.state != waiting {
		return false
	}
	w.class.remove(w)
	w.pool.waiting--
	w.workspace.refund(now, w.request.Tokens)
	g.refuse(w, garnetworks.Errorf(garnetworks.KindCancelled, "the caller cancelled the call while it waited"))
	return true
}

// done ends an admitted call.
func (g *gate) done(now time.Time, w *waiter, tokens int) {
	if w.state != admitted {
		return
	}
	w.state = finished
	w.workspace.finish(now, w.request.Tokens, tokens)
	if w.pool == nil {
		return
	}
	w.pool.release(now, w)
	g.dispatch(now, w.pool)
	g.review(now, w.pool, false)
}

// demands returns the node's demand, sorted by workspace. Workspaces without demand
// are omitted except for the first: a node that reported nothing would count as
// unresponsive, and its equal share would be reserved for it (A3).
func (g *gate) demands(now time.Time) []garnetworks.Demand {
	all := make([]garnetworks.Demand, 0, len(g.workspaces))
	for _, w := range g.workspaces {
		all = append(all, w.demand(now))
	}
	slices.SortFunc(all, func(a, b garnetworks.Demand) int { return cmp.Compare(a.Workspace, b.Workspace) })
	kept := all[:0]
	for i, d := range all {
		if i == 0 || d.InFlight > 0 || d.RequestsPerSecond > minReportedRate {
			kept = append(kept, d)
		}
	}
	return kept
}

// minReportedRate is the rate, in requests per second, below which a workspace is not
// reported.
const minReportedRate = 0.001
