package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/splicer"
)

// endingProxy ends the first attempt of each call in one way, and completes the later ones.
type endingProxy struct {
	end func(ctx context.Context) (*garnetworks.ProxiedResponse, error)

	mu    sync.Mutex
	sends int
}

func (p *endingProxy) Send(ctx context.Context, _ string, attempt *garnetworks.ProxiedAttempt) (*garnetworks.ProxiedResponse, error) {
	p.mu.Lock()
	p.sends++
	first := p.sends == 1
	p.mu.Unlock()
	if first {
		return p.end(ctx)
	}
	return serverAnswer(http.StatusOK, answerText(attempt.Model != "")), nil
}

// answerText returns the text of a whole answer.
func answerText(streamed bool) io.Reader {
	if streamed {
		return strings.NewReader("id: 1\ndata: x\n\n")
	}
	return strings.NewReader("x")
}

func serverAnswer(status int, body io.Reader) *garnetworks.ProxiedResponse {
	return &garnetworks.ProxiedResponse{Status: status, Header: http.Header{}, FromServer: true, Body: io.NopCloser(body)}
}

// Guards against a call that may run once and is sent again, or refused, after it may have run.
func TestCallThatMayHaveRunIsNotRefused(t *testing.T) {
	failing := func(phase garnetworks.CallPhase) func(context.Context) (*garnetworks.ProxiedResponse, error) {
		return func(context.Context) (*garnetworks.ProxiedResponse, error) {
			return nil, &garnetworks.AttemptError{Phase: phase, Cause: errors.New("the connection broke off")}
		}
	}
	answering := func(status int, body func() io.Reader) func(context.Context) (*garnetworks.ProxiedResponse, error) {
		return func(context.Context) (*garnetworks.ProxiedResponse, error) { return serverAnswer(status, body()), nil }
	}
	text := func(s string) func() io.Reader { return func() io.Reader { return strings.NewReader(s) } }
	unstamped := func(ctx context.Context) (*garnetworks.ProxiedResponse, error) {
		answer := serverAnswer(http.StatusServiceUnavailable, strings.NewReader("x"))
		answer.FromServer = false
		return answer, nil
	}
	refusing := func(status int) func(context.Context) (*garnetworks.ProxiedResponse, error) {
		return func(context.Context) (*garnetworks.ProxiedResponse, error) {
			answer := serverAnswer(status, http.NoBody)
			answer.NotRun, answer.FromServer = true, false
			return answer, nil
		}
	}
	paths := []string{"/once/x", "/stream-once/x"}
	cases := map[string]struct {
		end func(context.Context) (*garnetworks.ProxiedResponse, error)
		// paths are those that the case is for; nil means all.
		paths []string
		// notRun says that the attempt provably did not run, so that the call may be sent again or refused.
		notRun bool
	}{
		"no connection":              {end: failing(garnetworks.PhaseConnect), notRun: true},
		"refused, full":              {end: refusing(http.StatusServiceUnavailable), notRun: true},
		"refused, another's address": {end: refusing(http.StatusMisdirectedRequest), notRun: true},
		"part of it was written":     {end: failing(garnetworks.PhaseWrite)},
		"no answer":                  {end: failing(garnetworks.PhaseWait)},
		"part of the headers":        {end: failing(garnetworks.PhaseHeaders)},
		"another call's answer":      {end: failing(garnetworks.PhaseMismatched)},
		"503 without a stamp":        {end: unstamped},
		"the server's own 503":       {end: answering(http.StatusServiceUnavailable, text("busy"))},
		"the server's own 429":       {end: answering(http.StatusTooManyRequests, text("busy"))},
		"the server's own 408":       {end: answering(http.StatusRequestTimeout, text("slow"))},
		"body breaks off":            {end: answering(http.StatusServiceUnavailable, func() io.Reader { return brokenReader{} })},
		"breaks off before an event": {end: answering(http.StatusOK, func() io.Reader { return brokenReader{} })},
		"event without end":          {end: answering(http.StatusOK, text(strings.Repeat("#", splicer.MaxEventBytes+1))), paths: paths[1:]},
		"the time-out passes": {end: func(ctx context.Context) (*garnetworks.ProxiedResponse, error) {
			<-ctx.Done()
			return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: ctx.Err()}
		}},
	}
	for name, c := range cases {
		for _, path := range paths {
			if c.paths != nil && !slices.Contains(c.paths, path) {
				continue
			}
			for _, delegated := range []bool{false, true} {
				t.Run(name+", "+path+map[bool]string{true: ", from another node"}[delegated], func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						ctx, stop := context.WithCancel(t.Context())
						proxy := &endingProxy{end: c.end}
						s := newLimitedSite(ctx, &siteServers{proxy: proxy}, 2, split(2, 1), false)
						time.Sleep(30 * time.Second) // the node has its retries
						s.exchange()
						r := httptest.NewRequest(http.MethodPost, path, nil)
						r.Host = "a.example"
						w := httptest.NewRecorder()
						func() {
							defer func() { _ = recover() }() // a stream that was begun is broken off
							if delegated {
								s.gateways[0].ServeDelegated(w, r)
								return
							}
							s.gateways[0].ServeHTTP(w, r)
						}()
						refused := slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, w.Code)
						untaken := w.Header().Get("Garnet-Untaken") != ""
						if !c.notRun && (proxy.sends != 1 || refused || untaken) {
							t.Errorf("sent %d times, status %d, untaken %t", proxy.sends, w.Code, untaken)
						}
						if c.notRun && w.Code != http.StatusOK && !refused {
							t.Errorf("sent %d times, status %d", proxy.sends, w.Code)
						}
						stop()
						time.Sleep(time.Minute)
					})
				})
			}
		}
	}
}

// Guards against a server's header that makes the first node hand a call to a third one.
func TestServerCanNotMarkACallUntaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		proxy := &endingProxy{end: func(context.Context) (*garnetworks.ProxiedResponse, error) {
			answer := serverAnswer(http.StatusOK, strings.NewReader("x"))
			answer.Header.Set("Garnet-Untaken", "1")
			return answer, nil
		}}
		s := newLimitedSite(ctx, &siteServers{proxy: proxy}, 2, split(2, 1), false)
		time.Sleep(time.Second)
		r := httptest.NewRequest(http.MethodPost, "/once/x", nil)
		r.Host = "a.example"
		w := httptest.NewRecorder()
		s.gateways[0].ServeDelegated(w, r)
		if w.Code != http.StatusOK || w.Header().Get("Garnet-Untaken") != "" {
			t.Errorf("status %d, headers %v", w.Code, w.Header())
		}
		stop()
		time.Sleep(time.Minute)
	})
}
