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

// What a node may send to a server that refused a call and asked for a pause: pauseCalls from
// pauseNotice after the refusal to the end of the pause.
const (
	pauseNotice = 500 * time.Millisecond
	pauseCalls  = 2
)

// mostInPause returns the most calls that a server got from a node within a pause that it had
// asked that node for, and the number of its pauses.
func (s *siteServers) mostInPause(id garnetworks.InstanceID) (most, pauses int) {
	for _, r := range s.refusals[id] {
		calls := 0
		for _, a := range s.arrivals[id] {
			if after := a.at.Sub(r.at); a.node == r.node && after > pauseNotice && after < s.pauses[id] {
				calls++
			}
		}
		most = max(most, calls)
	}
	return most, len(s.refusals[id])
}

// pausing returns the pauses of the first engines and plain servers.
func pausing(engines, plain int, pause time.Duration) map[garnetworks.InstanceID]time.Duration {
	pauses := make(map[garnetworks.InstanceID]time.Duration)
	for i := range engines {
		pauses[garnetworks.InstanceID(fmt.Sprintf("engine-%d", i))] = pause
	}
	for i := range plain {
		pauses[garnetworks.InstanceID(fmt.Sprintf("plain-%d", i))] = pause
	}
	return pauses
}

// Guards against a node that goes on calling a server that refused it and asked for a pause, by
// any way that calls take, and against servers that get no calls after it.
func TestNodeKeepsThePauseThatAServerAsksFor(t *testing.T) {
	cases := map[string]struct {
		engines, plain int
		pause          time.Duration
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
					s := newLimitedSite(ctx, &siteServers{pauses: pausing(c.engines, c.plain, c.pause)}, nodes, split(nodes, views), false)
					s.run()
					stop()
					synctest.Wait()
					for id := range s.servers.pauses {
						most, pauses := s.servers.mostInPause(id)
						t.Logf("%s asked for %d pauses, %d calls in one", id, pauses, most)
						if most > pauseCalls {
							t.Errorf("%s got %d calls from a node within a pause of %s, %d allowed", id, most, c.pause, pauseCalls)
						}
						if pauses == 0 || s.servers.mostInWindow(id, siteTime-limitWindow, siteTime, false) == 0 {
							t.Errorf("%s asked for %d pauses and gets no calls after them", id, pauses)
						}
					}
				})
			})
		}
	}
}

// Guards against calls that wait for servers that all asked for a longer pause, and against
// clients that are told to come back before it ends.
func TestCallsAreRefusedAtOnceWhileAllServersPause(t *testing.T) {
	for _, path := range []string{"/stream/x", "/safe/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const pause = 1800 * time.Millisecond
				ctx, stop := context.WithCancel(t.Context())
				s := newLimitedSite(ctx, &siteServers{pauses: pausing(siteEngines, sitePlainServers, pause)}, 1, split(1, 1), false)
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
				if err != nil || retryAfter != pause {
					t.Errorf("the client may come back after %q, the pause is %s", w.Header().Get("Retry-After"), pause)
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

func (slowQuarantine) Quarantined(context.Context, garnetworks.ContentDigest) (time.Duration, bool) {
	time.Sleep(quarantineWait)
	return 0, false
}

// Guards against a call that got its place before its server asked for a pause, or said that it
// leaves, and is sent later than that.
func TestCallWithAPlaceIsNotSentToAServerThatNowRefuses(t *testing.T) {
	changes := map[string]func(g *Gateway, server garnetworks.Incarnation){
		"pause":   func(g *Gateway, server garnetworks.Incarnation) { g.observePause(server, time.Minute) },
		"leaving": func(g *Gateway, server garnetworks.Incarnation) { g.observeLeaving(server) },
	}
	for name, change := range changes {
		for _, path := range []string{"/stream/x", "/safe/x", "/once/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, stop := context.WithCancel(t.Context())
					s := newLimitedSite(ctx, &siteServers{}, 1, split(1, 1), false)
					g := s.gateways[0]
					g.options.Quarantine = slowQuarantine{}
					time.Sleep(time.Second)
					go s.call(0, path)
					// The call waits once before it has a place, and again with it.
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
