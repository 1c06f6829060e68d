// Package delegator decides when a node hands its calls to other nodes, because it reaches no
// backend server of a service itself or may send none a call, and to which ones. It is pure: it does no I/O and takes the
// time as an argument.
//
//	D1  A node's links to a service count as down once attempts at several of its servers, or
//	    at all of them, have failed without an answer from any since.
//	D2  Down links are tried with connections at intervals; any answer or connection shows that
//	    they are up.
//	D3  A node that could not take a call is avoided for a time, and so is an availability zone
//	    of which several nodes could not: a zone may be partitioned as a whole. While any
//	    is avoided, a node that took a call is asked first.
//	D4  Load pattern: most calls arrive at one node, which may send limited servers its own
//	    share of calls only (package limiter). It offers the rest to the nodes that have
//	    the other shares, at random in proportion to these. A node that could not take a
//	    call gets no other offer before it expects a place.
//	D5  Overload of the whole site: no node has a share left. An offer that is not taken costs a
//	    part of a budget, which taken ones and time restore, so that refused calls cost the
//	    few chosen nodes little.
package delegator

import (
	"maps"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// downServers is the number of servers without an answer from which links count as down.
	downServers = 3
	// TrialInterval is the time between two trials of down links.
	TrialInterval = 250 * time.Millisecond
	// avoidTime is how long a node that could not take a call is avoided.
	avoidTime = 2 * time.Second
	// takerTime is how long a node that took a call is asked first.
	takerTime = 5 * time.Second
	// avoidZoneNodes is the number of nodes to avoid from which their zone is avoided.
	avoidZoneNodes = 2
	// maxBudget is the number of offers in a row that may fail before offers wait for the budget.
	// Each taken one restores takenBudget, and time siteBudget per second at all nodes together.
	maxBudget   = 20
	takenBudget = 1
	siteBudget  = 50
	// minFullTime and maxFullTime bound how long a node that has no share left gets no offer.
	minFullTime = 50 * time.Millisecond
	maxFullTime = 2 * time.Second
)

// Links judges a node's links to the servers of each service. It is not safe for concurrent use.
type Links struct {
	services map[garnetworks.ServiceName]*serviceLinks
}

type serviceLinks struct {
	// failed holds the servers that gave no answer since the last answer of any.
	failed garnetworks.Set[garnetworks.InstanceID]
	tried  time.Time
}

// NewLinks returns links of which nothing is known.
func NewLinks() *Links {
	return &Links{services: make(map[garnetworks.ServiceName]*serviceLinks)}
}

// Answered records that a server answered, or accepted a connection.
func (l *Links) Answered(service garnetworks.ServiceName) { delete(l.services, service) }

// Failed records an attempt without an answer.
func (l *Links) Failed(now time.Time, service garnetworks.ServiceName, server garnetworks.InstanceID) {
	s := l.services[service]
	if s == nil {
		s = &serviceLinks{failed: make(garnetworks.Set[garnetworks.InstanceID]), tried: now}
		l.services[service] = s
	}
	s.failed.Add(server)
}

// Down reports whether the links to a service with so many servers are down (rule D1).
func (l *Links) Down(service garnetworks.ServiceName, servers int) bool {
	s := l.services[service]
	return s != nil && len(s.failed) >= min(downServers, max(1, servers))
}

// Due returns the services whose links may be tried now, and counts them as tried (rule D2).
func (l *Links) Due(now time.Time) []garnetworks.ServiceName {
	var due []garnetworks.ServiceName
	for service, s := range l.services {
		if now.Sub(s.tried) >= TrialInterval {
			s.tried = now
			due = append(due, service)
		}
	}
	return due
}

// Delegates chooses the nodes that take calls over. It is not safe for concurrent use.
type Delegates struct {
	zone   garnetworks.ZoneID
	random func() float64
	// avoided holds when a node could not take a call.
	avoided map[garnetworks.NodeID]time.Time
	// takers holds when a node last took a call.
	takers map[garnetworks.NodeID]time.Time
}

// NewDelegates returns the delegates of a node in the zone; random must return values in [0, 1).
func NewDelegates(zone garnetworks.ZoneID, random func() float64) *Delegates {
	return &Delegates{zone: zone, random: random, avoided: make(map[garnetworks.NodeID]time.Time), takers: make(map[garnetworks.NodeID]time.Time)}
}

// Avoid records that a node could not take a call.
func (d *Delegates) Avoid(now time.Time, node garnetworks.NodeID) {
	maps.DeleteFunc(d.avoided, func(_ garnetworks.NodeID, at time.Time) bool { return now.Sub(at) >= avoidTime })
	delete(d.takers, node)
	d.avoided[node] = now
}

// Took records that a node took a call.
func (d *Delegates) Took(now time.Time, node garnetworks.NodeID) {
	maps.DeleteFunc(d.takers, func(_ garnetworks.NodeID, at time.Time) bool { return now.Sub(at) >= takerTime })
	d.takers[node] = now
}

// Choose returns a node at random among those that are not avoided: one of the node's own zone,
// unless that zone is avoided, and one that took a call while others are avoided (rule D3).
func (d *Delegates) Choose(now time.Time, nodes []garnetworks.NodeInfo) (garnetworks.NodeInfo, bool) {
	avoidedNodes := make(map[garnetworks.ZoneID]int)
	for i := range nodes {
		if d.avoids(now, nodes[i].ID) {
			avoidedNodes[nodes[i].Zone]++
		}
	}
	best, bestRank, count := garnetworks.NodeInfo{}, 0, 0
	for i := range nodes {
		n := &nodes[i]
		if d.avoids(now, n.ID) {
			continue
		}
		rank := d.rank(n.Zone, avoidedNodes[n.Zone])
		if at, ok := d.takers[n.ID]; ok && len(avoidedNodes) > 0 && now.Sub(at) < takerTime {
			rank = -1
		}
		switch {
		case count > 0 && rank > bestRank:
			continue
		case count == 0 || rank < bestRank:
			bestRank, count = rank, 0
		}
		count++
		if d.random()*float64(count) < 1 {
			best = *n
		}
	}
	return best, count > 0
}

func (d *Delegates) avoids(now time.Time, node garnetworks.NodeID) bool {
	at, ok := d.avoided[node]
	return ok && now.Sub(at) < avoidTime
}

// rank orders zones: the node's own, others, those that are avoided.
func (d *Delegates) rank(zone garnetworks.ZoneID, avoidedNodes int) int {
	switch {
	case avoidedNodes >= avoidZoneNodes:
		return 2
	case zone != d.zone:
		return 1
	}
	return 0
}
