package forwarder

import (
	"context"

	"github.com/garnetworks/garnetworks"
)

// heldBack returns an error of kind KindCallHeld if calls with the content are kept from
// servers now (rule F9).
func (f *Forwarder) heldBack(ctx context.Context, content garnetworks.ContentDigest) error {
	if f.options.Quarantine == nil {
		return nil
	}
	left, held := f.options.Quarantine.Held(ctx, content)
	if !held {
		return nil
	}
	return garnetworks.HeldError(left)
}

// tellEnd tells the quarantine how an attempt ended, unless the call was ended from
// outside.
func (f *Forwarder) tellEnd(ctx context.Context, content garnetworks.ContentDigest, life garnetworks.Life, fail *failure) {
	switch {
	case f.options.Quarantine == nil:
	case fail == nil:
		f.options.Quarantine.Answered(content)
	case ctx.Err() == nil && fail.phase.BrokeOff():
		f.options.Quarantine.Broke(content, life)
	}
}

// lifeOf is the life that a group's head has as such: under the group's token. One that
// starts again, or joins another group, has another token.
func lifeOf(group *garnetworks.GroupView) garnetworks.Life {
	life := garnetworks.Life{Born: int64(group.Token)}
	if len(group.Members) > 0 {
		life.Instance = group.Members[0]
	}
	return life
}
