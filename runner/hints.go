package runner

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// hintInterval is the time between two reads of a group's cache events.
	hintInterval = 2 * time.Second
	// maxHintGroups is the largest number of groups in the node's zone for which cache
	// events are read. In a larger zone the reads would exceed a node's control traffic
	// budget.
	maxHintGroups = 6
	// hintTimeout limits one read.
	hintTimeout = time.Second
)

// hintCursor is the position up to which a group's events were read. Event numbers restart
// when the group gets a new token.
type hintCursor struct {
	token garnetworks.FencingToken
	after uint64
}

// readHints passes the cache events of the groups in the node's zone to the router, which
// drops a group's hints when its events have a gap. Failed reads are only logged: hints
// improve routing but are not needed for it.
func (r *Runner) readHints(ctx context.Context) {
	if r.platform.Cache == nil {
		<-ctx.Done()
		return
	}
	cursors := make(map[garnetworks.GroupID]hintCursor)
	ticker := time.NewTicker(hintInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			cursors = r.readHintsOnce(ctx, cursors)
		}
	}
}

// readHintsOnce reads each group's new events and returns the new cursors.
func (r *Runner) readHintsOnce(ctx context.Context, cursors map[garnetworks.GroupID]hintCursor) map[garnetworks.GroupID]hintCursor {
	joined, ok := r.views.own()
	next := make(map[garnetworks.GroupID]hintCursor)
	if !ok || len(joined.View.Groups) > maxHintGroups {
		return next
	}
	for i := range joined.View.Groups {
		g := &joined.View.Groups[i]
		if g.State != garnetworks.GroupServing || !g.Confirmed {
			continue
		}
		cursor := cursors[g.ID]
		if cursor.token != g.Token {
			cursor = hintCursor{token: g.Token}
		}
		next[g.ID] = r.readGroupHints(ctx, g, cursor)
	}
	return next
}

func (r *Runner) readGroupHints(ctx context.Context, g *garnetworks.GroupView, cursor hintCursor) hintCursor {
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	events, err := r.platform.Cache.CacheEvents(ctx, g.Address, cursor.after)
	if err != nil {
		r.log.Debug("cache events not read", "group", g.ID, "error", err)
		return cursor
	}
	if len(events) == 0 {
		return cursor
	}
	r.router.CacheEvents(g.ID, events)
	cursor.after = events[len(events)-1].Number
	return cursor
}
