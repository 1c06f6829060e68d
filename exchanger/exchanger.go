// Package exchanger tells each node of a site what the others have at each group,
// so that six nodes or three hundred share the groups' places without a queue of
// their own in common.
//
//	X1  Nodes form cells: the nodes of an availability zone, or of the whole region
//	    where it has few. A node reports to the first node of its cell; the first
//	    nodes of the cells exchange the sums of their cells. So a node sends one
//	    message an interval, and the first one of a cell one more for each cell.
//	X2  A report counts for ReportAge; a node that is cut off or gone then counts
//	    for nothing.
//	X3  Without answers a node goes on with the last sums for StaleAfter, and says
//	    after that that it knows nothing of the others.
//	X4  Suspicions of groups travel with the reports, once from each node, so that
//	    whoever holds the lease hears of a group of which it has no calls itself.
//	X5  Records of calls under which servers ended travel with the reports while they
//	    are new, and all that last where two nodes' sums of them differ: after a
//	    partition, and to a node that has started.
//	X6  Groups that the holder of the lease knows to be lost travel with its reports, so
//	    that no node finds each of them by calls of its own.
package exchanger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/leaser"
)

const (
	// Interval is the time between two reports of a node. A call to a model lasts a
	// second or so, so the sums are old by a fifth of a call.
	Interval = 150 * time.Millisecond
	// ReportAge is how long a report counts (X2): a few lost ones don't make a
	// node's calls vanish.
	ReportAge = time.Second
	// StaleAfter is how long sums are used without a newer answer (X3).
	StaleAfter = time.Second
	// callTime bounds an exchange.
	callTimeout = 250 * time.Millisecond
	// SmallCell is the number of nodes in a zone under which the whole region is
	// one cell: the first node of a cell then serves few others.
	MinNodesPerZone = 8
	// maxSuspects bounds the suspicions in a report, maxLost the lost groups: those of a
	// large domain, or of a few, that went dark.
	maxSuspects = 16
	maxLost     = 128
	// allEvery is the least time between two messages to a node with all records of calls
	// that last (X5): sums differ for some intervals while something new spreads.
	fullSyncInterval = time.Second
	// maxDiffering bounds the names of nodes that differ, of which some are gone; the design
	// size has 330 nodes.
	maxDiffering = 1024
)

// Cell returns the name of the node's cell, and the cell's nodes in order of
// preference (X1). The node itself is among them.
func Cell(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) (string, []garnetworks.NodeInfo) {
	name := cellName(self, regionSizes(self, peers))
	return name, Cells(self, peers)[name]
}

// Cells returns all cells of the site that the node knows of.
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

// Heads returns the first nodes of all cells of the node's region, in order of
// preference.
func Heads(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) []garnetworks.NodeInfo {
	var heads []garnetworks.NodeInfo
	for _, nodes := range Cells(self, peers) {
		if nodes[0].Region == self.Region {
			heads = append(heads, nodes[0])
		}
	}
	return leaser.RankNodes("region/"+string(self.Region), heads)
}

// Upstream is whom a node asks for what the object API holds.
type Upstream struct {
	// Relays are the addresses of the nodes to ask, first to last.
	Relays []string
	// Spares are those of the other nodes of the cell, and of the first ones of the region's
	// other cells.
	Spares []string
	// MultipleCells says that the region has several cells, so that what its reader knows passes
	// through two nodes.
	MultipleCells bool
}

// maxRelays bounds the nodes to ask: a node that reaches none of them reads for itself.
const maxRelays = 2

// FindUpstream returns the nodes before this one in its cell, and for the first node of a
// cell those before it among the first ones of the region's cells. So one node reads the
// object API for a region.
func FindUpstream(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) Upstream {
	_, cell := Cell(self, peers)
	heads := Heads(self, peers)
	relays := addressesBefore(self, cell)
	if len(relays) == 0 {
		relays = addressesBefore(self, heads)
	}
	return Upstream{Relays: relays, Spares: spareAddresses(self, relays, cell, heads), MultipleCells: len(heads) > 1}
}

// spares returns the addresses of nodes without the node itself and its relays, each once.
func spareAddresses(self garnetworks.NodeInfo, relays []string, lists ...[]garnetworks.NodeInfo) []string {
	seen := garnetworks.NewSet(append([]string{self.Address}, relays...)...)
	var addresses []string
	for _, n := range slices.Concat(lists...) {
		if seen.Has(n.Address) {
			continue
		}
		seen.Add(n.Address)
		addresses = append(addresses, n.Address)
	}
	return addresses
}

// before returns the addresses of the nodes before the node; maxRelays at most.
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

// regionSize counts the nodes of a region and its zones.
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

// cellName returns the zone, or the region where the region's zones are small.
func cellName(n garnetworks.NodeInfo, regions map[garnetworks.RegionID]*regionSize) string {
	if r := regions[n.Region]; r.nodes < MinNodesPerZone*len(r.zones) {
		return "region/" + string(n.Region)
	}
	return "zone/" + string(n.Zone)
}

// received is a report of another node or cell.
type receivedReport struct {
	report garnetworks.LoadReport
	at     time.Time
}

// Options describe an exchanger.
type Options struct {
	Peers garnetworks.ExchangeCaller
	// Self and Nodes tell the node and its peers.
	Self  func() garnetworks.NodeInfo
	Nodes func() []garnetworks.NodeInfo
	// Load returns the node's own report.
	Load func() garnetworks.LoadReport
	// SetPeerLoad gets the sum over all other nodes; known is false if nothing is known of
	// them (X3).
	SetPeerLoad func(others garnetworks.LoadReport, known bool)
	// Suspect gets the groups that other nodes suspect.
	Suspect func(garnetworks.GroupID)
	// Contents are the node's records of calls; it may be nil.
	Contents garnetworks.ContentRecordStore
}

// Exchanger is the duty. It is safe for concurrent use.
type Exchanger struct {
	options Options

	mu sync.Mutex
	// nodes and cells hold what was reported here.
	nodes, cells map[string]receivedReport
	// suspects are those of the node itself that are still to be told, heard those
	// of others, with the time.
	suspects     []garnetworks.GroupID
	seenSuspects map[garnetworks.GroupID]time.Time
	lastResponse time.Time
	// led is when the node last exchanged for its cell.
	lastExchangeAsHead time.Time
	failedUntil        map[string]time.Time
	wake               chan struct{}
	// differing are the nodes and cells that told another sum of records, with the time at
	// which all of them were last sent there.
	differing map[string]time.Time
}

// New returns an exchanger; Run starts its work.
func New(options Options) *Exchanger {
	return &Exchanger{
		options: options, nodes: make(map[string]receivedReport), cells: make(map[string]receivedReport),
		seenSuspects: make(map[garnetworks.GroupID]time.Time), failedUntil: make(map[string]time.Time), differing: make(map[string]time.Time), wake: make(chan struct{}, 1),
	}
}

// Suspect tells the other nodes of a group that seems to stand still, at once.
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

// Run exchanges until ctx ends.
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

// exchange reports to the cell's first node, or to those of the other cells if
// this is the first one.
func (e *Exchanger) exchange(ctx context.Context) {
	self := e.options.Self()
	name, cell := Cell(self, e.options.Nodes())
	own := e.options.Load()
	e.mu.Lock()
	own.Suspects, e.suspects = e.suspects, nil
	e.mu.Unlock()
	own.Nodes = 1
	for _, n := range e.reachable(cell) {
		if n.ID == self.ID {
			e.exchangeAsHead(ctx, self, name, own)
			return
		}
		if e.sendReport(ctx, n, string(self.ID), own) {
			return
		}
	}
}

// reachable returns the nodes that have not failed lately.
func (e *Exchanger) reachable(nodes []garnetworks.NodeInfo) []garnetworks.NodeInfo {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(nodes), func(n garnetworks.NodeInfo) bool {
		return now.Before(e.failedUntil[n.Address])
	})
}

// call sends a report to a node.
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

// lead exchanges the sum of the own cell for those of the others.
func (e *Exchanger) exchangeAsHead(ctx context.Context, self garnetworks.NodeInfo, name string, own garnetworks.LoadReport) {
	e.mu.Lock()
	e.lastExchangeAsHead = time.Now()
	e.mu.Unlock()
	var calls sync.WaitGroup
	sum := Sum(append(e.validReports(&e.nodes, string(self.ID)), own)...)
	for other, nodes := range Cells(self, e.options.Nodes()) {
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

// take hands the sum over the other nodes on.
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

// suspect hands on the suspicions that have not been heard a moment ago.
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
	others := append(e.validReports(&e.nodes, request.From), e.validReports(&e.cells, "")...)
	response.Report = Sum(append(others, own)...)
	return response, nil
}

// recent returns the groups whose suspicion was heard a moment ago, so that each
// node of the cell hears of them with its next report.
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

// validReports returns those that still count, without one.
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

// join adds the groups that are not in a list yet, as long as it has fewer than most.
func appendUnique(list, more []garnetworks.GroupID, limit int) []garnetworks.GroupID {
	for _, g := range more {
		if len(list) < limit && !slices.Contains(list, g) {
			list = append(list, g)
		}
	}
	return list
}

// Sum adds reports up.
func Sum(reports ...garnetworks.LoadReport) garnetworks.LoadReport {
	groups := make(map[garnetworks.GroupID]garnetworks.GroupLoad)
	demands := make(map[garnetworks.ModelName]float64)
	sum := garnetworks.LoadReport{}
	for _, r := range reports {
		sum.Nodes += r.Nodes
		for _, g := range r.Groups {
			g.Running += groups[g.Group].Running
			g.ActiveNodes += groups[g.Group].ActiveNodes
			groups[g.Group] = g
		}
		for _, d := range r.Demands {
			demands[d.Model] += d.CallsPerSecond
		}
		sum.Suspects = appendUnique(sum.Suspects, r.Suspects, maxSuspects)
		sum.Lost = appendUnique(sum.Lost, r.Lost, maxLost)
	}
	for _, g := range groups {
		sum.Groups = append(sum.Groups, g)
	}
	for m, n := range demands {
		sum.Demands = append(sum.Demands, garnetworks.ModelDemand{Model: m, CallsPerSecond: n})
	}
	return sum
}
