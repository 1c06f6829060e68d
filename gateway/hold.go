package gateway

import "github.com/garnetworks/garnetworks"

// heldBack returns an error of kind KindCallQuarantined if calls like this one are kept from
// servers now. It is asked before each attempt: other nodes may have found out while the
// call waited or ran.
func (x *exchange) checkQuarantine() error {
	left, quarantined := x.options.Quarantine.Quarantined(x.ctx, x.content)
	if !quarantined {
		return nil
	}
	return garnetworks.QuarantinedError(left)
}

// endHeld answers a call that is held back: as one that did not run only if that is so
// (rule W2), though an attempt before may have been what ended a server.
func (x *exchange) endQuarantined(mayHaveRun bool, err error) {
	if mayHaveRun {
		x.refuseUnanswered(true, garnetworks.KindBackendLost, err)
		return
	}
	x.refuse(x.w, x, err)
}

// brokeOff tells the quarantine of an attempt that got no whole answer, unless the client
// or the time ended it, or the server was known to leave: one that is stopped as planned
// ends under calls that have no part in it. A later life at the server's identifier is no
// such sign; it shows that the asked one has ended.
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
