package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker/impersonator"
	"github.com/garnetworks/garnetworks/launcher"
	"github.com/garnetworks/garnetworks/platform"
)

// site is a whole site over loopback: fake backends, a fake store and one node.
type site struct {
	t        *testing.T
	store    *impersonator.Store
	node     *launcher.Launcher
	engines  []*impersonator.Backend
	services []*impersonator.Backend
	url      string
	ready    string
	metrics  string
	logs     *logBuffer
	// links are the node's links to the backends.
	links *impersonator.Links
	stop  context.CancelFunc
	// name is the node's; seeds are addresses of other nodes that it contacts at its start.
	name  garnetworks.NodeID
	seeds []string
	peers string
	// done is closed when the node has ended.
	done   chan struct{}
	client *http.Client
}

// logBuffer collects a node's log.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const (
	host      = "a.example"
	streamURL = "/llm/x"
	onceURL   = "/once/x"
	safeURL   = "/safe/x"
	key       = "k1"
	// retrySpan is the time from a node's start after which it has all its retries.
	retrySpan = time.Second
)

// config returns an operator's configuration with a version and keys.
func config(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "path-prefix": prefix, "kind": kind, "service": service, "attempts": attempts,
			"timeout-ms": 5000, "slo-ms": 1000, "gap-aim-ms": 500, "priority": 1, "can-resume": kind == "streaming",
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("stream", "/llm/", "streaming", "llm", 2), route("once", "/once/", "unsafe", "svc", 1), route("safe", "/safe/", "safe", "svc", 2),
		},
		"services": []any{
			map[string]any{"name": "llm", "health-path": "/healthz", "max-connections": 100, "engine": map[string]any{
				"slots": 8, "stride": 1, "loads-per-s": 100, "loads_at_once": 8, "form-ms": 1,
				"models": []any{map[string]any{"name": "m", "size": 3, "share": 1, "pace": 1, "load-s": 1, "warm-s": 1}},
			}},
			map[string]any{"name": "svc", "health-path": "/healthz", "max-connections": 100},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4096, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "w1", "api-keys": keys}},
	}
}

// newSite starts a site with engines in one domain and two servers of a plain service.
func newSite(t *testing.T, engines int) *site {
	t.Helper()
	s := &site{t: t, name: "n1", store: impersonator.NewStore(), logs: &logBuffer{}, client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(s.store.Close)
	for i := range engines {
		s.engines = append(s.engines, impersonator.NewBackend(s.store, fmt.Sprintf("i-%d", i), "llm", "z1", "d1"))
	}
	for i := range 2 {
		s.services = append(s.services, impersonator.NewBackend(s.store, fmt.Sprintf("s-%d", i), "svc", "z1", ""))
	}
	for _, b := range append(append([]*impersonator.Backend(nil), s.engines...), s.services...) {
		t.Cleanup(b.Close)
	}
	s.store.Set("config", "main", config(1, key))
	s.start()
	return s
}

// start starts the site's node.
func (s *site) start() {
	s.t.Helper()
	callers, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	ready, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	metrics, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.metrics = "http://" + metrics.Addr().String() + "/metrics"
	s.url, s.ready = "http://"+callers.Addr().String(), "http://"+ready.Addr().String()+"/v1/readyz"
	s.peers = peers.Addr().String()
	backends := platform.NewBackends()
	s.links = impersonator.NewLinks(backends, platform.NewOrders())
	node, err := launcher.New(launcher.Options{
		Site: garnetworks.NodeSettings{
			Node: s.name, Zone: "z1", Region: "r", PeerAddress: s.peers, Seeds: s.seeds,
			Bounds: garnetworks.SiteBounds{
				RevokeTime: 5 * time.Second, StopGrace: time.Minute, StallTime: 4 * time.Second, LoadWindow: 5 * time.Second,
				LoadOverage: 1.1, RetryRatio: 0.2, RetrySlack: 600, RetryWindow: retrySpan,
			},
		},
		Listeners: launcher.Listeners{Callers: callers, Ready: ready, Peers: peers, Metrics: metrics},
		Objects:   platform.NewStore(s.store.Address()), Reader: platform.SiteReader{}, Calls: platform.CallReader{},
		BalancerTime: 50 * time.Millisecond,
		Proxy:        s.links, Orders: s.links, Ready: platform.ReadyHandler, Sweep: backends.Sweep,
		Logger: hclog.New(&hclog.LoggerOptions{Output: s.logs, JSONFormat: true}),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.node, s.stop, s.done = node, stop, done
	go func() {
		defer close(done)
		if err := node.Run(ctx); err != nil {
			s.t.Errorf("the node ended with %v", err)
		}
	}()
	s.t.Cleanup(func() {
		stop()
		s.client.CloseIdleConnections()
		<-done
		if s.t.Failed() {
			s.t.Log(s.logs.String())
		}
	})
}

// join starts another node of the same site.
func (s *site) join(name garnetworks.NodeID) *site {
	s.t.Helper()
	other := *s
	other.name, other.seeds, other.logs = name, []string{s.peers}, &logBuffer{}
	other.start()
	return &other
}

// answer is a client's result of a call.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

var callNumber struct {
	sync.Mutex
	n int
}

func newID() string {
	callNumber.Lock()
	defer callNumber.Unlock()
	callNumber.n++
	return fmt.Sprintf("r%d", callNumber.n)
}

// call sends a call and reads its complete answer.
func (s *site) call(method, target string, change func(*http.Request)) answer {
	s.t.Helper()
	r, err := http.NewRequestWithContext(s.t.Context(), method, s.url+target, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = host
	r.Header.Set("Garnetworks-Request-Id", newID())
	r.Header.Set("Garnetworks-Deadline-Ms", "5000")
	r.Header.Set("Authorization", "Token "+key)
	if strings.HasPrefix(target, "/llm/") {
		r.Header.Set("Garnetworks-Model", "m")
		r.Header.Set("Garnetworks-Token-Usage", "100,50")
	}
	if change != nil {
		change(r)
	}
	response, err := s.client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(body), err}
}

// awaitSuccess waits until a call to the target succeeds.
func (s *site) awaitSuccess(target string) {
	s.t.Helper()
	s.eventually("a call to "+target+" succeeds", func() bool {
		a := s.call(http.MethodPost, target, nil)
		return a.err == nil && a.status == http.StatusOK
	})
}

func (s *site) eventually(what string, condition func() bool) {
	s.t.Helper()
	const timeout, interval = time.Minute, 10 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out waiting until %s", what)
}

// metric returns the value of a metric without labels.
func (s *site) metric(name string) float64 {
	s.t.Helper()
	response, err := s.client.Get(s.metrics)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	for line := range strings.Lines(string(body)) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if err != nil {
				s.t.Fatal(err)
			}
			return value
		}
	}
	s.t.Fatalf("no metric %s", name)
	return 0
}

// head returns the engine that has run calls, as head of an open group.
func (s *site) head() *impersonator.Backend {
	for _, e := range s.engines {
		if len(e.Runs()) > 0 {
			return e
		}
	}
	s.t.Fatal("no engine ran a call")
	return nil
}

func streamBody(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}
