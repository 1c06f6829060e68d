package runner

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/admitter"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/sharer"
)

const (
	// MinReportInterval is the shortest time between two reports of a node to its zone's
	// controller.
	MinReportInterval = 2 * time.Second
	// MaxReportInterval is the longest time between two reports. Two such intervals fit in
	// admitter.ShareBound, so that one lost report does not make a node unresponsive.
	MaxReportInterval = 7 * time.Second
	// reportIntervalPerNode times the number of nodes in the zone is the report interval,
	// within the two limits above. It limits the controller's traffic.
	reportIntervalPerNode = 150 * time.Millisecond
	// reportTimeout limits one report.
	reportTimeout = time.Second
	// demandInterval is the time between two updates of a zone's demand to the site.
	demandInterval = 5 * time.Second
)

// reports sends the node's reports to its zone's controller, and handles those of other
// nodes while the node is the controller (N4).
type reports struct {
	r *Runner

	mu         sync.Mutex
	aggregator *sharer.Aggregator
	// slow holds each node's latest list of slow groups.
	slow map[garnetworks.NodeID][]garnetworks.GroupSlowdown
	// demandAt is when the zone's demand was last published to the site.
	demandAt time.Time
}

func newReports(r *Runner) *reports {
	return &reports{
		r:          r,
		aggregator: sharer.New(r.self.Zone),
		slow:       make(map[garnetworks.NodeID][]garnetworks.GroupSlowdown),
	}
}

// reportInterval returns the time between two reports in a zone with that many nodes.
func reportInterval(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*reportIntervalPerNode, MinReportInterval), MaxReportInterval)
}

// run sends reports periodically (N4).
func (p *reports) run(ctx context.Context) {
	for {
		wait := time.NewTimer(reportInterval(len(zoneNodes(p.r.nodes(), p.r.self.Zone))))
		select {
		case <-ctx.Done():
			wait.Stop()
			return
		case <-wait.C:
			p.reportOnce(ctx)
		}
	}
}

func (p *reports) reportOnce(ctx context.Context) {
	now := time.Now()
	request := &garnetworks.HeartbeatRequest{
		From:    p.r.tracker.Self(),
		Demands: p.r.admitter.Demands(),
		Slow:    p.slowGroups(now),
	}
	joined, known := p.r.views.own()
	if !known {
		return
	}
	if joined.View.Controller.ID == p.r.self.ID {
		p.reportOwn(now, request)
		return
	}
	p.send(ctx, joined.View.Controller.Address, request)
}

func (p *reports) slowGroups(now time.Time) []garnetworks.GroupSlowdown {
	var slow []garnetworks.GroupSlowdown
	for _, s := range p.r.router.Stragglers(now) {
		slow = append(slow, garnetworks.GroupSlowdown{Group: s.Group, Ratio: s.Ratio})
	}
	return slow
}

func (p *reports) send(ctx context.Context, address string, request *garnetworks.HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := p.r.client.Heartbeat(ctx, address, request)
	if err != nil {
		p.r.log.Debug("report not sent", "to", address, "error", err)
		return
	}
	for _, u := range response.Updates {
		p.handleUpdate(u)
	}
}

// receive handles a peer's report and adds its limit shares to the response.
func (p *reports) receive(now time.Time, request *garnetworks.HeartbeatRequest, response *garnetworks.HeartbeatResponse) {
	if len(request.Demands) == 0 && len(request.Slow) == 0 {
		return
	}
	if request.From.Zone != p.r.self.Zone || p.r.zone.Lease().Term(now) == 0 {
		return
	}
	share, ok := p.record(now, request).Get()
	if !ok {
		return
	}
	body, err := messenger.EncodeBody(admitter.ShareTable{Nodes: []admitter.NodeShare{share}})
	if err != nil {
		p.r.log.Error("shares not sent", "error", err)
		return
	}
	response.Updates = append(response.Updates, garnetworks.Update{
		Topic: garnetworks.TopicLimitShares + garnetworks.Topic(p.r.self.Zone),
		Body:  body,
	})
}

// record stores a node's report and returns the node's shares.
func (p *reports) record(now time.Time, request *garnetworks.HeartbeatRequest) garnetworks.Option[admitter.NodeShare] {
	manifest, known := p.r.committer.Manifest()
	nodes := p.r.nodes()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow[request.From.ID] = request.Slow
	p.aggregator.Report(now, request.From.ID, request.Demands)
	p.aggregator.SetNodes(nodes)
	if !known {
		return garnetworks.Option[admitter.NodeShare]{}
	}
	return p.aggregator.NodeShare(now, manifest.Manifest.Workspaces, request.From.ID)
}

// reportOwn handles the controller's own report and publishes the zone's demand to the
// site when it is due.
func (p *reports) reportOwn(now time.Time, request *garnetworks.HeartbeatRequest) {
	if share, ok := p.record(now, request).Get(); ok {
		p.r.admitter.SetShares(admitter.ShareTable{Nodes: []admitter.NodeShare{share}})
	}
	term := p.r.zone.Lease().Term(now)
	p.mu.Lock()
	due := now.Sub(p.demandAt) >= demandInterval
	if due {
		p.demandAt = now
	}
	demand := p.aggregator.ZoneDemand(now)
	p.mu.Unlock()
	if !due || term == 0 {
		return
	}
	body, err := messenger.EncodeBody(demand)
	if err != nil {
		p.r.log.Error("demand not sent", "error", err)
		return
	}
	p.r.publish(garnetworks.Update{
		Topic:   garnetworks.TopicDemand + garnetworks.Topic(p.r.self.Zone),
		Version: garnetworks.UpdateVersion{Term: term, Sequence: uint64(now.UnixMilli())},
		Body:    body,
	})
}

// handleUpdate handles updates of shares and of a zone's demand. It reports whether the
// update was one of them.
func (p *reports) handleUpdate(u garnetworks.Update) bool {
	if _, ok := garnetworks.CutTopic(u.Topic, garnetworks.TopicLimitShares); ok {
		var table admitter.ShareTable
		if p.decode(u, &table) {
			p.r.admitter.SetShares(table)
		}
		return true
	}
	if zone, ok := garnetworks.CutTopic(u.Topic, garnetworks.TopicDemand); ok {
		var demand sharer.ZoneDemand
		if p.decode(u, &demand) {
			p.mu.Lock()
			p.aggregator.SetZoneDemand(time.Now(), garnetworks.ZoneID(zone), demand)
			p.mu.Unlock()
		}
		return true
	}
	return false
}

func (p *reports) decode(u garnetworks.Update, value any) bool {
	if err := messenger.DecodeBody(u.Body, value); err != nil {
		p.r.log.Warn("update refused", "topic", u.Topic, "error", err)
		return false
	}
	return true
}

// slowdowns returns the slowdown ratios of the instances in slow groups. A group's ratio is
// the median over the reporting nodes, so that one node with a slow path to a group does
// not get the group replaced.
func (p *reports) slowdowns() map[garnetworks.InstanceID]float64 {
	joined, known := p.r.views.own()
	if !known {
		return nil
	}
	p.mu.Lock()
	ratios := sharer.Slowdowns(p.slow)
	p.mu.Unlock()
	slow := make(map[garnetworks.InstanceID]float64)
	for i := range joined.View.Groups {
		g := &joined.View.Groups[i]
		if ratio, ok := ratios[g.ID]; ok {
			for _, m := range g.Members { // which member is slow can't be told from outside the group
				slow[m] = ratio
			}
		}
	}
	return slow
}
