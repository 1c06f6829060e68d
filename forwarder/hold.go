package forwarder

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// heldBack returns an error of kind KindCallQuarantined if calls with the content are kept from
// servers now (rule F9).
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

// tellEnd tells the quarantine how an attempt ended, unless the call was ended from
// outside.
func (f *Forwarder) reportToQuarantine(ctx context.Context, content garnetworks.ContentDigest, incarnation garnetworks.Incarnation, failed *failure) {
	switch {
	case f.options.Quarantine == nil:
	case failed == nil:
		f.options.Quarantine.ReportCompleted(content)
	case ctx.Err() == nil && failed.phase.Interrupted():
		f.options.Quarantine.ReportInterrupted(content, incarnation)
	}
}

// lifeOf is the life that a group's head has as such: under the group's token. One that
// starts again, or joins another group, has another token.
func headIncarnation(group *garnetworks.GroupView) garnetworks.Incarnation {
	incarnation := garnetworks.Incarnation{StartMS: int64(group.Token)}
	if len(group.Members) > 0 {
		incarnation.Instance = group.Members[0]
	}
	return incarnation
}
