package prober

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// sendDelay is the time from the start of a probe round until its results are sent; most
	// probes have been answered by then.
	sendDelay = 100 * time.Millisecond
	// minSendInterval is the minimum time between two sends.
	minSendInterval = 100 * time.Millisecond
	// sendTimeout limits the time of one request to a peer.
	sendTimeout = 800 * time.Millisecond
)

// sendLoop sends confirmations to the peers after each probe round, and at once when a
// confirmation changes, so that peers learn of a lost member before the next round.
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

// send sends one request. If it fails, the next one contains the same changes.
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
