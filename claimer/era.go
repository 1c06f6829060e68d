package claimer

import (
	"context"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// EraHold is how long a node that has learned of a new era neither grants nor releases claims.
	// The other nodes detect the era within eraCheckInterval and write what they know within the
	// rest of it.
	EraHold = 2 * time.Second
	// eraCheckInterval is the interval at which a node that knows of recent claims, and does not read
	// or write shards anyway, looks for a new era.
	eraCheckInterval = 500 * time.Millisecond
	// copyAge is how long claims count as recent: a copy is some seconds old.
	copyAge = 30 * time.Second
	// heldPoll is the interval at which a worker checks whether held operations may go on.
	heldPoll = 20 * time.Millisecond
	// restoreAttempts limits the attempts to write the records of an earlier era again; the next
	// commit of the shard does it otherwise.
	restoreAttempts = 20
)

// HandleNewEra makes each shard that this node knows be read and its lost records be written again.
func (c *Claimer) HandleNewEra() {
	for _, w := range c.workers {
		w.newEra.Store(true)
		w.signal()
	}
}

// watchEra looks for a new era while this node knows of recent claims.
func (c *Claimer) watchEra(ctx context.Context) {
	var era garnetworks.Era
	known := false
	for ctx.Err() == nil {
		if shard, ok := c.recentShard(time.Now()); ok || !known {
			call, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
			object, err := c.options.API.Get(call, shardKey(shard))
			cancel()
			if err == nil || garnetworks.IsKind(err, garnetworks.KindNotFound) {
				c.learnEra(object.Revision.Era())
				if known && object.Revision.Era() > era {
					c.HandleNewEra()
				}
				era, known = max(era, object.Revision.Era()), true
			}
		}
		sleep(ctx, eraCheckInterval)
	}
}

// learnEra returns when this node learned of an era.
func (c *Claimer) learnEra(era garnetworks.Era) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era > c.era {
		c.era, c.eraSince = era, time.Now()
	}
	return c.eraSince
}

// recentShard returns the shard whose state this node read or wrote last, if that was within copyAge
// but not just now.
func (c *Claimer) recentShard(now time.Time) (int, bool) {
	newest := slices.MaxFunc(c.workers[:], func(a, b *worker) int { return int(a.changedAt.Load() - b.changedAt.Load()) })
	age := now.Sub(time.Unix(0, newest.changedAt.Load()))
	return newest.number, eraCheckInterval <= age && age < copyAge
}

// setOpen adds a claim to those of the calls that this node runs, or removes it.
func (c *Claimer) setOpen(op *Op, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open {
		c.open[op.Key] = *op
	} else if c.open[op.Key].Call == op.Call {
		delete(c.open, op.Key)
	}
}

// openClaims returns the claims of a shard that belong to calls of this node.
func (c *Claimer) openClaims(shard int) []Op {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ops []Op
	for key, op := range c.open {
		if key.Shard() == shard {
			ops = append(ops, op)
		}
	}
	return ops
}

// observeEra notes the era in which the shard was read.
func (w *worker) observeEra(era garnetworks.Era) {
	since := w.claimer.learnEra(era)
	if w.eraKnown && era > w.era {
		w.lost, w.highestRevision = w.latest, 0
		clear(w.buckets)
	}
	w.era, w.eraKnown = max(w.era, era), true
	w.mu.Lock()
	w.holdUntil = since.Add(EraHold)
	w.mu.Unlock()
}

// holds reports whether a group holds operations that must wait for the end of EraHold.
func (w *worker) holds(group []*ticket) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Now().Before(w.holdUntil) && slices.ContainsFunc(group, func(t *ticket) bool {
		return t.op.Kind == OpClaim || t.op.Kind == OpRelease
	})
}

// heldError returns the error for a claim that arrives while claims are held. The caller holds mu.
func (w *worker) heldError(now time.Time) error {
	return &garnetworks.Error{
		Kind: garnetworks.KindClaimsUnavailable, Detail: "claims of an earlier era of the object API are being written again",
		RetryAfter: w.holdUntil.Sub(now),
	}
}

// writeLost reads the shard, if this node knows it or runs calls with claims of it, and writes again
// what it lacks (rule C12).
func (w *worker) writeLost(ctx context.Context) {
	open := w.claimer.openClaims(w.number)
	if w.latest == nil && len(open) == 0 {
		return
	}
	for range restoreAttempts {
		if ctx.Err() != nil || w.tryWriteLost(ctx, open) == nil {
			return
		}
		sleep(ctx, w.claimer.options.Interval)
	}
}

func (w *worker) tryWriteLost(ctx context.Context, open []Op) error {
	w.shard = nil
	if err := w.load(ctx, open); err != nil {
		return err
	}
	next, _, changed := w.shard.Apply(time.Now(), w.lookup, open)
	if !changed && w.lost == nil {
		return nil
	}
	return w.write(ctx, next, nil)
}

// restore merges the records of another state into the shard and reports whether that changed it.
func (s *Shard) restore(lost *Shard) bool {
	changed := false
	for _, r := range lost.Records {
		i, ok := slices.BinarySearchFunc(s.Records, r.Key, compareKey)
		switch {
		case !ok:
			s.Records = slices.Insert(s.Records, i, r)
		case s.Records[i].Epoch == r.Epoch && s.Records[i].State >= r.State, s.Records[i].Epoch > r.Epoch:
			continue
		default:
			s.Records[i] = r
		}
		changed = true
	}
	return changed
}
