package prober

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// sendDelay is the time from the start of a round of probes to the telling
	// of its results; a usual probe has been answered by then.
	sendDelay = 100 * time.Millisecond
	// minSendInterval is the least time between two tellings.
	minSendInterval = 100 * time.Millisecond
	// sendTimeout bounds one request to a peer.
	sendTimeout = 800 * time.Millisecond
)

// speak tells the peers after each round of probes, and at once when a word has
// changed, so that a member's loss of its place does not wait for the round.
func (p *Prober) sendLoop(ctx context.Context, roundStarted <-chan struct{}) {
	if !p.options.Peers.Present {
		return
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-roundStarted:
			sleep(ctx, sendDelay)
		case <-p.sendNow:
		}
		for _, o := range p.exchange.Outgoing(time.Now()) {
			requests.Go(func() { p.send(ctx, &o) })
		}
		sleep(ctx, minSendInterval)
	}
}

// tell sends one request. A lost one is made up for by the next.
func (p *Prober) send(ctx context.Context, o *Outgoing) {
	call, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	response, err := p.options.Peers.Value.Confirm(call, o.To.Address, o.Request)
	if err == nil {
		p.exchange.HandleResponse(time.Now(), o, response)
	}
}

// Confirm implements garnetworks.ConfirmHandler.
func (p *Prober) Confirm(_ context.Context, request *garnetworks.ConfirmRequest) (*garnetworks.ConfirmResponse, error) {
	response, changed := p.exchange.HandleRequest(time.Now(), request)
	if len(changed) > 0 {
		signal(p.sendNow)
	}
	return response, nil
}

var _ garnetworks.ConfirmHandler = (*Prober)(nil)
