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
	callTime = 250 * time.Millisecond
	// SmallCell is the number of nodes in a zone under which the whole region is
	// one cell: the first node of a cell then serves few others.
	SmallCell = 8
	// maxSuspects bounds the suspicions in a report, maxLost the lost groups: those of a
	// large domain, or of a few, that went dark.
	maxSuspects = 16
	maxLost     = 128
	// allEvery is the least time between two messages to a node with all records of calls
	// that last (X5): sums differ for some intervals while something new spreads.
	allEvery = time.Second
	// maxDiffering bounds the names of nodes that differ, of which some are gone; the design
	// size has 330 nodes.
	maxDiffering = 1024
)

// Cell returns the name of the node's cell, and the cell's nodes in order of
// preference (X1). The node itself is among them.
func Cell(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) (string, []garnetworks.NodeInfo) {
	name := cellName(self, sizes(self, peers))
	return name, Cells(self, peers)[name]
}

// Cells returns all cells of the site that the node knows of.
func Cells(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) map[string][]garnetworks.NodeInfo {
	regions := sizes(self, peers)
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
	// Several says that the region has several cells, so that what its reader knows passes
	// through two nodes.
	Several bool
}

// maxRelays bounds the nodes to ask: a node that reaches none of them reads for itself.
const maxRelays = 2

// FindUpstream returns the nodes before this one in its cell, and for the first node of a
// cell those before it among the first ones of the region's cells. So one node reads the
// object API for a region.
func FindUpstream(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) Upstream {
	_, cell := Cell(self, peers)
	heads := Heads(self, peers)
	relays := before(self, cell)
	if len(relays) == 0 {
		relays = before(self, heads)
	}
	return Upstream{Relays: relays, Spares: spares(self, relays, cell, heads), Several: len(heads) > 1}
}

// spares returns the addresses of nodes without the node itself and its relays, each once.
func spares(self garnetworks.NodeInfo, relays []string, lists ...[]garnetworks.NodeInfo) []string {
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
func before(self garnetworks.NodeInfo, nodes []garnetworks.NodeInfo) []string {
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

func sizes(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) map[garnetworks.RegionID]*regionSize {
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
	if r := regions[n.Region]; r.nodes < SmallCell*len(r.zones) {
		return "region/" + string(n.Region)
	}
	return "zone/" + string(n.Zone)
}

// received is a report of another node or cell.
type received struct {
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
	// Take gets the sum over all other nodes; known is false if nothing is known of
	// them (X3).
	Take func(others garnetworks.LoadReport, known bool)
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
	nodes, cells map[string]received
	// suspects are those of the node itself that are still to be told, heard those
	// of others, with the time.
	suspects []garnetworks.GroupID
	heard    map[garnetworks.GroupID]time.Time
	answered time.Time
	// led is when the node last exchanged for its cell.
	led    time.Time
	failed map[string]time.Time
	wake   chan struct{}
	// differing are the nodes and cells that told another sum of records, with the time at
	// which all of them were last sent there.
	differing map[string]time.Time
}

// New returns an exchanger; Run starts its work.
func New(options Options) *Exchanger {
	return &Exchanger{
		options: options, nodes: make(map[string]received), cells: make(map[string]received),
		heard: make(map[garnetworks.GroupID]time.Time), failed: make(map[string]time.Time), differing: make(map[string]time.Time), wake: make(chan struct{}, 1),
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
			e.lead(ctx, self, name, own)
			return
		}
		if e.report(ctx, n, string(self.ID), own) {
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
		return now.Before(e.failed[n.Address])
	})
}

// call sends a report to a node.
func (e *Exchanger) call(ctx context.Context, n garnetworks.NodeInfo, from string, cell bool, report garnetworks.LoadReport) (*garnetworks.ExchangeResponse, bool) {
	const failedFor = time.Second
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	request := &garnetworks.ExchangeRequest{From: from, Cell: cell, Report: report}
	request.ContentRecords, request.ContentChecksum = e.contents(n.Address)
	answer, err := e.options.Peers.Exchange(call, n.Address, request)
	if err == nil {
		e.takeContents(n.Address, answer.ContentRecords, answer.ContentChecksum)
		return answer, true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failed[n.Address] = time.Now().Add(failedFor)
	return nil, false
}

func (e *Exchanger) report(ctx context.Context, n garnetworks.NodeInfo, from string, own garnetworks.LoadReport) bool {
	answer, ok := e.call(ctx, n, from, false, own)
	if !ok {
		e.take(garnetworks.LoadReport{}, false)
		return false
	}
	e.take(answer.Report, true)
	return true
}

// lead exchanges the sum of the own cell for those of the others.
func (e *Exchanger) lead(ctx context.Context, self garnetworks.NodeInfo, name string, own garnetworks.LoadReport) {
	e.mu.Lock()
	e.led = time.Now()
	e.mu.Unlock()
	var calls sync.WaitGroup
	sum := Sum(append(e.reports(&e.nodes, string(self.ID)), own)...)
	for other, nodes := range Cells(self, e.options.Nodes()) {
		reachable := e.reachable(nodes)
		if other == name || len(reachable) == 0 {
			continue
		}
		calls.Go(func() {
			if answer, ok := e.call(ctx, reachable[0], name, true, sum); ok {
				e.receive(&e.cells, other, answer.Report)
			}
		})
	}
	calls.Wait()
	others := append(e.reports(&e.nodes, string(self.ID)), e.reports(&e.cells, name)...)
	e.take(Sum(others...), true)
}

// take hands the sum over the other nodes on.
func (e *Exchanger) take(others garnetworks.LoadReport, known bool) {
	now := time.Now()
	e.mu.Lock()
	if known {
		e.answered = now
	}
	stale := now.Sub(e.answered) > StaleAfter
	e.mu.Unlock()
	if known || stale {
		e.options.Take(others, known)
	}
	e.suspect(now, others.Suspects)
}

// suspect hands on the suspicions that have not been heard a moment ago.
func (e *Exchanger) suspect(now time.Time, groups []garnetworks.GroupID) {
	for _, g := range groups {
		e.mu.Lock()
		again := now.Sub(e.heard[g]) < ReportAge
		if !again {
			e.heard[g] = now
		}
		if len(e.heard) > maxSuspects*maxSuspects {
			clear(e.heard)
		}
		e.mu.Unlock()
		if !again {
			e.options.Suspect(g)
		}
	}
}

// Exchange implements garnetworks.ExchangeHandler.
func (e *Exchanger) Exchange(_ context.Context, request *garnetworks.ExchangeRequest) (*garnetworks.ExchangeResponse, error) {
	if request.From == "" {
		return nil, garnetworks.Errorf(garnetworks.KindInvalidRequest, "a report names nobody")
	}
	e.suspect(time.Now(), request.Report.Suspects)
	e.takeContents(request.From, request.ContentRecords, request.ContentChecksum)
	response := &garnetworks.ExchangeResponse{}
	response.ContentRecords, response.ContentChecksum = e.contents(request.From)
	own := e.options.Load()
	own.Nodes, own.Suspects = 1, e.recent()
	if request.Cell {
		e.receive(&e.cells, request.From, request.Report)
		response.Report = Sum(append(e.reports(&e.nodes, ""), own)...)
		return response, nil
	}
	e.receive(&e.nodes, request.From, request.Report)
	others := append(e.reports(&e.nodes, request.From), e.reports(&e.cells, "")...)
	response.Report = Sum(append(others, own)...)
	return response, nil
}

// recent returns the groups whose suspicion was heard a moment ago, so that each
// node of the cell hears of them with its next report.
func (e *Exchanger) recent() []garnetworks.GroupID {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var groups []garnetworks.GroupID
	for g, at := range e.heard {
		if now.Sub(at) < ReportAge/2 && len(groups) < maxSuspects {
			groups = append(groups, g)
		}
	}
	return groups
}

func (e *Exchanger) receive(into *map[string]received, from string, report garnetworks.LoadReport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	(*into)[from] = received{report, time.Now()}
}

// reports returns those that still count, without one.
func (e *Exchanger) reports(of *map[string]received, without string) []garnetworks.LoadReport {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []garnetworks.LoadReport
	for from, r := range *of {
		switch {
		case now.Sub(r.at) > ReportAge: // rule X2
			delete(*of, from)
		case from != without:
			list = append(list, r.report)
		}
	}
	return list
}

// join adds the groups that are not in a list yet, as long as it has fewer than most.
func join(list, more []garnetworks.GroupID, most int) []garnetworks.GroupID {
	for _, g := range more {
		if len(list) < most && !slices.Contains(list, g) {
			list = append(list, g)
		}
	}
	return list
}

// Sum adds reports up.
func Sum(reports ...garnetworks.LoadReport) garnetworks.LoadReport {
	places := make(map[garnetworks.GroupID]garnetworks.GroupLoad)
	demand := make(map[garnetworks.ModelName]float64)
	sum := garnetworks.LoadReport{}
	for _, r := range reports {
		sum.Nodes += r.Nodes
		for _, p := range r.Groups {
			p.Running += places[p.Group].Running
			p.ActiveNodes += places[p.Group].ActiveNodes
			places[p.Group] = p
		}
		for _, d := range r.Demands {
			demand[d.Model] += d.CallsPerSecond
		}
		sum.Suspects = join(sum.Suspects, r.Suspects, maxSuspects)
		sum.Lost = join(sum.Lost, r.Lost, maxLost)
	}
	for _, p := range places {
		sum.Groups = append(sum.Groups, p)
	}
	for m, n := range demand {
		sum.Demands = append(sum.Demands, garnetworks.ModelDemand{Model: m, CallsPerSecond: n})
	}
	return sum
}
