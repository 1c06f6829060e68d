package prober

import (
	"context"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// speakDelay is the time from the start of a round of probes to the telling
	// of its results; a usual probe has been answered by then.
	speakDelay = 100 * time.Millisecond
	// speakGap is the least time between two tellings.
	speakGap = 100 * time.Millisecond
	// speakTimeout bounds one request to a peer.
	speakTimeout = 800 * time.Millisecond
)

// speak tells the peers after each round of probes, and at once when a word has
// changed, so that a member's loss of its place does not wait for the round.
func (p *Prober) speak(ctx context.Context, begun <-chan struct{}) {
	if !p.options.Peers.Present {
		return
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-begun:
			sleep(ctx, speakDelay)
		case <-p.word:
		}
		for _, o := range p.exchange.Outgoing(time.Now()) {
			requests.Go(func() { p.tell(ctx, &o) })
		}
		sleep(ctx, speakGap)
	}
}

// tell sends one request. A lost one is made up for by the next.
func (p *Prober) tell(ctx context.Context, o *Outgoing) {
	call, cancel := context.WithTimeout(ctx, speakTimeout)
	defer cancel()
	answer, err := p.options.Peers.Value.Confirm(call, o.To.Address, o.Request)
	if err == nil {
		p.exchange.Answered(time.Now(), o, answer)
	}
}

// Confirm implements garnetworks.ConfirmHandler.
func (p *Prober) Confirm(_ context.Context, request *garnetworks.ConfirmRequest) (*garnetworks.ConfirmResponse, error) {
	answer, changed := p.exchange.Incoming(time.Now(), request)
	if len(changed) > 0 {
		signal(p.word)
	}
	return answer, nil
}

var _ garnetworks.ConfirmHandler = (*Prober)(nil)
