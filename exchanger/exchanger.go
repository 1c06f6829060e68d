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
//	    that no node has to find each of them by calls of its own.
//	X7  Limits that servers name to a node are sent with its reports, and the sums over
//	    them, for a short time. Nodes that learned of them from a report don't send them.
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
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.wake:
		}
		e.exchange(ctx)
	}
}

// exchange sends a report to the head of the cell, or exchanges sums with the other cells if
// this node acts as head.
func (e *Exchanger) exchange(ctx context.Context) {
	topology := e.Topology()
	self := topology.Self
	own := e.options.Load()
	e.mu.Lock()
	own.Suspects, e.suspects = e.suspects, nil
	e.mu.Unlock()
	own.Nodes = 1
	for _, n := range e.reachable(topology.Cell) {
		if n.ID == self.ID {
			e.exchangeAsHead(ctx, topology, own)
			return
		}
		if e.sendReport(ctx, n, string(self.ID), own) {
			return
		}
	}
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
	const retryDelay = time.Second
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := &garnetworks.ExchangeRequest{From: from, Cell: cell, Report: report}
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

func (e *Exchanger) sendReport(ctx context.Context, n garnetworks.NodeInfo, from string, own garnetworks.LoadReport) bool {
	response, ok := e.call(ctx, n, from, false, own)
	if !ok {
		e.setPeerLoad(garnetworks.LoadReport{}, false)
		return false
	}
	e.setPeerLoad(response.Report, true)
	return true
}

// exchangeAsHead exchanges the sum over the node's cell for those of the other cells.
func (e *Exchanger) exchangeAsHead(ctx context.Context, topology *Topology, own garnetworks.LoadReport) {
	self, name := topology.Self, topology.Name
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
				e.storeReport(&e.cells, other, response.Report)
			}
		})
	}
	calls.Wait()
	others := append(e.validReports(&e.nodes, string(self.ID)), e.validReports(&e.cells, name)...)
	e.setPeerLoad(Sum(others...), true)
}

// setPeerLoad passes on the sum over the other nodes, with its suspicions. An unknown load is
// only passed on once the last sum is stale (X3).
func (e *Exchanger) setPeerLoad(others garnetworks.LoadReport, known bool) {
	now := time.Now()
	e.mu.Lock()
	if known {
		e.lastResponse = now
	}
	stale := now.Sub(e.lastResponse) > StaleAfter
	e.mu.Unlock()
	if known || stale {
		e.options.SetPeerLoad(others, known)
	}
	e.notifySuspects(now, others.Suspects)
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
	if request.Cell {
		e.storeReport(&e.cells, request.From, request.Report)
		response.Report = Sum(append(e.validReports(&e.nodes, ""), own)...)
		return response, nil
	}
	e.storeReport(&e.nodes, request.From, request.Report)
	response.Report = e.sumWithout(time.Now(), request.From, own)
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

func (e *Exchanger) storeReport(stored *map[string]receivedReport, from string, report garnetworks.LoadReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	(*stored)[from] = receivedReport{report, time.Now()}
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
