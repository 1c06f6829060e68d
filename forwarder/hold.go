package forwarder

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// checkQuarantine returns an error of kind KindCallQuarantined if calls with the content are
// quarantined (rule F9).
func (f *Forwarder) checkQuarantine(ctx context.Context, content garnetworks.ContentDigest) error {
	if f.options.Quarantine == nil {
		return nil
	}
	left, quarantined := f.options.Quarantine.Quarantined(ctx, content)
	if !quarantined {
		return nil
	}
	return garnetworks.QuarantinedError(left)
}

// reportToQuarantine reports the end of an attempt to the quarantine. An interruption is not
// reported if ctx ended.
func (f *Forwarder) reportToQuarantine(ctx context.Context, content garnetworks.ContentDigest, incarnation garnetworks.Incarnation, failed *failure) {
	switch {
	case f.options.Quarantine == nil:
	case failed == nil:
		f.options.Quarantine.ReportCompleted(content)
	case ctx.Err() == nil && failed.phase.Interrupted():
		f.options.Quarantine.ReportInterrupted(content, incarnation)
	}
}

// headIncarnation returns the incarnation of a group's head, identified by the group's token:
// after a restart or in another group the head has another token.
func headIncarnation(group *garnetworks.GroupView) garnetworks.Incarnation {
	incarnation := garnetworks.Incarnation{StartMS: int64(group.Token)}
	if len(group.Members) > 0 {
		incarnation.Instance = group.Members[0]
	}
	return incarnation
}
