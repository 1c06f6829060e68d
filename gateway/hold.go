package gateway

import "github.com/garnetworks/garnetworks"

// checkQuarantine returns an error of kind KindCallQuarantined if calls with this content are
// quarantined. It is checked before each attempt, because other nodes may have reported the
// content while the call waited or ran.
func (x *exchange) checkQuarantine() error {
	left, quarantined := x.options.Quarantine.Quarantined(x.ctx, x.content)
	if !quarantined {
		return nil
	}
	return garnetworks.QuarantinedError(left)
}

// endQuarantined answers a quarantined call: as not run only if no attempt may have run (rule
// W2).
func (x *exchange) endQuarantined(mayHaveRun bool, err error) {
	if mayHaveRun {
		x.refuseUnanswered(true, garnetworks.KindBackendLost, err)
		return
	}
	x.refuse(x.w, x, err)
}

// reportInterrupted reports an attempt without a whole answer to the quarantine, unless the
// call's context ended it or the server was known to be leaving: a planned stop interrupts
// calls that did not cause it. A later incarnation under the server's identifier does not
// count as leaving; it proves that this one has ended.
func (x *exchange) reportInterrupted(incarnation garnetworks.Incarnation, failure *garnetworks.AttemptError) {
	if x.ctx.Err() != nil || !failure.Phase.Interrupted() {
		return
	}
	s, ok := x.options.Follower.Servers()[incarnation.Instance]
	if leaving := !ok || s.Incarnation() == incarnation && s.State != garnetworks.ListedLive; leaving {
		return
	}
	x.options.Quarantine.ReportInterrupted(x.content, incarnation)
}
