package gateway

import (
	"time"

	"github.com/garnetworks/garnetworks"
)

// checkQuarantine returns an error of kind KindCallQuarantined if calls like this one are
// quarantined. It is checked before each attempt, because other nodes may have reported the
// crashes while the call waited or ran.
func (x *exchange) checkQuarantine() error {
	left, quarantined := x.options.Quarantine.Quarantined(x.ctx, x.identity)
	if !quarantined {
		return nil
	}
	return garnetworks.QuarantinedError(left)
}

// reportSurvival reports once that the server of the current attempt survived the beginning of the
// answer.
func (s *stream) reportSurvival(now time.Time) {
	if s.current.survived || now.Sub(s.current.started) < s.current.firstEventAfter+garnetworks.SurvivalTime {
		return
	}
	s.current.survived = true
	s.options.Quarantine.ReportSurvival(s.identity)
}

// reportInterrupted reports to the quarantine that the current attempt ended without a whole answer.
// A server that survived the beginning of the answer was not crashed by a part of the prompt.
func (s *stream) reportInterrupted(failure *garnetworks.AttemptError) {
	identity := s.identity
	if s.current.survived {
		identity.Parts = nil
	}
	s.exchange.reportInterrupted(identity, s.current.incarnation, failure)
}

// reportInterrupted reports to the quarantine an attempt that ended without a whole answer. It
// doesn't if the call's context ended, or if the server is gone or leaving, since a planned stop
// interrupts calls that did not cause it. A later incarnation of the server is proof that this
// one ended, so the attempt is reported.
func (x *exchange) reportInterrupted(identity garnetworks.CallIdentity, incarnation garnetworks.Incarnation, failure *garnetworks.AttemptError) {
	if x.ctx.Err() != nil || !failure.Phase.Interrupted() {
		return
	}
	s, ok := x.options.Follower.Server(incarnation.Instance)
	if leaving := !ok || s.Incarnation() == incarnation && s.State != garnetworks.ListedLive; leaving {
		return
	}
	x.options.Quarantine.ReportInterrupted(identity, incarnation)
}
