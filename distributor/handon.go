package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// job holds updates to forward and the targets to reach.
type job struct {
	updates []garnetworks.Update
	targets []garnetworks.NodeInfo
	hops    int
}

// appendJob adds the forwarding of u to jobs, merged into the last job if both have
// the same targets. The caller holds mu.
func (d *Distributor) appendJob(jobs []job, u garnetworks.Update, targets []garnetworks.NodeInfo, hops int) []job {
	if len(targets) == 0 {
		return jobs
	}
	if hops >= MaxHops {
		// No tree is this deep; the limit ends a forwarding loop between nodes.
		d.counters.refused.Add(1)
		return jobs
	}
	remaining := d.store.claim(u, targets)
	if len(remaining) == 0 {
		return jobs
	}
	// If another body has the same version, the one held here is forwarded.
	u = d.store.held[u.Topic]
	if n := len(jobs) - 1; n >= 0 && len(jobs[n].targets) == len(remaining) && len(remaining) == len(targets) {
		jobs[n].updates = append(jobs[n].updates, u)
		return jobs
	}
	return append(jobs, job{updates: []garnetworks.Update{u}, targets: remaining, hops: hops})
}

// enqueue never blocks, because a peer's call must not wait for other peers. A job
// that does not fit the queue is dropped and left to repair (rule D7).
func (d *Distributor) enqueue(j job) {
	select {
	case d.jobs <- j:
	default:
		d.counters.refused.Add(1)
	}
}

// resolve returns the nodes with the given addresses. An unknown address is treated
// as a node of this node's zone.
func (d *Distributor) resolve(addresses []string) []garnetworks.NodeInfo {
	if len(addresses) == 0 {
		return nil
	}
	known := map[string]garnetworks.NodeInfo{}
	for _, n := range d.options.Nodes() {
		known[n.Address] = n
	}
	nodes := make([]garnetworks.NodeInfo, 0, len(addresses))
	for _, a := range addresses {
		n, ok := known[a]
		if !ok {
			n = garnetworks.NodeInfo{Address: a, Zone: d.options.Self.Zone, Region: d.options.Self.Region}
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// forward sends the job's updates along its branches (rule D2).
func (d *Distributor) forward(ctx context.Context, j job) {
	updates := d.newest(j.updates)
	seed := seedOf(updates)
	var group sync.WaitGroup
	defer group.Wait()
	for _, b := range Split(d.options.Self, j.targets, d.options.Fanout, seed) {
		group.Go(func() { d.send(ctx, updates, b, j.hops) })
	}
}

// newest replaces updates that were superseded while the job was queued.
func (d *Distributor) newest(updates []garnetworks.Update) []garnetworks.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := make([]garnetworks.Update, 0, len(updates))
	for _, u := range updates {
		if held, ok := d.store.held[u.Topic]; ok && u.Version.Less(held.Version) {
			u = held
		}
		current = append(current, u)
	}
	return current
}

// send sends the updates to the first node of the branch that answers (rule D5).
func (d *Distributor) send(ctx context.Context, updates []garnetworks.Update, branch []garnetworks.NodeInfo, hops int) {
	branch = d.failedLast(branch)
	for range MaxForwardAttempts {
		if len(branch) == 0 || ctx.Err() != nil {
			return
		}
		head := branch[0]
		branch = branch[1:]
		request := &garnetworks.DistributeRequest{
			From:    d.options.Self.ID,
			Updates: updates,
			Targets: addressesOf(branch),
			Hops:    hops + 1,
		}
		err := d.call(ctx, head.Address, request)
		if err == nil {
			d.counters.sent.Add(uint64(len(updates)))
			return
		}
		d.counters.sendFailures.Add(1)
		d.options.Log(err)
	}
}

func (d *Distributor) call(ctx context.Context, address string, request *garnetworks.DistributeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	_, err := d.options.Peers.Distribute(ctx, address, request)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.failedAt[address] = time.Now()
	} else {
		delete(d.failedAt, address)
	}
	return err
}

// failedLast moves nodes that recently failed to answer to the end of the branch;
// otherwise each update would wait SendTimeout for the same dead node.
func (d *Distributor) failedLast(branch []garnetworks.NodeInfo) []garnetworks.NodeInfo {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var first, last []garnetworks.NodeInfo
	for _, n := range branch {
		at, found := d.failedAt[n.Address]
		switch {
		case !found:
			first = append(first, n)
		case now.Sub(at) > FailureMemory:
			delete(d.failedAt, n.Address)
			first = append(first, n)
		default:
			last = append(last, n)
		}
	}
	return append(first, last...)
}

func addressesOf(nodes []garnetworks.NodeInfo) []string {
	addresses := make([]string, 0, len(nodes))
	for _, n := range nodes {
		addresses = append(addresses, n.Address)
	}
	return addresses
}
