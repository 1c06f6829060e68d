package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
	"github.com/garnetworks/garnetworks/meter"
)

// fakeObjectAPI holds one routing and one server, and can be made unavailable.
type fakeObjectAPI struct {
	garnetworks.ObjectAPI
	down atomic.Bool
}

func (o *fakeObjectAPI) answer(wait time.Duration) error {
	time.Sleep(wait)
	if o.down.Load() {
		return garnetworks.Errorf(garnetworks.KindObjectAPIDown, "cut")
	}
	return nil
}

func (o *fakeObjectAPI) List(_ context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	key := prefix
	if strings.HasSuffix(prefix, "/") {
		key += "s"
	}
	return []garnetworks.Object{{Key: key, Revision: 1}}, 1, o.answer(0)
}

func (o *fakeObjectAPI) Watch(context.Context, string, garnetworks.Revision, time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	const interval = 100 * time.Millisecond
	return nil, 1, o.answer(interval)
}

// siteReader decodes every object to the same routing or server.
type siteReader struct{}

func (siteReader) RoutingKey() string       { return "routing" }
func (siteReader) ServerPrefix() string     { return "servers/" }
func (siteReader) EvacuationPrefix() string { return "evacuations/" }

func (siteReader) ReadRouting([]byte) (*garnetworks.Routing, error) {
	route := func(name, prefix string, public bool) garnetworks.Route {
		return garnetworks.Route{
			Name: name, Host: "a.example", PathPrefix: prefix, Kind: garnetworks.RouteSafe, Timeout: time.Second, MaxAttempts: 1, Public: public,
			Targets: []garnetworks.RouteTarget{{Service: "svc", Weight: 1}},
		}
	}
	return &garnetworks.Routing{
		Version:    7,
		Routes:     []garnetworks.Route{route("keyed", "/keyed/", false), route("public", "/public/", true)},
		Services:   []garnetworks.RoutedService{{Name: "svc", MaxConnections: 1}},
		Workspaces: []garnetworks.RoutedWorkspace{{Name: "w", Keys: []string{"k"}}},
		Limits:     garnetworks.RequestLimits{BodyBytes: 4},
	}, nil
}

func (siteReader) ReadServer(id garnetworks.InstanceID, _ []byte) (garnetworks.RegisteredServer, error) {
	s := garnetworks.RegisteredServer{}
	s.ID, s.Service, s.State = id, "svc", garnetworks.ListedLive
	return s, nil
}

// callReader reads the workspace key from the header Key.
type callReader struct{}

func (callReader) ReadCall(r *http.Request) (*garnetworks.ProxiedCall, error) {
	return &garnetworks.ProxiedCall{ID: "c", Method: r.Method, Host: r.Host, Target: r.URL.Path, WorkspaceKey: r.Header.Get("Key"), Received: time.Now()}, nil
}

// okProxy answers each call with success.
type okProxy struct{}

func (okProxy) Send(context.Context, string, *garnetworks.ProxiedAttempt) (*garnetworks.ProxiedResponse, error) {
	return &garnetworks.ProxiedResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("x")), FromServer: true}, nil
}

// noQuarantine quarantines nothing.
type noQuarantine struct{}

func (noQuarantine) Quarantined(context.Context, garnetworks.CallIdentity) (time.Duration, bool) {
	return 0, false
}

func (noQuarantine) ReportInterrupted(garnetworks.CallIdentity, garnetworks.Incarnation) {}
func (noQuarantine) ReportSurvival(garnetworks.CallIdentity)                             {}
func (noQuarantine) ReportCompleted(garnetworks.CallIdentity)                            {}

type noRecorder struct{}

func (noRecorder) Record(garnetworks.Event) {}

// newFollowingGateway returns a gateway whose follower reads the object API until ctx ends.
func newFollowingGateway(ctx context.Context, api garnetworks.ObjectAPI, bounds garnetworks.SiteBounds) *Gateway {
	f := follower.New(follower.Options{Objects: api, Reader: siteReader{}, Recorder: noRecorder{}})
	g := New(Options{
		Bounds: bounds, Follower: f, Reader: callReader{}, Proxy: okProxy{}, Meter: meter.New(), Quarantine: noQuarantine{}, Logger: hclog.NewNullLogger(),
	})
	go func() { _ = f.Run(ctx) }() // ends with ctx
	return g
}

// Guards against a permanent refusal of a call that a newer routing than the node's allows.
func TestStaleRoutingRefusesNothingPermanently(t *testing.T) {
	const (
		fresh   = time.Second
		stale   = 3 * time.Second
		expired = 20 * time.Second
	)
	cases := map[string]struct {
		cutFor     time.Duration
		host, path string
		key, body  string
		want       int
	}{
		"unknown host, fresh":          {fresh, "b.example", "/keyed/x", "k", "", http.StatusNotFound},
		"unknown host, stale":          {stale, "b.example", "/keyed/x", "k", "", http.StatusServiceUnavailable},
		"unknown path, stale":          {stale, "a.example", "/none/x", "k", "", http.StatusServiceUnavailable},
		"unknown path, expired":        {expired, "a.example", "/none/x", "k", "", http.StatusServiceUnavailable},
		"unknown key, fresh":           {fresh, "a.example", "/keyed/x", "other", "", http.StatusUnauthorized},
		"unknown key, stale":           {stale, "a.example", "/keyed/x", "other", "", http.StatusServiceUnavailable},
		"body over the limit, fresh":   {fresh, "a.example", "/keyed/x", "k", "longer", http.StatusRequestEntityTooLarge},
		"body over the limit, stale":   {stale, "a.example", "/keyed/x", "k", "longer", http.StatusServiceUnavailable},
		"known key, fresh":             {fresh, "a.example", "/keyed/x", "k", "", http.StatusOK},
		"known key, stale":             {stale, "a.example", "/keyed/x", "k", "", http.StatusOK},
		"known key, expired":           {expired, "a.example", "/keyed/x", "k", "", http.StatusServiceUnavailable},
		"known route, no key, stale":   {stale, "a.example", "/public/x", "", "", http.StatusOK},
		"known route, no key, expired": {expired, "a.example", "/public/x", "", "", http.StatusOK},
		"public, unknown key, expired": {expired, "a.example", "/public/x", "other", "", http.StatusOK},
		"unknown host, no key, fresh":  {fresh, "b.example", "/x", "", "", http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				api := &fakeObjectAPI{}
				ctx, stop := context.WithCancel(t.Context())
				g := newFollowingGateway(ctx, api, garnetworks.SiteBounds{ApplyTime: 2 * time.Second, RevokeTime: 5 * time.Second})
				time.Sleep(time.Second)
				api.down.Store(true)
				time.Sleep(c.cutFor)
				r := httptest.NewRequest(http.MethodPost, c.path, strings.NewReader(c.body))
				r.Host = c.host
				r.Header.Set("Key", c.key)
				w := httptest.NewRecorder()
				g.ServeHTTP(w, r)
				if w.Code != c.want {
					t.Errorf("status %d, want %d", w.Code, c.want)
				}
				if again := w.Header().Get("Retry-After") != ""; again != (c.want == http.StatusServiceUnavailable) {
					t.Errorf("status %d with Retry-After %q", w.Code, w.Header().Get("Retry-After"))
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
