package matcher_test

import (
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/matcher"
)

func newIndex() *matcher.Index {
	return matcher.New(&garnetworks.Routing{
		Version: 1,
		Routes: []garnetworks.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/p/"},
			{Name: "long", Host: "a.example", PathPrefix: "/p/q/"},
			{Name: "other-host", Host: "b.example", PathPrefix: "/p/"},
		},
		Workspaces: []garnetworks.RoutedWorkspace{{Name: "w", Keys: []string{"k1", "k2"}}},
	})
}

func TestRoute(t *testing.T) {
	cases := map[string]struct{ host, target, want string }{
		"prefix":                         {"a.example", "/p/x", "short"},
		"the prefix alone":               {"a.example", "/p/", "short"},
		"longest prefix":                 {"a.example", "/p/q/x", "long"},
		"prefix without its final slash": {"a.example", "/p/q", "short"},
		"not a whole segment":            {"a.example", "/pq/x", ""},
		"query is ignored":               {"a.example", "/p/x?a=/p/q/", "short"},
		"query is not a path":            {"a.example", "/o?/p/", ""},
		"other host":                     {"b.example", "/p/q/x", "other-host"},
		"unknown host":                   {"c.example", "/p/x", ""},
		"host with port":                 {"a.example:80", "/p/x", "short"},
		"upper-case host":                {"A.Example", "/p/x", "short"},
		"escaped slash":                  {"a.example", "/p%2fx", ""},
		"dots are not resolved":          {"a.example", "/p/../o/x", "short"},
		"empty":                          {"", "", ""},
	}
	x := newIndex()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r, ok := x.Route(c.host, c.target)
			if ok != (c.want != "") || ok && r.Name != c.want {
				t.Errorf("got %v, want %q", r, c.want)
			}
		})
	}
}

func TestWorkspace(t *testing.T) {
	x := newIndex()
	for key, want := range map[string]bool{"k1": true, "k2": true, "k3": false, "": false} {
		if _, ok := x.Workspace(key); ok != want {
			t.Errorf("key %q: got ok %t", key, ok)
		}
	}
}

func TestTarget(t *testing.T) {
	weighted := &garnetworks.Route{Targets: []garnetworks.RouteTarget{{Service: "a", Weight: 90}, {Service: "none"}, {Service: "b", Weight: 10}}}
	counts := make(map[garnetworks.ServiceName]int)
	const draws = 1000
	for i := range draws {
		name, ok := matcher.Target(weighted, float64(i)/draws)
		if !ok {
			t.Fatal("no target for a random number below 1")
		}
		counts[name]++
	}
	if counts["a"] != 900 || counts["b"] != 100 {
		t.Errorf("got %v, want 900 of a and 100 of b", counts)
	}
	if _, ok := matcher.Target(&garnetworks.Route{}, 0); ok {
		t.Error("got a service, but the route has no targets")
	}
}
