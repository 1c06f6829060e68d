package distributor

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// FillRequest adds this node's digest to a heartbeat request (rule D6).
func (d *Distributor) FillRequest(request *garnetworks.HeartbeatRequest) {
	request.Digest = d.Digest()
}

// FillResponse adds this node's digest to the response, and all versions if the
// digests differ. It adds nothing if the request has no digest.
func (d *Distributor) FillResponse(request *garnetworks.HeartbeatRequest, response *garnetworks.HeartbeatResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if request.Digest == 0 {
		return
	}
	response.Digest = d.store.digest
	if request.Digest != response.Digest {
		response.Versions = d.store.versions()
	}
}

// TakeResponse repairs the differences that a heartbeat showed. It may wait and
// call the peer, and returns when the repair has ended.
func (d *Distributor) TakeResponse(ctx context.Context, address string, response *garnetworks.HeartbeatResponse) {
	if response.Digest == 0 {
		return
	}
	if len(response.Versions) == 0 && response.Digest == d.Digest() {
		d.forgetMissing(address)
		d.syncOnce.Do(func() { close(d.synced) })
		return
	}
	select {
	case d.repairSlots <- struct{}{}:
		defer func() { <-d.repairSlots }()
	default:
		return
	}
	if !d.isSynced() {
		d.repair(ctx, address, response.Versions)
		return
	}
	// The tree may still be delivering an update that the digests differ by. An
	// immediate fetch would send most updates twice.
	select {
	case <-ctx.Done():
		return
	case <-time.After(RepairGrace):
	}
	d.repair(ctx, address, response.Versions)
}

func (d *Distributor) isSynced() bool {
	select {
	case <-d.synced:
		return true
	default:
		return false
	}
}

func (d *Distributor) forgetMissing(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.peerMissing, address)
}

func (d *Distributor) repair(ctx context.Context, address string, peerVersions map[garnetworks.Topic]garnetworks.UpdateVersion) {
	if err := d.pull(ctx, address, peerVersions); err != nil {
		d.options.Log(err)
		return
	}
	d.syncOnce.Do(func() { close(d.synced) })
	if err := d.push(ctx, address, peerVersions); err != nil {
		d.options.Log(err)
	}
}

// pull fetches what the peer has and this node lacks, one message at a time.
func (d *Distributor) pull(ctx context.Context, address string, peerVersions map[garnetworks.Topic]garnetworks.UpdateVersion) error {
	for missing := d.Missing(peerVersions); len(missing) > 0; {
		before := len(missing)
		response, err := d.fetch(ctx, address, missing)
		if err != nil {
			return err
		}
		request := &garnetworks.DistributeRequest{Updates: response.Updates, Targets: d.zoneTargets(address)}
		d.counters.repaired.Add(uint64(d.Handle(request).Accepted))
		missing = d.Missing(peerVersions)
		if len(missing) >= before {
			return garnetworks.Errorf(garnetworks.KindNotFound, "peer %s did not give topic %s", address, missing[0])
		}
	}
	return nil
}

// zoneTargets returns the nodes of this zone if the address is in another zone, and
// nil otherwise. An update fetched from another zone was probably missed by this
// whole zone, because the first node of its branch failed; forwarding it avoids
// repair node by node. A node that is not yet synced forwards nothing, because only
// it lacks the values.
func (d *Distributor) zoneTargets(address string) []string {
	if !d.isSynced() {
		return nil
	}
	var sameZone []string
	for _, n := range d.targets() {
		if n.Address == address && n.Zone == d.options.Self.Zone {
			return nil
		}
		if n.Zone == d.options.Self.Zone {
			sameZone = append(sameZone, n.Address)
		}
	}
	return sameZone
}

func (d *Distributor) fetch(ctx context.Context, address string, topics []garnetworks.Topic) (*garnetworks.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, SendTimeout)
	defer cancel()
	return d.options.Peers.Fetch(ctx, address, &garnetworks.FetchRequest{Topics: topics})
}

// push sends the peer what it lacked in both this exchange and the one before.
// Peers that wait for the tree or fetch by their own heartbeats are thus not sent
// updates twice, and peers that cannot call others still get them.
func (d *Distributor) push(ctx context.Context, address string, peerVersions map[garnetworks.Topic]garnetworks.UpdateVersion) error {
	d.mu.Lock()
	missing := map[garnetworks.Topic]garnetworks.UpdateVersion{}
	var updates []garnetworks.Update
	for _, u := range d.store.newerThan(peerVersions) {
		missing[u.Topic] = u.Version
		if d.peerMissing[address][u.Topic] == u.Version {
			updates = append(updates, u)
		}
	}
	d.peerMissing[address] = missing
	if len(d.peerMissing) > MaxTopics {
		clear(d.peerMissing)
	}
	d.mu.Unlock()
	if len(updates) == 0 {
		return nil
	}
	batch := firstBatch(updates)
	if err := d.call(ctx, address, &garnetworks.DistributeRequest{From: d.options.Self.ID, Updates: batch, Hops: MaxHops}); err != nil {
		return err
	}
	d.counters.pushed.Add(uint64(len(batch)))
	return nil
}

// HandleFetch returns the values of the requested topics, or of all topics if none
// are given, as many as fit into one message.
func (d *Distributor) HandleFetch(request *garnetworks.FetchRequest) *garnetworks.FetchResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	topics := request.Topics
	if len(topics) == 0 {
		topics = slices.Sorted(maps.Keys(d.store.held))
	}
	var updates []garnetworks.Update
	for _, t := range topics {
		if u, ok := d.store.held[t]; ok {
			updates = append(updates, u)
		}
	}
	return &garnetworks.FetchResponse{Updates: firstBatch(updates)}
}
