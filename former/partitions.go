package former

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// detectPartitions finds the domains whose entries may be missing because of a partition.
//
// The entries of an availability zone that is cut off vanish and return one after the other,
// while its groups keep serving. Without this check a partly listed group looks like one that
// has lost members and is dissolved when the zone returns.
func (r *plan) detectPartitions() {
	vanished := make(map[garnetworks.DomainID]int)
	for id, s := range r.lastServers {
		// An instance that is listed under a later incarnation has restarted; no partition
		// hides its earlier entry.
		if _, listed := r.Servers[id]; listed {
			continue
		}
		r.vanishedAt[s.Incarnation()] = r.now
		if s.State == garnetworks.ListedLive {
			vanished[s.Domain]++
		}
	}
	for id, at := range r.vanishedAt {
		s, back := r.server(id)
		switch {
		case back:
			delete(r.vanishedAt, id)
			r.deferDissolution(s.Domain, returnGrace)
		case r.now.Sub(at) > time.Minute:
			delete(r.vanishedAt, id)
		}
	}
	for domain := range vanished {
		if r.recentlyVanished(domain) >= partitionCount {
			r.deferDissolution(domain, returnGrace)
		}
	}
	for id := range r.lastUnresponsive {
		if s, ok := r.server(id); ok && !r.Unresponsive.Has(id) {
			r.deferDissolution(s.Domain, probeReturnGrace)
		}
	}
	r.recordDomains(r.Servers)
	r.lastServers = r.Servers
	r.lastUnresponsive = make(garnetworks.Set[garnetworks.Incarnation], len(r.Unresponsive))
	for id := range r.Unresponsive {
		r.lastUnresponsive.Add(id)
	}
}

// deferDissolution keeps a domain's groups from being dissolved for at least d.
func (r *plan) deferDissolution(domain garnetworks.DomainID, d time.Duration) {
	if until := r.now.Add(d); until.After(r.uncertainUntil[domain]) {
		r.uncertainUntil[domain] = until
	}
}

// recentlyVanished counts the entries that vanished from a domain within partitionWindow.
func (r *plan) recentlyVanished(domain garnetworks.DomainID) int {
	n := 0
	for id, at := range r.vanishedAt {
		if r.now.Sub(at) <= partitionWindow && r.domainOf[id] == domain {
			n++
		}
	}
	return n
}

// recordDomains records the domains of listed servers and drops those of servers that are
// neither listed nor recently vanished.
func (r *plan) recordDomains(servers follower.Servers) {
	for _, s := range servers {
		r.domainOf[s.Incarnation()] = s.Domain
	}
	for id := range r.domainOf {
		_, gone := r.vanishedAt[id]
		if !r.listed(id) && !gone {
			delete(r.domainOf, id)
		}
	}
}
