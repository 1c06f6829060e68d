package former

import (
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// notePartitions finds the domains of which it is not sure what has been lost.
//
// Failure: an availability zone is cut off and its groups serve on. Its entries
// vanish one after the other, and come back one after the other; a group of which
// a part is listed looks like one that has lost members, and was dissolved the
// moment its zone came back.
func (r *plan) notePartitions() {
	vanished := make(map[garnetworks.DomainID]int)
	for id, s := range r.seen {
		// An instance that is listed under a later life has started again; its earlier
		// one is no entry that a partition hides.
		if _, listed := r.Servers[id]; listed {
			continue
		}
		r.gone[s.Incarnation()] = r.now
		if s.State == garnetworks.ListedLive {
			vanished[s.Domain]++
		}
	}
	for id, at := range r.gone {
		s, back := r.server(id)
		switch {
		case back:
			delete(r.gone, id)
			r.wait(s.Domain, returnTime)
		case r.now.Sub(at) > time.Minute:
			delete(r.gone, id)
		}
	}
	for domain := range vanished {
		if r.recentlyGone(domain) >= massCount {
			r.wait(domain, returnTime)
		}
	}
	for id := range r.dark {
		if s, ok := r.server(id); ok && !r.Dark.Has(id) {
			r.wait(s.Domain, answerTime)
		}
	}
	r.domains(r.Servers)
	r.seen = r.Servers
	r.dark = make(garnetworks.Set[garnetworks.Incarnation], len(r.Dark))
	for id := range r.Dark {
		r.dark.Add(id)
	}
}

// wait keeps a domain's groups from being dissolved for a while.
func (r *plan) wait(domain garnetworks.DomainID, d time.Duration) {
	if until := r.now.Add(d); until.After(r.unsure[domain]) {
		r.unsure[domain] = until
	}
}

// recentlyGone counts the entries that vanished from a domain within massTime.
func (r *plan) recentlyGone(domain garnetworks.DomainID) int {
	n := 0
	for id, at := range r.gone {
		if r.now.Sub(at) <= massTime && r.domainOf[id] == domain {
			n++
		}
	}
	return n
}

// domains remembers the domains of servers, also of those that have vanished.
func (r *plan) domains(servers follower.Servers) {
	for _, s := range servers {
		r.domainOf[s.Incarnation()] = s.Domain
	}
	for id := range r.domainOf {
		_, gone := r.gone[id]
		if !r.listed(id) && !gone {
			delete(r.domainOf, id)
		}
	}
}
