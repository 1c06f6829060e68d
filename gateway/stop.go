package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// stopRetryAfter is sent to callers that a stopping node refuses: its other nodes take calls at once.
const stopRetryAfter = 100 * time.Millisecond

// ErrStopped is the cause with which the contexts of requests end at the end of a planned stop, while
// there is still time to answer them.
var ErrStopped = errors.New("the node stops")

// stop is the state of a planned stop.
type stop struct {
	// closing ends when the node accepts no further calls; end is valid from then on.
	closing context.Context
	close   context.CancelFunc
	// end is when the calls in flight end.
	end time.Time
}

func newStop() *stop {
	s := &stop{}
	s.closing, s.close = context.WithCancel(context.Background())
	return s
}

// Stop makes responses close their connections, so that clients reconnect to other nodes.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// Close begins the last part of a planned stop. Calls that may last beyond end, when those in flight
// are ended, are refused from now on, and at once if they wait (rule W9). It must be called once.
func (g *Gateway) Close(end time.Time) {
	g.stop.end = end
	g.stop.close()
}

// checkStop returns an error of kind KindShuttingDown if the call has not run and may last beyond
// the end of the node's calls (rule W9).
func (x *exchange) checkStop() error {
	if x.stop.closing.Err() == nil || x.execution.mayHaveRun() || !x.deadline.After(x.stop.end) {
		return nil
	}
	e := &garnetworks.Error{Kind: garnetworks.KindShuttingDown, Detail: "the call may last longer than the node does"}
	if !x.options.Alone {
		e.RetryAfter = stopRetryAfter
	}
	return e
}

// checkBegin returns an error if the call may not be sent to a server, or not any more.
func (x *exchange) checkBegin() error {
	if err := x.checkQuarantine(); err != nil { // may wait
		return err
	}
	return x.checkStop()
}

// endWhenClosing ends reading of the call's body if the call is refused because the node stops. The
// returned function must be called before the connection is used otherwise.
func (x *exchange) endWhenClosing(end func()) (release func()) {
	ended := make(chan struct{})
	cancel := context.AfterFunc(x.stop.closing, func() {
		defer close(ended)
		if x.checkStop() != nil {
			end()
		}
	})
	return func() {
		if !cancel() {
			<-ended
		}
	}
}
