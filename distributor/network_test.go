package distributor

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// network connects distributors in one process. Calls take latency; calls over a
// blocked link fail at the caller's timeout, as with lost packets.
type network struct {
	mu      sync.Mutex
	nodes   []garnetworks.NodeInfo
	running map[string]*peer
	blocked map[[2]string]bool
	// stopAfterAck is the address of a process that stops as soon as it has
	// acknowledged an update.
	stopAfterAck string
	calls        int
}

// peer is a running node process.
type peer struct {
	*Distributor
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	// applied are the versions passed to Apply, in order.
	applied map[garnetworks.Topic][]garnetworks.UpdateVersion
}

const latency = time.Millisecond

// newNetwork returns a network of nodes spread over zones and zones over regions.
func newNetwork(nodes, zones, regions int) *network {
	n := &network{running: map[string]*peer{}, blocked: map[[2]string]bool{}}
	n.nodes = siteNodes(nodes, zones, regions)
	return n
}

func siteNodes(nodes, zones, regions int) []garnetworks.NodeInfo {
	var all []garnetworks.NodeInfo
	for i := range nodes {
		z := i % zones
		all = append(all, garnetworks.NodeInfo{
			ID:      garnetworks.NodeID(fmt.Sprintf("entry-%03d", i)),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Zone:    garnetworks.ZoneID(fmt.Sprintf("zone-%d", z)),
			Region:  garnetworks.RegionID(fmt.Sprintf("region-%d", z%regions)),
		})
	}
	return all
}

// caller calls peers on behalf of one node.
type caller struct {
	garnetworks.PeerCaller
	network *network
	from    string
}

func (c caller) connect(ctx context.Context, address string) (*peer, error) {
	c.network.mu.Lock()
	p, ok := c.network.running[address]
	blocked := c.network.blocked[[2]string{c.from, address}]
	c.network.calls++
	c.network.mu.Unlock()
	switch {
	case blocked:
		<-ctx.Done()
		return nil, garnetworks.Errorf(garnetworks.KindUnreachable, "cut")
	case !ok:
		time.Sleep(latency)
		return nil, garnetworks.Errorf(garnetworks.KindUnreachable, "refused")
	}
	time.Sleep(latency)
	return p, nil
}

func (c caller) Distribute(ctx context.Context, address string, q *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	p, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	c.network.mu.Lock()
	stops := c.network.stopAfterAck == address
	c.network.mu.Unlock()
	if stops {
		c.network.stop(address)
		return &garnetworks.DistributeResponse{Accepted: len(q.Updates)}, nil
	}
	return p.Handle(q), nil
}

func (c caller) Fetch(ctx context.Context, address string, q *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	p, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.HandleFetch(q), nil
}

func (c caller) Heartbeat(ctx context.Context, address string, q *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	p, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	response := &garnetworks.HeartbeatResponse{}
	p.FillResponse(q, response)
	return response, nil
}

// start runs a new process of node i, which holds no values.
func (n *network) start(i int) *peer {
	info := n.nodes[i]
	ctx, cancel := context.WithCancel(context.Background())
	p := &peer{cancel: cancel, applied: map[garnetworks.Topic][]garnetworks.UpdateVersion{}}
	p.Distributor = New(Options{
		Self:  info,
		Peers: caller{network: n, from: info.Address},
		Nodes: func() []garnetworks.NodeInfo { return n.nodes },
		Apply: func(u garnetworks.Update) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.applied[u.Topic] = append(p.applied[u.Topic], u.Version)
		},
	})
	n.mu.Lock()
	n.running[info.Address] = p
	n.mu.Unlock()
	p.done.Go(func() { p.Run(ctx) })
	p.done.Go(func() { n.runHeartbeats(ctx, i, p) })
	return p
}

// runHeartbeats exchanges heartbeats with two neighbors each second and sometimes
// with a node of any zone, as the tracker does.
func (n *network) runHeartbeats(ctx context.Context, i int, p *peer) {
	for round := 1; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		targets := n.neighbours(i)
		if (round+i)%5 == 0 {
			far := int(uint32(i+1)*2654435761>>8) + round
			targets = append(targets, n.nodes[far%len(n.nodes)])
		}
		for _, t := range targets {
			p.done.Go(func() { n.compare(ctx, p, t.Address) })
		}
	}
}

func (n *network) neighbours(i int) []garnetworks.NodeInfo {
	var sameZone []garnetworks.NodeInfo
	for j := 1; j < len(n.nodes) && len(sameZone) < 2; j++ {
		if other := n.nodes[(i+j)%len(n.nodes)]; other.Zone == n.nodes[i].Zone {
			sameZone = append(sameZone, other)
		}
	}
	return sameZone
}

func (n *network) compare(ctx context.Context, p *peer, address string) {
	q := &garnetworks.HeartbeatRequest{}
	p.FillRequest(q)
	bounded, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	response, err := p.options.Peers.Heartbeat(bounded, address, q)
	if err == nil {
		p.TakeResponse(ctx, address, response)
	}
}

func (n *network) stop(address string) {
	n.mu.Lock()
	p, ok := n.running[address]
	delete(n.running, address)
	n.mu.Unlock()
	if ok {
		p.cancel()
	}
}

func (n *network) stopAll() {
	n.mu.Lock()
	running := n.running
	n.running = map[string]*peer{}
	n.mu.Unlock()
	for _, p := range running {
		p.cancel()
		p.done.Wait()
	}
}

func (n *network) setBlocked(from, to int, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{n.nodes[from].Address, n.nodes[to].Address}] = blocked
}

// missing returns the running nodes whose last applied version is not v.
func (n *network) missing(topic garnetworks.Topic, v garnetworks.UpdateVersion) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing []string
	for address, p := range n.running {
		p.mu.Lock()
		applied := p.applied[topic]
		p.mu.Unlock()
		if len(applied) == 0 || applied[len(applied)-1] != v {
			missing = append(missing, address)
		}
	}
	slices.Sort(missing)
	return missing
}

func version(sequence uint64) garnetworks.UpdateVersion {
	return garnetworks.UpdateVersion{Sequence: sequence}
}

func manifest(sequence uint64) garnetworks.Update {
	return garnetworks.Update{Topic: garnetworks.TopicManifest, Version: version(sequence), Body: fmt.Appendf(nil, "body %d", sequence)}
}

func mustPublish(t interface{ Fatal(...any) }, p *peer, u garnetworks.Update) {
	if err := p.Publish(u); err != nil {
		t.Fatal(err)
	}
}
