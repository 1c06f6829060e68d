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

	"github.com/garnetworks/garnetworks"
)

// beginningQuarantine quarantines all calls after the given number of checks.
type beginningQuarantine struct {
	noQuarantine
	checks, free atomic.Int64
}

func (q *beginningQuarantine) Quarantined(context.Context, garnetworks.CallIdentity) (time.Duration, bool) {
	if q.checks.Add(1) <= q.free.Load() {
		return 0, false
	}
	return time.Minute, true
}

// breakingProxy breaks off each attempt, after some events if it is a stream.
type breakingProxy struct {
	events string
	sent   atomic.Int64
}

func (p *breakingProxy) Send(context.Context, string, *garnetworks.ProxiedAttempt) (*garnetworks.ProxiedResponse, error) {
	p.sent.Add(1)
	if p.events == "" {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: io.ErrUnexpectedEOF}
	}
	return &garnetworks.ProxiedResponse{
		Status: http.StatusOK, Header: http.Header{}, FromServer: true,
		Body: io.NopCloser(io.MultiReader(strings.NewReader(p.events), brokenReader{})),
	}, nil
}

// Guards against a way to servers that bypasses the quarantine.
func TestQuarantinedCallIsSentNowhere(t *testing.T) {
	const (
		events = "id: 1\ndata: x\n\n"
		// settledTime is when a node that was started has its retries.
		settledTime = 30 * time.Second
	)
	cases := map[string]struct {
		path      string
		events    string
		delegated bool
		// free is the number of checks before the quarantine begins, sent that of attempts.
		free, sent int64
	}{
		"on arrival":                {path: "/stream/x"},
		"after waiting for a slot":  {path: "/stream/x", free: 1},
		"retry":                     {path: "/stream/x", free: 2, sent: 1},
		"resumed stream":            {path: "/stream/x", events: events, free: 2, sent: 1},
		"from another node":         {path: "/stream/x", delegated: true},
		"from another node, queued": {path: "/stream/x", delegated: true, free: 1},
		"plain service":             {path: "/safe/x", free: 1},
		"retry of a plain service":  {path: "/safe/x", free: 2, sent: 1},
		"at most once":              {path: "/once/x", free: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				q, proxy := &beginningQuarantine{}, &breakingProxy{events: c.events}
				q.free.Store(c.free)
				s := newLimitedSite(ctx, &siteServers{quarantine: q, proxy: proxy}, 2, split(2, 1), false)
				g := s.gateways[0]
				time.Sleep(settledTime)
				s.exchange()
				r := httptest.NewRequest(http.MethodPost, c.path, nil)
				r.Host = "a.example"
				func() {
					defer func() { _ = recover() }() // a stream that was begun is broken off
					if c.delegated {
						g.ServeDelegated(httptest.NewRecorder(), r)
						return
					}
					g.ServeHTTP(httptest.NewRecorder(), r)
				}()
				if n := proxy.sent.Load(); n != c.sent {
					t.Errorf("%d attempts reached servers, want %d", n, c.sent)
				}
				if n := q.checks.Load(); n <= c.free {
					t.Errorf("%d checks, the quarantine begins after %d", n, c.free)
				}
				stop()
				time.Sleep(time.Minute)
			})
		})
	}
}
