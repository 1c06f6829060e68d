package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker/impersonator"
	"github.com/garnetworks/garnetworks/scheduler"
)

// Guards against a stopping node that begins calls that may last longer than it does, or refuses others.
func TestStoppingNodeBeginsNoCallThatItMayCutOff(t *testing.T) {
	// The routes' timeout is 3 s.
	const before, after = 2 * time.Second, 4 * time.Second
	type attemptEnd = func(context.Context) (*garnetworks.ProxiedResponse, error)
	failing := func(phase garnetworks.CallPhase) attemptEnd {
		return func(context.Context) (*garnetworks.ProxiedResponse, error) {
			return nil, &garnetworks.AttemptError{Phase: phase, Cause: errors.New("the connection broke off")}
		}
	}
	cases := map[string]struct {
		paths []string
		// end is how the first attempt ends; the node closes during it, or before the call if it is nil.
		end attemptEnd
		// left is the time from closing to the end of calls.
		left   time.Duration
		sends  int
		status int
	}{
		"begins late":                {[]string{"/stream/x", "/stream-once/x", "/safe/x", "/once/x"}, nil, before, 0, http.StatusServiceUnavailable},
		"ends in time":               {[]string{"/stream/x", "/stream-once/x", "/safe/x", "/once/x"}, nil, after, 1, http.StatusOK},
		"not sent, repeated late":    {[]string{"/stream/x", "/stream-once/x", "/safe/x", "/once/x"}, failing(garnetworks.PhaseConnect), before, 1, http.StatusServiceUnavailable},
		"not sent, repeated in time": {[]string{"/stream/x", "/stream-once/x", "/safe/x", "/once/x"}, failing(garnetworks.PhaseConnect), after, 2, http.StatusOK},
		"may have run, repeatable":   {[]string{"/stream/x", "/safe/x"}, failing(garnetworks.PhaseWait), before, 2, http.StatusOK},
		"may have run":               {[]string{"/stream-once/x", "/once/x"}, failing(garnetworks.PhaseWait), before, 1, http.StatusBadGateway},
	}
	for name, c := range cases {
		for _, path := range c.paths {
			for _, delegated := range []bool{false, true} {
				t.Run(name+", "+path+map[bool]string{true: ", from another node"}[delegated], func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, stop := context.WithCancel(t.Context())
						proxy := &endingProxy{}
						s := newLimitedSite(ctx, &siteServers{proxy: proxy}, 2, split(2, 1), false)
						g := s.gateways[0]
						time.Sleep(30 * time.Second) // the node has its retries
						s.exchange()
						proxy.end = func(ctx context.Context) (*garnetworks.ProxiedResponse, error) {
							g.Close(time.Now().Add(c.left))
							return c.end(ctx)
						}
						if c.end == nil {
							g.Close(time.Now().Add(c.left))
							proxy.end = func(context.Context) (*garnetworks.ProxiedResponse, error) {
								return serverAnswer(http.StatusOK, answerText(strings.HasPrefix(path, "/stream"))), nil
							}
						}
						r := httptest.NewRequest(http.MethodPost, path, nil)
						r.Host = "a.example"
						w := httptest.NewRecorder()
						if delegated {
							g.ServeDelegated(w, r)
						} else {
							g.ServeHTTP(w, r)
						}
						if proxy.sends != c.sends || w.Code != c.status {
							t.Errorf("sent %d times, status %d, want %d and %d", proxy.sends, w.Code, c.sends, c.status)
						}
						if refused := w.Code == http.StatusServiceUnavailable; refused && w.Header().Get("Retry-After") == "" {
							t.Error("refused without Retry-After")
						} else if untaken := w.Header().Get("Garnet-Untaken") != ""; untaken != (refused && delegated) {
							t.Errorf("refused %t, said to be untaken %t", refused, untaken)
						}
						stop()
						time.Sleep(time.Minute)
					})
				})
			}
		}
	}
}

// Guards against calls that wait for a slot until there is no time left for them.
func TestStoppingNodeRefusesWaitingCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		g := newFollowingGateway(ctx, limitedAPI{}, garnetworks.SiteBounds{})
		g.scheduler.SetGroups(time.Now(), []scheduler.Group{{ID: "g", Model: "m", Slots: 1}})
		if d, ok := newStream(g, 8*time.Second).place(); !ok || d.Group == "" {
			t.Fatalf("not placed: %+v", d)
		}
		type result struct {
			scheduler.Decision
			ok    bool
			after time.Duration
		}
		start := time.Now()
		results := make(map[time.Duration]chan result)
		for _, patience := range []time.Duration{time.Second, 7 * time.Second} {
			results[patience] = make(chan result, 1)
			s := newStream(g, patience)
			s.ctx, s.cancel = context.WithDeadline(ctx, s.deadline)
			go func() {
				d, ok := s.place()
				results[patience] <- result{d, ok, time.Since(start)}
			}()
		}
		synctest.Wait()
		g.Close(start.Add(5 * time.Second))
		if r := <-results[7*time.Second]; r.Kind != garnetworks.KindShuttingDown || r.after > 0 {
			t.Errorf("the call that may last longer than the node: %+v", r)
		}
		if r := <-results[time.Second]; r.Kind == garnetworks.KindShuttingDown || r.after == 0 {
			t.Errorf("the call that ends before the node: %+v", r)
		}
		stop()
		time.Sleep(time.Minute)
	})
}

// Guards against calls in flight at the end of a planned stop that are answered as if their clients had left.
func TestCallsAtTheEndOfTheNodeAreAnsweredAsLost(t *testing.T) {
	for _, path := range []string{"/stream/x", "/stream-once/x", "/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				proxy := &endingProxy{end: func(ctx context.Context) (*garnetworks.ProxiedResponse, error) {
					<-ctx.Done()
					return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: ctx.Err()}
				}}
				s := newLimitedSite(ctx, &siteServers{proxy: proxy}, 2, split(2, 1), false)
				time.Sleep(30 * time.Second)
				requests, end := context.WithCancelCause(ctx)
				time.AfterFunc(100*time.Millisecond, func() { end(ErrStopped) })
				r := httptest.NewRequestWithContext(requests, http.MethodPost, path, nil)
				r.Host = "a.example"
				w := httptest.NewRecorder()
				s.gateways[0].ServeHTTP(w, r)
				if proxy.sends != 1 || w.Code != http.StatusGatewayTimeout {
					t.Errorf("sent %d times, status %d", proxy.sends, w.Code)
				}
				stop()
				time.Sleep(time.Minute)
			})
		})
	}
}

// closingDelegator closes the gateway as it hands over the first call, which the other node does not take.
type closingDelegator struct {
	garnetworks.CallDelegator
	close func()
	calls int
}

func (d *closingDelegator) Delegate(ctx context.Context, address string, call *garnetworks.DelegatedCall) (*garnetworks.DelegatedResponse, error) {
	if d.calls++; d.calls > 1 {
		return d.CallDelegator.Delegate(ctx, address, call)
	}
	d.close()
	return &garnetworks.DelegatedResponse{Status: http.StatusServiceUnavailable, Header: http.Header{}, Body: http.NoBody, Untaken: true}, nil
}

// Guards against a stopping node that hands over calls of which it can't pass on the answers.
func TestStoppingNodeHandsOverNoLateCall(t *testing.T) {
	cases := map[string]struct {
		left   time.Duration
		calls  int
		status int
	}{
		"late":    {2 * time.Second, 1, http.StatusServiceUnavailable},
		"in time": {4 * time.Second, 2, http.StatusOK},
	}
	for name, c := range cases {
		for _, path := range []string{"/stream/x", "/safe/x", "/once/x"} {
			t.Run(name+", "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					s := newLimitedSite(ctx, &siteServers{sound: true}, 3, split(3, 1), false)
					g := s.gateways[0]
					delegator := &closingDelegator{CallDelegator: siteDelegator{s, 0}, close: func() { g.Close(time.Now().Add(c.left)) }}
					g.options.Delegator = delegator
					time.Sleep(30 * time.Second)
					s.exchange()
					s.links[0].Cut(impersonator.LinksReset)
					r := httptest.NewRequest(http.MethodPost, path, nil)
					r.Host = "a.example"
					w := httptest.NewRecorder()
					g.ServeHTTP(w, r)
					if delegator.calls != c.calls || w.Code != c.status {
						t.Errorf("handed over %d times, status %d, want %d and %d", delegator.calls, w.Code, c.calls, c.status)
					}
					stop()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// BenchmarkBody measures what a body costs for being ended when the node stops.
func BenchmarkBody(b *testing.B) {
	x := &exchange{Gateway: &Gateway{stop: newStop()}}
	b.ReportAllocs()
	for b.Loop() {
		x.endWhenClosing(func() {})()
	}
}
