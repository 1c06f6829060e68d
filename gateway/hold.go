package gateway

import "github.com/garnetworks/garnetworks"

// heldBack returns an error of kind KindCallQuarantined if calls like this one are kept from
// servers now. It is asked before each attempt: other nodes may have found out while the
// call waited or ran.
func (x *exchange) heldBack() error {
	left, held := x.options.Quarantine.Quarantined(x.ctx, x.content)
	if !held {
		return nil
	}
	return garnetworks.QuarantinedError(left)
}

// endHeld answers a call that is held back: as one that did not run only if that is so
// (rule W2), though an attempt before may have been what ended a server.
func (x *exchange) endHeld(mayHaveRun bool, held error) {
	if mayHaveRun {
		x.giveUp(true, garnetworks.KindBackendLost, held)
		return
	}
	x.refuse(x.w, x, held)
}

// brokeOff tells the quarantine of an attempt that got no whole answer, unless the client
// or the time ended it, or the server was known to leave: one that is stopped as planned
// ends under calls that have no part in it. A later life at the server's identifier is no
// such sign; it shows that the asked one has ended.
func (x *exchange) brokeOff(life garnetworks.Incarnation, failure *garnetworks.AttemptError) {
	if x.ctx.Err() != nil || !failure.Phase.Interrupted() {
		return
	}
	s, ok := x.options.Follower.Servers()[life.Instance]
	if leaves := !ok || s.Incarnation() == life && s.State != garnetworks.ListedLive; leaves {
		return
	}
	x.options.Quarantine.ReportInterrupted(x.content, life)
}
