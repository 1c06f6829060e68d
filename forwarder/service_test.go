package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// pausedNode is a claimer whose node pauses after a claim, and the service behind it.
type pausedNode struct {
	pause    time.Duration
	calls    int
	outcomes []garnetworks.Outcome
}

func (p *pausedNode) Claim(_ context.Context, request garnetworks.ClaimRequest) (garnetworks.ClaimResult, error) {
	time.Sleep(p.pause)
	return garnetworks.ClaimResult{Claim: garnetworks.Claim{ClaimRequest: request}}, nil
}

func (p *pausedNode) Complete(context.Context, garnetworks.Claim, *garnetworks.ServiceResponse) error {
	return nil
}

func (p *pausedNode) Abandon(_ context.Context, _ garnetworks.Claim, outcome garnetworks.Outcome) error {
	p.outcomes = append(p.outcomes, outcome)
	return nil
}

func (p *pausedNode) Call(_ context.Context, _ string, call *garnetworks.ServiceCall) (garnetworks.ServiceResponse, error) {
	p.calls++
	return garnetworks.ServiceResponse{ID: call.ID, Status: 200}, nil
}

func (p *pausedNode) ChooseServer(time.Time, garnetworks.ServiceName, []garnetworks.InstanceID) (garnetworks.ServerView, error) {
	return garnetworks.ServerView{Instance: "i1"}, nil
}

func (p *pausedNode) ServerCallStarted(time.Time, garnetworks.ServiceName, garnetworks.InstanceID) {}

func (p *pausedNode) ServerCallFinished(time.Time, garnetworks.ServiceName, garnetworks.InstanceID, garnetworks.AttemptResult) {
}

func (p *pausedNode) Manifest() (*garnetworks.AcceptedManifest, bool) {
	var m garnetworks.AcceptedManifest
	m.Manifest.Services = []garnetworks.ServiceSpec{{Name: "visits", Timeout: 10 * time.Second}}
	return &m, true
}

// Guards against sending a call after its claim has ended: another node may have answered that
// the outcome is unknown, and the caller may have repeated the action under a new key.
func TestNoCallAfterClaimEnds(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		calls int
	}{
		"claimed in time": {time.Second, 1},
		"paused too long": {time.Hour, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &pausedNode{pause: tt.pause}
				f := New(Options{Services: p, Servers: p, Claims: p, Manifest: p})
				call := &garnetworks.ServiceCall{ID: "c1", Service: "visits", Method: "POST", Path: "/visits", IdempotencyKey: "k1"}
				_, err := f.CallService(t.Context(), call)
				synctest.Wait()
				if p.calls != tt.calls || (err == nil) != (tt.calls == 1) {
					t.Errorf("sent %d times with error %v, want %d", p.calls, err, tt.calls)
				}
				if tt.calls == 0 && (len(p.outcomes) != 1 || p.outcomes[0] != garnetworks.OutcomeNotRun) {
					t.Errorf("the claim ended as %v, want not-run", p.outcomes)
				}
			})
		})
	}
}
