package gateway

import (
	"context"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/acceptor"
)

// execution is what is known of whether a call has run. From the moment at which it is sent to a
// server or a node it may have run, until the end of that attempt proves that it did not; no other
// end of an attempt changes that.
type execution struct {
	// sent counts the attempts of which a byte may have been sent, unproven those of them that may
	// have run.
	sent, unproven int
}

// mayHaveRun reports whether an attempt may have run.
func (e *execution) mayHaveRun() bool { return e.unproven > 0 }

// begin records that an attempt is about to be sent.
func (e *execution) begin() {
	e.sent++
	e.unproven++
}

// refused records that the server of the last attempt said that it did not begin it.
func (e *execution) refused() { e.unproven-- }

// unsent records that no byte of the last attempt was sent, or that no server was reached with it.
func (e *execution) unsent() {
	e.sent--
	e.unproven--
}

// errMayHaveRun is the cause of an attempt that is not sent because an earlier one may have run.
var errMayHaveRun = errors.New("an earlier attempt may have run")

// sendAttempt sends an attempt of the call to the server at an address (rules W2 and W3).
func (x *exchange) sendAttempt(ctx context.Context, address string, attempt *garnetworks.ProxiedAttempt) (*garnetworks.ProxiedResponse, error) {
	attempt.AtMostOnce = !x.route.Idempotent()
	if attempt.AtMostOnce && x.execution.mayHaveRun() {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: errMayHaveRun}
	}
	if err := x.clientLeft(); err != nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	}
	attempt.Repeated = x.execution.sent > 0
	x.execution.begin()
	response, err := x.options.Proxy.Send(ctx, address, attempt)
	switch {
	case err != nil && asAttemptError(err).Phase == garnetworks.PhaseConnect:
		x.execution.unsent()
	case err == nil && response.NotRun:
		x.execution.refused()
	}
	return response, err
}

// clientLeft returns an error if the call has ended, and ends it if its client has left (rule W5).
func (x *exchange) clientLeft() error {
	if acceptor.Gone(x.request.Context()) {
		x.cancel()
	}
	return x.ctx.Err()
}
