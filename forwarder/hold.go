package forwarder

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// heldBack returns an error of kind KindCallQuarantined if calls with the content are kept from
// servers now (rule F9).
func (f *Forwarder) heldBack(ctx context.Context, content garnetworks.ContentDigest) error {
	if f.options.Quarantine == nil {
		return nil
	}
	left, held := f.options.Quarantine.Quarantined(ctx, content)
	if !held {
		return nil
	}
	return garnetworks.QuarantinedError(left)
}

// tellEnd tells the quarantine how an attempt ended, unless the call was ended from
// outside.
func (f *Forwarder) tellEnd(ctx context.Context, content garnetworks.ContentDigest, life garnetworks.Incarnation, fail *failure) {
	switch {
	case f.options.Quarantine == nil:
	case fail == nil:
		f.options.Quarantine.ReportCompleted(content)
	case ctx.Err() == nil && fail.phase.Interrupted():
		f.options.Quarantine.ReportInterrupted(content, life)
	}
}

// lifeOf is the life that a group's head has as such: under the group's token. One that
// starts again, or joins another group, has another token.
func lifeOf(group *garnetworks.GroupView) garnetworks.Incarnation {
	life := garnetworks.Incarnation{StartMS: int64(group.Token)}
	if len(group.Members) > 0 {
		life.Instance = group.Members[0]
	}
	return life
}
