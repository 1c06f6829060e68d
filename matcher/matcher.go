// Package matcher looks up the routing of a call: its route, the workspace that owns its key,
// and its target service. It is pure; an Index is built once for each routing and never changes.
//
//	M1  Of a host's routes, the one with the longest prefix that begins the path is used.
//	    Prefixes end with a slash, so the path is looked up at each of its slashes from the
//	    last to the first.
//	M2  The path is matched as it appears on the request line, since it is forwarded
//	    unchanged; nothing is unescaped or normalized.
package matcher

import (
	"net"
	"strings"

	"github.com/garnetworks/garnetworks"
)

// Index looks up routes, workspaces and services of one routing. It is safe for concurrent use.
type Index struct {
	*garnetworks.Routing
	// hosts maps a host to its routes by prefix.
	hosts      map[string]map[string]*garnetworks.Route
	workspaces map[string]*garnetworks.RoutedWorkspace
	services   map[garnetworks.ServiceName]*garnetworks.RoutedService
}

// New returns an index of the routing, which must not be changed afterwards.
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

// Route returns the route for a request's host and its target as on the request line (rules M1
// and M2).
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

// Workspace returns the workspace that owns the key.
func (x *Index) Workspace(key string) (*garnetworks.RoutedWorkspace, bool) {
	w, ok := x.workspaces[key]
	return w, ok
}

// Service returns a service by its name.
func (x *Index) Service(name garnetworks.ServiceName) (*garnetworks.RoutedService, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Target chooses the service for a call of the route at random by weight; random must be in
// [0, 1). It returns false if no target has a positive weight.
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
	// Rounding errors can leave a remainder after the last weight.
	for i := len(route.Targets) - 1; i >= 0; i-- {
		if route.Targets[i].Weight > 0 {
			return route.Targets[i].Service, true
		}
	}
	return "", false
}
