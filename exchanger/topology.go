package exchanger

import (
	"slices"
	"sync"

	"github.com/garnetworks/garnetworks"
)

// Topology is how the nodes of a site form cells, as one node sees it. It is immutable.
type Topology struct {
	Self garnetworks.NodeInfo
	// Name is the node's cell and Cell that cell's nodes in order of preference (X1); Cells holds
	// all cells of the site.
	Name  string
	Cell  []garnetworks.NodeInfo
	Cells map[string][]garnetworks.NodeInfo
	// Upstream lists the nodes that the node asks for the contents of the object API.
	Upstream Upstream
}

// NewTopology returns the topology of the node and its peers.
func NewTopology(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) *Topology {
	name, cells := cellName(self, regionSizes(self, peers)), Cells(self, peers)
	return &Topology{
		Self: self, Name: name, Cell: cells[name], Cells: cells,
		Upstream: findUpstream(self, cells[name], headsOf(self, cells)),
	}
}

// topologyCache holds the topology of the newest membership. Ranking all nodes of a site takes
// milliseconds at a thousand of them, several times a second, while membership rarely changes.
type topologyCache struct {
	mu       sync.Mutex
	peers    []garnetworks.NodeInfo
	topology *Topology
	// computed counts the topologies that were computed.
	computed int
}

// get returns the topology of the node and its peers. A changed membership must come in a new
// slice.
func (c *topologyCache) get(self garnetworks.NodeInfo, peers []garnetworks.NodeInfo) *Topology {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.topology == nil || c.topology.Self != self || !garnetworks.SameSlice(c.peers, peers) {
		c.topology, c.peers = NewTopology(self, slices.Clip(peers)), peers
		c.computed++
	}
	return c.topology
}
