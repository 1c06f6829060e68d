package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// server is a backend server of a plain service.
type server struct {
	view     garnetworks.ServerView
	inFlight int
	// leaving is set once the server itself has said that it is leaving. It stays set while the
	// views list the instance at this address, since they lag behind the server.
	leaving  bool
	cooldown cooldown
	// backoffUntil is the end of the backoff that the server requested when it refused a call.
	backoffUntil int64
}

// service holds the servers of a plain service, sorted by instance.
type service struct {
	servers []*server
}

func (s *service) find(id garnetworks.InstanceID) *server {
	for _, v := range s.servers {
		if v.view.Instance == id {
			return v
		}
	}
	return nil
}

// setServers rebuilds the services from all views and keeps the state of known servers.
func (t *table) setServers() {
	services := map[garnetworks.ServiceName]*service{}
	for _, z := range t.zones {
		for _, view := range z.servers {
			s := services[view.Service]
			if s == nil {
				s = &service{}
				services[view.Service] = s
			}
			s.servers = append(s.servers, t.serverFor(view))
		}
	}
	for _, s := range services {
		slices.SortFunc(s.servers, func(a, b *server) int {
			return cmp.Compare(a.view.Instance, b.view.Instance)
		})
	}
	t.services = services
}

// serverFor returns the server's state with the new view. A new address means a new process,
// for which the statements and failures of its predecessor don't count.
func (t *table) serverFor(view garnetworks.ServerView) *server {
	if s := t.services[view.Service]; s != nil {
		if v := s.find(view.Instance); v != nil {
			if v.view.Address != view.Address {
				v.leaving, v.backoffUntil = false, 0
				v.cooldown.succeed()
			}
			v.view = view
			return v
		}
	}
	return &server{view: view}
}

// accepts reports whether the server may get new work (R11, R12).
func (v *server) accepts(now int64, tried []garnetworks.InstanceID) bool {
	return !v.view.Leaving && !v.leaving && v.backoffUntil <= now && !slices.Contains(tried, v.view.Instance)
}

// serverBackoffLeft returns the time until the first backoff of a service's server ends; 0 if there is
// none.
func (t *table) serverBackoffLeft(now int64, name garnetworks.ServiceName) time.Duration {
	s := t.services[name]
	if s == nil {
		return 0
	}
	left := time.Duration(0)
	for _, v := range s.servers {
		if !v.view.Leaving && !v.leaving {
			left = shorterBackoff(left, v.backoffUntil-now)
		}
	}
	return left
}

// chooseServer returns the less loaded of two random servers of the best class: own zone and
// reachable, other zones and reachable, the rest.
func (t *table) chooseServer(now int64, name garnetworks.ServiceName, tried []garnetworks.InstanceID) *server {
	s := t.services[name]
	if s == nil {
		return nil
	}
	class := 3
	var a, b *server
	count := uint64(0)
	for _, v := range s.servers {
		c := t.class(now, v)
		if !v.accepts(now, tried) || c > class {
			continue
		}
		if c < class {
			class, a, b, count = c, nil, nil, 0
		}
		count++
		// Reservoir sampling keeps two random servers of the class.
		switch {
		case a == nil:
			a = v
		case b == nil:
			b = v
		default:
			if i := t.next() % count; i == 0 {
				a = v
			} else if i == 1 {
				b = v
			}
		}
	}
	if b != nil && b.inFlight < a.inFlight {
		return b
	}
	if b != nil && b.inFlight == a.inFlight && t.next()%2 == 0 {
		return b
	}
	return a
}

// class ranks a server; 0 is best.
func (t *table) class(now int64, v *server) int {
	switch {
	case v.cooldown.until > now:
		return 2
	case v.view.Zone == t.options.Zone:
		return 0
	}
	return 1
}

func (t *table) serverStarted(name garnetworks.ServiceName, id garnetworks.InstanceID) {
	if s := t.services[name]; s != nil {
		if v := s.find(id); v != nil {
			v.inFlight++
		}
	}
}

func (t *table) serverFinished(now int64, name garnetworks.ServiceName, id garnetworks.InstanceID, result garnetworks.AttemptResult) {
	s := t.services[name]
	if s == nil {
		return
	}
	v := s.find(id)
	if v == nil {
		return
	}
	v.inFlight = max(0, v.inFlight-1)
	if result.Leaving {
		v.leaving = true
	}
	v.backoffUntil = max(v.backoffUntil, now+int64(result.RetryAfter))
	switch result.Phase {
	case garnetworks.PhaseConnect:
		v.cooldown.fail(now)
	case garnetworks.PhaseDone:
		v.cooldown.succeed()
	}
}
