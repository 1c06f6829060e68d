// Package exchanger tells each node of a site the load that the other nodes put on each group,
// so that the nodes share the groups' capacity without a common queue.
//
//	X1  Nodes form cells: the nodes of an availability zone, or of the whole region
//	    if it has few. The head of a cell is its first node in order of preference.
//	    Nodes report to the head of their cell, and heads exchange the sums over
//	    their cells. So per interval a node sends one message, and a head one more
//	    for each cell.
//	X2  A report is valid for ReportAge. After that, a node that is disconnected or
//	    gone no longer counts.
//	X3  A node that gets no responses uses the last sums for StaleAfter, and then
//	    reports that the load of the others is unknown.
//	X4  Suspicions of groups are sent with the reports, once by each node, so that
//	    the lease holder learns of groups to which it has no calls itself.
//	X5  Records of calls under which servers ended are sent with the reports while
//	    they are new. All retained records are sent if the checksums of two nodes
//	    differ, as after a partition or a start.
//	X6  Groups that the lease holder knows to be lost are sent with its reports, so
//	    that no node has to find each of them by calls of its own. The reports also
//	    name the holder, so that nodes can ask it without a call to the object API.
//	X7  Limits that servers name to a node are sent with its reports, and the sums over
//	    them, for a short time. Nodes that learned of them from a report don't send them.
//	X8  A node that has just become head of its cell, since it or another head has
//	    started or ended, has no reports of most nodes. It says that its sum is partial
//	    until it can have all of them and the other cells' sums, or responds with the
//	    last complete sum of another head and its age, which no node passes on again.
//	    A node that gets no new complete sum reports to another node of the cell as
//	    well, and uses its last one (X3). A head with a complete sum remains until the
//	    new one has one, and no partial sum replaces the complete one of a cell.
//	X9  A node that has just started exchanges as soon as it knows another node, and
//	    takes over what the first node with a complete sum has observed of the models.
//	    It asks at most maxAsked nodes that respond in an interval, in order of preference, so that a
//	    node is asked only by the nodes of its cell when all start at once.
package exchanger

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/leaser"
)

const (
	// Interval is the time between two reports of a node. It is short compared with the
	// typical duration of a model call.
	Interval = 150 * time.Millisecond
	// ReportAge is how long a report is valid (X2). It is long enough for a few reports to be
	// lost.
	ReportAge = time.Second
	// StaleAfter is how long sums are used without a newer response (X3).
	StaleAfter = time.Second
	// callTimeout limits the time of one exchange.
	callTimeout = 250 * time.Millisecond
	// MinNodesPerZone is the average number of nodes per zone below which the whole region is
	// one cell, since one head can serve its few nodes.
	MinNodesPerZone = 8
	// retryDelay is how long a node that did not respond is not called.
	retryDelay = time.Second
	// startInterval is the interval at which a starting node looks whether it knows others (X9).
	startInterval = 20 * time.Millisecond
	// maxAsked limits the nodes with partial sums that a node reports to in an interval (X8).
	maxAsked = 2
	// settleTime is how long after it became head a node can have a report of each node that does
	// not know of another head; handoverTime is the same while another head responds, which those
	// nodes report to that have just found this one unresponsive.
	settleTime   = 2 * Interval
	handoverTime = callTimeout + retryDelay + Interval
	// headAbsentAfter is how long after its last response another head counts as responding: one
	// interval, and one call that it didn't answer.
	headAbsentAfter = callTimeout + 2*Interval
	// maxSuspects limits the suspicions in a report, maxLost the lost groups: enough for the
	// failure of a large fabric domain or a few small ones.
	maxSuspects = 16
	maxLost     = 128
	// maxLimits limits the limits of servers in a sum.
	maxLimits = 256
	// fullSyncInterval is the minimum time between two messages to a peer with all retained
	// records (X5). Checksums differ for a few intervals while new records spread.
	fullSyncInterval = time.Second
	// maxDiffering limits the peers in Exchanger.differing, some of which may be gone.
	maxDiffering = 1024
)

// Cells returns all cells of the site that the node knows of by name, each with its nodes in order
// of preference (X1). The node itself is among them.
func Cells(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) map[string][]garnetworks.NodeInfo {
	regions := regionSizes(self, peers)
	cells := make(map[string][]garnetworks.NodeInfo)
	for _, n := range append([]garnetworks.NodeInfo{self}, peers...) {
		name := cellName(n, regions)
		cells[name] = append(cells[name], n)
	}
	for name, nodes := range cells {
		cells[name] = leaser.RankNodes(name, nodes)
	}
	return cells
}

// headsOf returns the heads of all cells of the node's region, in order of preference.
func headsOf(self garnetworks.NodeInfo, cells map[string][]garnetworks.NodeInfo) []garnetworks.NodeInfo {
	var heads []garnetworks.NodeInfo
	for _, nodes := range cells {
		if nodes[0].Region == self.Region {
			heads = append(heads, nodes[0])
		}
	}
	return leaser.RankNodes("region/"+string(self.Region), heads)
}

// Upstream lists the nodes that a node asks for the contents of the object API.
type Upstream struct {
	// Relays are the addresses of the nodes to ask first, in order.
	Relays []string
	// Near and Far are the addresses of the other nodes of the cell, and of the heads of the
	// region's other cells: those of the node's own availability zone, and the rest.
	Near, Far []string
	// MultipleCells says that the region has several cells, so that data from its reader passes
	// through two nodes.
	MultipleCells bool
}

// maxRelays limits the relays. A node that reaches none of them reads the object API itself.
const maxRelays = 2

// FindUpstream returns as relays the nodes before this one in its cell or, for the head of a
// cell, those before it among the heads of the region. So one node reads the object API for
// a region.
func FindUpstream(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) Upstream {
	return NewTopology(self, peers).Upstream
}

func findUpstream(self garnetworks.NodeInfo, cell, heads []garnetworks.NodeInfo) Upstream {
	relays := addressesBefore(self, cell)
	if len(relays) == 0 {
		relays = addressesBefore(self, heads)
	}
	u := Upstream{Relays: relays, MultipleCells: len(heads) > 1}
	u.Near, u.Far = fallbackAddresses(self, relays, cell, heads)
	return u
}

// fallbackAddresses returns the addresses in lists without duplicates, self and relays, by
// whether they are in the zone of self.
func fallbackAddresses(self garnetworks.NodeInfo, relays []string, lists ...[]garnetworks.NodeInfo) (near, far []string) {
	seen := garnetworks.NewSet(append([]string{self.Address}, relays...)...)
	for _, n := range slices.Concat(lists...) {
		switch {
		case seen.Has(n.Address):
			continue
		case n.Zone == self.Zone:
			near = append(near, n.Address)
		default:
			far = append(far, n.Address)
		}
		seen.Add(n.Address)
	}
	return near, far
}

// addressesBefore returns the addresses of the nodes before self, at most maxRelays.
func addressesBefore(self garnetworks.NodeInfo, nodes []garnetworks.NodeInfo) []string {
	var addresses []string
	for _, n := range nodes {
		if n.ID == self.ID || len(addresses) == maxRelays {
			break
		}
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// regionSize counts the nodes and zones of a region.
type regionSize struct {
	nodes int
	zones garnetworks.Set[garnetworks.ZoneID]
}

func regionSizes(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) map[garnetworks.RegionID]*regionSize {
	regions := make(map[garnetworks.RegionID]*regionSize)
	for _, n := range append([]garnetworks.NodeInfo{self}, peers...) {
		r := regions[n.Region]
		if r == nil {
			r = &regionSize{zones: garnetworks.NewSet[garnetworks.ZoneID]()}
			regions[n.Region] = r
		}
		r.nodes++
		r.zones.Add(n.Zone)
	}
	return regions
}

// cellName returns the cell of the node: its zone, or its region if the zones are small.
func cellName(n garnetworks.NodeInfo, regions map[garnetworks.RegionID]*regionSize) string {
	if r := regions[n.Region]; r.nodes < MinNodesPerZone*len(r.zones) {
		return "region/" + string(n.Region)
	}
	return "zone/" + string(n.Zone)
}

// receivedReport is the last report of another node or cell.
type receivedReport struct {
	report garnetworks.LoadReport
	at     time.Time
	// partial says that a cell's sum is partial (X8).
	partial bool
}

// Options are the dependencies of an Exchanger.
type Options struct {
	Peers garnetworks.ExchangeCaller
	// Self returns the node itself, Nodes the other nodes of the site.
	Self  func() garnetworks.NodeInfo
	Nodes func() []garnetworks.NodeInfo
	// Load returns the node's own report.
	Load func() garnetworks.LoadReport
	// SetPeerLoad receives the sum over all other nodes; known is false if their load is
	// unknown (X3).
	SetPeerLoad func(others garnetworks.LoadReport, known bool)
	// Suspect receives the groups that other nodes suspect.
	Suspect func(garnetworks.GroupID)
	// Contents holds the node's content records; it may be nil.
	Contents garnetworks.ContentRecordStore
	// Observations returns what the node has observed of models, and TakeOver receives those of
	// the node at an address after a start (X9); they may be nil.
	Observations func() garnetworks.Observations
	TakeOver     func(address string, observations garnetworks.Observations)
}

// Exchanger exchanges load reports with other nodes. It is safe for concurrent use.
type Exchanger struct {
	options Options

	mu sync.Mutex
	// nodes and cells hold the last reports of other nodes and cells.
	nodes, cells map[string]receivedReport
	// suspects are the node's own suspicions not yet sent; seenSuspects are those of other
	// nodes with the time at which they were last passed on.
	suspects     []garnetworks.GroupID
	seenSuspects map[garnetworks.GroupID]time.Time
	lastResponse time.Time
	// lastSum is the last complete sum, as of lastComplete; passable says that the node got it
	// from the head that computed it. receivedAt is when it was received or computed, and
	// completeResponse when another head last responded with one.
	lastComplete, receivedAt, completeResponse time.Time
	lastSum                                    garnetworks.LoadReport
	passable                                   bool
	// headSince is when the node began to act as head, or other nodes to report to it; headActive
	// is when it last did or they last did. cellsKnown is when its last exchange with the other
	// cells ended.
	headSince, headActive, cellsKnown time.Time
	// started says that the node has taken over observations, or found that there are none.
	started bool
	// lastExchangeAsHead is when the node last began an exchange as head of its cell.
	lastExchangeAsHead time.Time
	failedUntil        map[string]time.Time
	wake               chan struct{}
	topology           topologyCache
	total              total
	// differing maps the nodes and cells whose checksum of records differs to the time at which
	// all records were last sent to them; zero if they were not.
	differing map[string]time.Time
}

// New returns an Exchanger; Run starts its work.
func New(options Options) *Exchanger {
	return &Exchanger{
		options: options, nodes: make(map[string]receivedReport), cells: make(map[string]receivedReport),
		seenSuspects: make(map[garnetworks.GroupID]time.Time), failedUntil: make(map[string]time.Time), differing: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
}

// Suspect sends the suspicion that a group has stalled to the other nodes without delay.
func (e *Exchanger) Suspect(group garnetworks.GroupID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.suspects, group) || len(e.suspects) >= maxSuspects {
		return
	}
	e.suspects = append(e.suspects, group)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Topology returns the cells of the nodes that are known now.
func (e *Exchanger) Topology() *Topology {
	return e.topology.get(e.options.Self(), e.options.Nodes())
}

// Run exchanges reports until ctx ends.
func (e *Exchanger) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	first := time.NewTicker(startInterval)
	defer first.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.wake:
		case <-first.C:
			if len(e.options.Nodes()) == 0 {
				continue
			}
			first.Stop()
			ticker.Reset(Interval)
		}
		e.exchange(ctx)
	}
}

// exchange sends a report to the head of the cell, or exchanges sums with the other cells if
// this node acts as head. While the heads have partial sums, it looks for a complete one (X8).
func (e *Exchanger) exchange(ctx context.Context) {
	topology := e.Topology()
	self := topology.Self
	own := e.options.Load()
	e.mu.Lock()
	own.Suspects, e.suspects = e.suspects, nil
	e.mu.Unlock()
	own.Nodes = 1
	asked, head := 0, false
	for _, n := range e.reachable(topology.Cell) {
		switch {
		case n.ID == self.ID:
			if e.settled(time.Now()) || len(topology.Cell) == 1 {
				e.exchangeAsHead(ctx, topology, own)
				return
			}
			head = asked == 0
			continue
		case asked == maxAsked:
			continue
		}
		responded, complete := e.sendReport(ctx, n, string(self.ID), own)
		if complete {
			e.passOn()
			return
		}
		switch {
		case responded:
			asked++
		case head || asked > 0:
			// A search for a complete sum takes the time of one unanswered call at most.
			asked = maxAsked
		}
	}
	if head {
		e.exchangeAsHead(ctx, topology, own)
		return
	}
	e.passOn()
}

// settled reports whether the node has been head of its cell for long enough to have all reports
// (X8).
func (e *Exchanger) settled(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settledLocked(now)
}

// settledLocked implements settled; e.mu is held.
func (e *Exchanger) settledLocked(now time.Time) bool {
	required := settleTime
	if now.Sub(e.completeResponse) < headAbsentAfter {
		required = handoverTime
	}
	return now.Sub(e.headActive) <= ReportAge && now.Sub(e.headSince) >= required
}

// partial reports whether the node's sum is partial (X8).
func (e *Exchanger) partial(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.settledLocked(now) || now.Sub(e.cellsKnown) > ReportAge
}

// actAsHead records that the node acts as head, or that another node takes it for one.
func (e *Exchanger) actAsHead(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.headActive) > ReportAge {
		e.headSince = now
	}
	e.headActive = now
}

// reachable returns the nodes to which no call has failed recently.
func (e *Exchanger) reachable(nodes []garnetworks.NodeInfo) []garnetworks.NodeInfo {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(nodes), func(n garnetworks.NodeInfo) bool {
		return now.Before(e.failedUntil[n.Address])
	})
}

// call sends a report to a node and reports whether it responded. After a failure the node
// counts as unreachable for retryDelay.
func (e *Exchanger) call(ctx context.Context, n garnetworks.NodeInfo, from string, cell bool, report garnetworks.LoadReport) (*garnetworks.ExchangeResponse, bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &garnetworks.ExchangeRequest{From: from, Cell: cell, Report: report, Partial: cell && !e.settled(time.Now()), Starting: !cell && e.starting()}
	request.ContentRecords, request.ContentChecksum = e.recordsFor(n.Address)
	response, err := e.options.Peers.Exchange(callCtx, n.Address, request)
	if err == nil {
		e.mergeRecords(n.Address, response.ContentRecords, response.ContentChecksum)
		return response, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failedUntil[n.Address] = time.Now().Add(retryDelay)
	return nil, false
}

// sendReport reports whether the node responded, and whether it is a head with a complete sum.
func (e *Exchanger) sendReport(ctx context.Context, n garnetworks.NodeInfo, from string, own garnetworks.LoadReport) (responded, complete bool) {
	response, ok := e.call(ctx, n, from, false, own)
	if !ok {
		return false, false
	}
	now := time.Now()
	complete = !response.Partial && response.AgeMS == 0
	e.mu.Lock()
	e.lastResponse = now
	if at := now.Add(-time.Duration(response.AgeMS) * time.Millisecond); !response.Partial && at.After(e.lastComplete) {
		e.lastComplete, e.receivedAt, e.lastSum, e.passable = at, now, response.Report, complete
	}
	if complete {
		e.completeResponse = now
	}
	e.mu.Unlock()
	if !response.Partial {
		e.takeOver(n.Address, response.Observations)
	}
	e.notifySuspects(now, response.Report.Suspects)
	return true, complete
}

// lastSumFor returns the last complete sum of another head without the load of a node that reports
// to this one, and its age, if the node may pass it on (X8).
func (e *Exchanger) lastSumFor(now time.Time, own garnetworks.LoadReport, from *garnetworks.LoadReport) (sum garnetworks.LoadReport, age time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	age = now.Sub(e.lastComplete)
	if !e.passable || age > StaleAfter {
		return garnetworks.LoadReport{}, 0, false
	}
	return subtract(Sum(aged(e.lastSum, now.Sub(e.receivedAt)), own), *from), age, true
}

// aged returns a sum that was received before, with the ages that its limits have now.
func aged(sum garnetworks.LoadReport, age time.Duration) garnetworks.LoadReport {
	sum.Limits = slices.Clone(sum.Limits)
	for i := range sum.Limits {
		sum.Limits[i].AgeMS += age.Milliseconds()
	}
	return sum
}

// starting reports whether the node has yet to take over what another node has observed (X9).
func (e *Exchanger) starting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.started
}

// takeOver passes on the observations of the first node with a complete sum (X9).
func (e *Exchanger) takeOver(address string, observations garnetworks.Observations) {
	e.mu.Lock()
	first := !e.started
	e.started = true
	e.mu.Unlock()
	if first && e.options.TakeOver != nil {
		e.options.TakeOver(address, observations)
	}
}

// exchangeAsHead exchanges the sum over the node's cell for those of the other cells.
func (e *Exchanger) exchangeAsHead(ctx context.Context, topology *Topology, own garnetworks.LoadReport) {
	self, name := topology.Self, topology.Name
	e.actAsHead(time.Now())
	e.mu.Lock()
	e.lastExchangeAsHead = time.Now()
	e.mu.Unlock()
	var calls sync.WaitGroup
	sum := Sum(append(e.validReports(&e.nodes, string(self.ID)), own)...)
	for other, nodes := range topology.Cells {
		reachable := e.reachable(nodes)
		if other == name || len(reachable) == 0 {
			continue
		}
		calls.Go(func() {
			if response, ok := e.call(ctx, reachable[0], name, true, sum); ok {
				e.storeCell(other, response.Report, response.Partial)
			}
		})
	}
	calls.Wait()
	others := append(e.validReports(&e.nodes, string(self.ID)), e.validReports(&e.cells, name)...)
	sum, now := Sum(others...), time.Now()
	e.mu.Lock()
	e.cellsKnown, e.lastResponse = now, now
	// A node that knows no other has no node to wait for.
	if e.settledLocked(now) || len(topology.Cells) == 1 && len(topology.Cell) == 1 {
		e.lastComplete, e.receivedAt, e.lastSum, e.passable = now, now, sum, false
	}
	e.mu.Unlock()
	e.notifySuspects(now, sum.Suspects)
	e.passOn()
}

// passOn passes on the last complete sum, or that the load is unknown once it is stale (X3). An
// older sum is passed on again so that the node gets its part of the free slots meanwhile.
func (e *Exchanger) passOn() {
	now := time.Now()
	e.mu.Lock()
	sum, known := aged(e.lastSum, now.Sub(e.receivedAt)), now.Sub(e.lastComplete) <= StaleAfter
	e.mu.Unlock()
	if !known {
		sum = garnetworks.LoadReport{}
	}
	e.options.SetPeerLoad(sum, known)
}

// notifySuspects passes on the suspicions that were not passed on within ReportAge.
func (e *Exchanger) notifySuspects(now time.Time, groups []garnetworks.GroupID) {
	for _, g := range groups {
		e.mu.Lock()
		seen := now.Sub(e.seenSuspects[g]) < ReportAge
		if !seen {
			e.seenSuspects[g] = now
		}
		if len(e.seenSuspects) > maxSuspects*maxSuspects {
			clear(e.seenSuspects)
		}
		e.mu.Unlock()
		if !seen {
			e.options.Suspect(g)
		}
	}
}

// Exchange implements garnetworks.ExchangeHandler.
func (e *Exchanger) Exchange(_ context.Context, request *garnetworks.ExchangeRequest) (*garnetworks.ExchangeResponse, error) {
	if request.From == "" {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "a report names nobody")
	}
	e.notifySuspects(time.Now(), request.Report.Suspects)
	e.mergeRecords(request.From, request.ContentRecords, request.ContentChecksum)
	response := &garnetworks.ExchangeResponse{}
	response.ContentRecords, response.ContentChecksum = e.recordsFor(request.From)
	own := e.options.Load()
	own.Nodes, own.Suspects = 1, e.recentSuspects()
	now := time.Now()
	response.Partial = e.partial(now)
	if request.Cell {
		e.storeCell(request.From, request.Report, request.Partial)
		response.Report = Sum(append(e.validReports(&e.nodes, ""), own)...)
		return response, nil
	}
	e.actAsHead(now)
	e.storeReport(request.From, request.Report)
	response.Report = e.sumWithout(now, request.From, own)
	if response.Partial {
		if sum, age, ok := e.lastSumFor(now, own, &request.Report); ok {
			// Rounded up, so that the age is never understated.
			response.Report, response.Partial, response.AgeMS = sum, false, age.Milliseconds()+1
		}
	}
	if request.Starting && !response.Partial && e.options.Observations != nil {
		response.Observations = e.options.Observations()
	}
	return response, nil
}

// recentSuspects returns the groups whose suspicion was passed on within half of ReportAge, so
// that each node of the cell learns of them with its next report.
func (e *Exchanger) recentSuspects() []garnetworks.GroupID {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var groups []garnetworks.GroupID
	for g, at := range e.seenSuspects {
		if now.Sub(at) < ReportAge/2 && len(groups) < maxSuspects {
			groups = append(groups, g)
		}
	}
	return groups
}

func (e *Exchanger) storeReport(from string, report garnetworks.LoadReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes[from] = receivedReport{report: report, at: time.Now()}
}

// storeCell stores the sum of a cell. A partial one replaces no valid complete one (X8).
func (e *Exchanger) storeCell(name string, report garnetworks.LoadReport, partial bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.cells[name]; ok && partial && !old.partial && now.Sub(old.at) <= ReportAge {
		return
	}
	e.cells[name] = receivedReport{report, now, partial}
}

// validReports returns the valid reports other than that from except, and deletes expired ones.
func (e *Exchanger) validReports(stored *map[string]receivedReport, except string) []garnetworks.LoadReport {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []garnetworks.LoadReport
	for from, r := range *stored {
		switch {
		case now.Sub(r.at) > ReportAge: // rule X2
			delete(*stored, from)
		case from != except:
			list = append(list, r.report)
		}
	}
	return list
}

// appendUnique appends the groups that list does not contain, up to limit groups in all.
func appendUnique(list, more []garnetworks.GroupID, limit int) []garnetworks.GroupID {
	for _, g := range more {
		if len(list) < limit && !slices.Contains(list, g) {
			list = append(list, g)
		}
	}
	return list
}

// newestLimits returns the newest limit of each server, up to maxLimits of the newest ones. It
// reorders list.
func newestLimits(list []garnetworks.ServerLimit) []garnetworks.ServerLimit {
	slices.SortFunc(list, func(a, b garnetworks.ServerLimit) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), a.Incarnation().Compare(b.Incarnation()))
	})
	seen := make(garnetworks.Set[garnetworks.Incarnation], len(list))
	newest := list[:0]
	for _, l := range list {
		if !seen.Has(l.Incarnation()) && len(newest) < maxLimits {
			seen.Add(l.Incarnation())
			newest = append(newest, l)
		}
	}
	return newest
}

// Sum adds up reports.
func Sum(reports ...garnetworks.LoadReport) garnetworks.LoadReport {
	groups := make(map[garnetworks.GroupID]garnetworks.GroupLoad)
	demands := make(map[garnetworks.ModelName]garnetworks.ModelDemand)
	sum := garnetworks.LoadReport{}
	var limits []garnetworks.ServerLimit
	for _, r := range reports {
		sum.Nodes += r.Nodes
		for _, g := range r.Groups {
			g.Running += groups[g.Group].Running
			g.ActiveNodes += groups[g.Group].ActiveNodes
			g.PrefillTokens += groups[g.Group].PrefillTokens
			groups[g.Group] = g
		}
		for _, d := range r.Demands {
			total := demands[d.Model]
			total.Model, total.CallsPerSecond = d.Model, total.CallsPerSecond+d.CallsPerSecond
			total.Outcomes.Add(&d.Outcomes, 1)
			demands[d.Model] = total
		}
		sum.Suspects = appendUnique(sum.Suspects, r.Suspects, maxSuspects)
		sum.Lost = appendUnique(sum.Lost, r.Lost, maxLost)
		limits = append(limits, r.Limits...)
		if r.LeaseTerm > sum.LeaseTerm { // X6
			sum.LeaseHolder, sum.LeaseTerm = r.LeaseHolder, r.LeaseTerm
		}
	}
	sum.Limits = newestLimits(limits)
	for _, g := range groups {
		sum.Groups = append(sum.Groups, g)
	}
	for _, d := range demands {
		sum.Demands = append(sum.Demands, d)
	}
	return sum
}
