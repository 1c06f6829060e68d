// Package matcher finds what the operators' routing says of a call: its route,
// the workspace that holds its key, and the service that it goes to. It is pure;
// an Index is built once for each routing and never changes.
//
//	M1  Of a host's routes, the one with the longest prefix that begins the path
//	    counts. Prefixes end with a slash, so the path is looked up at each of
//	    its slashes from the last to the first.
//	M2  The path is matched as it stands on the request line, since it is passed
//	    on like that; nothing is unescaped or cleaned.
package matcher

import (
	"net"
	"strings"

	"github.com/garnetworks/garnetworks"
)

// Index answers for one routing.
type Index struct {
	*garnetworks.Routing
	// hosts maps a host to its routes by prefix.
	hosts      map[string]map[string]*garnetworks.Route
	workspaces map[string]*garnetworks.RoutedWorkspace
	services   map[garnetworks.ServiceName]*garnetworks.RoutedService
}

// New returns an index of the routing, which nobody may change afterwards.
func New(routing *garnetworks.Routing) *Index {
	x := &Index{
		Routing:    routing,
		hosts:      make(map[string]map[string]*garnetworks.Route),
		workspaces: make(map[string]*garnetworks.RoutedWorkspace),
		services:   make(map[garnetworks.ServiceName]*garnetworks.RoutedService),
	}
	for i := range routing.Routes {
		r := &routing.Routes[i]
		host := strings.ToLower(r.Host)
		if x.hosts[host] == nil {
			x.hosts[host] = make(map[string]*garnetworks.Route)
		}
		x.hosts[host][r.PathPrefix] = r
	}
	for i := range routing.Workspaces {
		w := &routing.Workspaces[i]
		for _, key := range w.Keys {
			x.workspaces[key] = w
		}
	}
	for i := range routing.Services {
		x.services[routing.Services[i].Name] = &routing.Services[i]
	}
	return x
}

// Route returns the route of a request by its host and its target as on the
// request line (rules M1 and M2).
func (x *Index) Route(host, target string) (*garnetworks.Route, bool) {
	prefixes := x.hosts[hostName(host)]
	if prefixes == nil {
		return nil, false
	}
	path, _, _ := strings.Cut(target, "?")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host in lower case without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Workspace returns the workspace that holds the key.
func (x *Index) Workspace(key string) (*garnetworks.RoutedWorkspace, bool) {
	w, ok := x.workspaces[key]
	return w, ok
}

// Service returns a service by its name.
func (x *Index) Service(name garnetworks.ServiceName) (*garnetworks.RoutedService, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Target returns the service that a call of the route goes to, by weight; random
// is in [0, 1).
func Target(route *garnetworks.Route, random float64) (garnetworks.ServiceName, bool) {
	sum := 0.0
	for _, t := range route.Targets {
		sum += t.Weight
	}
	if sum <= 0 {
		return "", false
	}
	remaining := random * sum
	for _, t := range route.Targets {
		if t.Weight <= 0 {
			continue
		}
		if remaining < t.Weight {
			return t.Service, true
		}
		remaining -= t.Weight
	}
	// Rounding can leave a rest above the last weight.
	for i := len(route.Targets) - 1; i >= 0; i-- {
		if route.Targets[i].Weight > 0 {
			return route.Targets[i].Service, true
		}
	}
	return "", false
}
