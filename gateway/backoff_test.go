package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// What a node may send to a server that refused a call with a backoff: backoffCalls from
// backoffNotice after the refusal to the end of the backoff.
const (
	backoffNotice = 500 * time.Millisecond
	backoffCalls  = 2
)

// mostInBackoff returns the most calls that a server got from a node within a backoff that it had
// requested from that node, and the number of its backoffs.
func (s *siteServers) mostInBackoff(id garnetworks.InstanceID) (most, backoffs int) {
	for _, r := range s.refusals[id] {
		calls := 0
		for _, a := range s.arrivals[id] {
			if after := a.at.Sub(r.at); a.node == r.node && after > backoffNotice && after < s.backoffs[id] {
				calls++
			}
		}
		most = max(most, calls)
	}
	return most, len(s.refusals[id])
}

// backoffsOf returns the backoffs of the first engines and plain servers.
func backoffsOf(engines, plain int, backoff time.Duration) map[garnetworks.InstanceID]time.Duration {
	backoffs := make(map[garnetworks.InstanceID]time.Duration)
	for i := range engines {
		backoffs[garnetworks.InstanceID(fmt.Sprintf("engine-%d", i))] = backoff
	}
	for i := range plain {
		backoffs[garnetworks.InstanceID(fmt.Sprintf("plain-%d", i))] = backoff
	}
	return backoffs
}

// Guards against any kind of call to a server during the backoff that it requested from the node.
func TestNodeBacksOffAsAServerRequests(t *testing.T) {
	cases := map[string]struct {
		engines, plain int
		backoff        time.Duration
	}{
		"few servers":  {2, 1, 3 * time.Second},
		"most servers": {siteEngines - 2, sitePlainServers - 1, 3 * time.Second},
		"all servers":  {siteEngines, sitePlainServers, 2 * time.Second},
	}
	for name, c := range cases {
		for _, inTouch := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, in touch %t", name, inTouch), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const nodes = 6
					views := 1
					if !inTouch {
						views = nodes
					}
					ctx, stop := context.WithCancel(t.Context())
					s := newLimitedSite(ctx, &siteServers{backoffs: backoffsOf(c.engines, c.plain, c.backoff)}, nodes, split(nodes, views), false)
					s.run()
					stop()
					synctest.Wait()
					for id := range s.servers.backoffs {
						most, backoffs := s.servers.mostInBackoff(id)
						t.Logf("%s requested %d backoffs, %d calls in one", id, backoffs, most)
						if most > backoffCalls {
							t.Errorf("%s got %d calls from a node within a backoff of %s, %d allowed", id, most, c.backoff, backoffCalls)
						}
						if backoffs == 0 || s.servers.mostInWindow(id, siteTime-limitWindow, siteTime, false) == 0 {
							t.Errorf("%s requested %d backoffs and gets no calls after them", id, backoffs)
						}
					}
				})
			})
		}
	}
}

// Guards against calls that wait, or return too early, while all servers have requested a backoff.
func TestCallsAreRejectedAtOnceDuringAllBackoffs(t *testing.T) {
	for _, path := range []string{"/stream/x", "/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const backoff = 1800 * time.Millisecond
				ctx, stop := context.WithCancel(t.Context())
				s := newLimitedSite(ctx, &siteServers{backoffs: backoffsOf(siteEngines, sitePlainServers, backoff)}, 1, split(1, 1), false)
				time.Sleep(limitsFrom)
				send := func() *httptest.ResponseRecorder {
					r := httptest.NewRequest(http.MethodPost, path, nil)
					r.Host = "a.example"
					w := httptest.NewRecorder()
					s.gateways[0].ServeHTTP(w, r)
					return w
				}
				for range 10 * siteEngines {
					send()
				}
				began := time.Now()
				w := send()
				if took := time.Since(began); w.Code != http.StatusServiceUnavailable || took > 0 {
					t.Errorf("the call got status %d after %s", w.Code, took)
				}
				retryAfter, err := time.ParseDuration(w.Header().Get("Retry-After") + "s")
				if err != nil || retryAfter != backoff {
					t.Errorf("the client may come back after %q, the backoff is %s", w.Header().Get("Retry-After"), backoff)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}

// slowQuarantine lets each call wait for quarantineWait before its attempts.
type slowQuarantine struct{ noQuarantine }

const quarantineWait = time.Second

func (slowQuarantine) Quarantined(context.Context, garnetworks.CallIdentity) (time.Duration, bool) {
	time.Sleep(quarantineWait)
	return 0, false
}

// Guards against sending a call whose server has requested a backoff, or leaves, since it got its slot.
func TestCallWithASlotIsNotSentToARefusingServer(t *testing.T) {
	changes := map[string]func(g *Gateway, server garnetworks.Incarnation){
		"backoff": func(g *Gateway, server garnetworks.Incarnation) { g.observeRetryAfter(server, time.Minute) },
		"leaving": func(g *Gateway, server garnetworks.Incarnation) { g.observeLeaving(server) },
	}
	for name, change := range changes {
		for _, path := range []string{"/stream/x", "/safe/x", "/once/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					s := newLimitedSite(ctx, &siteServers{quarantine: slowQuarantine{}}, 1, split(1, 1), false)
					g := s.gateways[0]
					time.Sleep(time.Second)
					go s.call(0, path)
					// The call waits once before it gets a slot, and again after that.
					time.Sleep(quarantineWait + quarantineWait/2)
					for i := range siteEngines {
						change(g, garnetworks.Incarnation{Instance: garnetworks.InstanceID(fmt.Sprintf("engine-%d", i))})
					}
					for i := range sitePlainServers {
						change(g, garnetworks.Incarnation{Instance: garnetworks.InstanceID(fmt.Sprintf("plain-%d", i))})
					}
					time.Sleep(quarantineWait)
					for id, arrivals := range s.servers.arrivals {
						t.Errorf("%s got %d calls", id, len(arrivals))
					}
					stop()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}
