package tracker

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// maxWriteAttempts limits the attempts at one roster write that conflicts with other writers.
const maxWriteAttempts = 3

// loadRosters reads all rosters, and retries until that has succeeded or the zone's roster, which
// lists this node, has arrived otherwise (rule T10).
func (t *Tracker) loadRosters(ctx context.Context) {
	if t.options.FirstStart && t.listedWithin(ctx, jittered(FirstListDelay)) {
		return
	}
	for delay := time.Second; ; delay = min(2*delay, RereadInterval) {
		err := t.listRosters(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		t.options.Log(err)
		if garnetworks.IsKind(err, garnetworks.KindThrottled) {
			// All nodes of a large site have started at once.
			delay = max(delay, 2*FirstListDelay)
		}
		if t.listedWithin(ctx, jittered(delay)) || ctx.Err() != nil {
			return
		}
	}
}

// jittered returns a random time between d and 2*d.
func jittered(d time.Duration) time.Duration { return d + time.Duration(rand.Float64()*float64(d)) }

// listedWithin waits until the roster of the node's zone lists it, for at most the delay, and
// reports whether it does.
func (t *Tracker) listedWithin(ctx context.Context, delay time.Duration) bool {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for end := time.Now().Add(delay); time.Now().Before(end) && !t.View().Listed; {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return t.View().Listed
}

// listRosters reads all rosters once.
func (t *Tracker) listRosters(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	t.reads.Add(1)
	objects, revision, err := t.options.Objects.List(bounded, RosterPrefix)
	if err != nil {
		return errors.Wrap(err, "list rosters")
	}
	stored := OwnRosterStored{Era: revision.Era()}
	for _, o := range objects {
		roster, err := decodeRoster(o)
		if err != nil {
			t.options.Log(err)
			continue
		}
		if roster.Zone == t.options.Self.Zone {
			stored.Version = roster.Version
		}
		t.handleReadRoster(ctx, roster)
	}
	t.step(ctx, stored)
	t.step(ctx, RostersRead{})
	return nil
}

// handleReadRoster applies a roster read from the object API. One that is newer than the
// known version is published, since its writer may have failed before it published it. One
// of an unknown zone is only held for peers that ask: at the start of a site every node
// reads all rosters, and publishing them would send each roster to every node many times.
func (t *Tracker) handleReadRoster(ctx context.Context, roster garnetworks.Roster) {
	known, ok := t.Roster(roster.Zone)
	t.step(ctx, RosterLearned{Roster: roster})
	switch {
	case !ok:
		t.distribute(roster, t.options.Hold)
	case known.Version < roster.Version:
		t.distribute(roster, t.options.Publish)
	}
}

// distribute passes a roster to the distributor.
func (t *Tracker) distribute(roster garnetworks.Roster, send func(garnetworks.Update) error) {
	body, err := json.Marshal(roster)
	if err != nil {
		t.options.Log(errors.Wrap(err, "encode roster"))
		return
	}
	err = send(garnetworks.Update{
		Topic:   garnetworks.TopicRoster + garnetworks.Topic(roster.Zone),
		Version: garnetworks.UpdateVersion{Sequence: roster.Version},
		Body:    body,
	})
	// A newer version that was distributed in the meantime is not an error.
	if err != nil && !garnetworks.IsKind(err, garnetworks.KindConflict) {
		t.options.Log(err)
	}
}

// readRoster returns the zone's roster and its revision, or an empty one and a revision without a
// number if there is none. One that can't be decoded counts as empty, so that the next write replaces it:
// its version is above all that the writer knows, and nodes that it lacks add themselves again.
func (t *Tracker) readRoster(ctx context.Context, zone garnetworks.ZoneID) (garnetworks.Roster, garnetworks.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	t.reads.Add(1)
	object, err := t.options.Objects.Get(ctx, RosterPrefix+string(zone))
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		return garnetworks.Roster{Zone: zone}, object.Revision, nil
	}
	if err != nil {
		return garnetworks.Roster{}, 0, err
	}
	roster, err := decodeRoster(object)
	if err != nil {
		t.options.Log(err)
		roster = garnetworks.Roster{Zone: zone}
	}
	return roster, object.Revision, nil
}

func decodeRoster(o garnetworks.Object) (garnetworks.Roster, error) {
	var roster garnetworks.Roster
	if err := json.Unmarshal(o.Value, &roster); err != nil {
		return roster, errors.Wrapf(err, "object %s is not a roster", o.Key)
	}
	return roster, nil
}

// writeRoster applies the patch to the stored roster, reports the result to the state and
// publishes the new roster.
func (t *Tracker) writeRoster(ctx context.Context, patch Patch) {
	roster, err := t.storePatch(ctx, patch)
	t.step(ctx, RosterWritten{Patch: patch, Roster: roster, Err: err})
	if err != nil {
		t.options.Log(err)
		return
	}
	t.distribute(roster, t.options.Publish)
}

// storePatch applies the patch to the stored roster, and retries after conflicts.
func (t *Tracker) storePatch(ctx context.Context, patch Patch) (garnetworks.Roster, error) {
	var err error
	for range maxWriteAttempts {
		var roster garnetworks.Roster
		roster, err = t.storePatchOnce(ctx, patch)
		if !garnetworks.IsKind(err, garnetworks.KindConflict) {
			return roster, err
		}
	}
	return garnetworks.Roster{}, err
}

func (t *Tracker) storePatchOnce(ctx context.Context, patch Patch) (garnetworks.Roster, error) {
	current, revision, err := t.readRoster(ctx, patch.Zone)
	if err != nil {
		return current, err
	}
	base := patch.Restored(current, revision.Era())
	next, changed := patch.Apply(base)
	if !changed && base.Version == current.Version {
		return current, nil
	}
	if !changed {
		next.Version++
	}
	next.Version = max(next.Version, firstVersion(revision.Era())+1)
	if revision.Number() == 0 {
		revision = 0 // the object is created
	}
	next.WriteID = newWriteID()
	body, err := json.Marshal(next)
	if err != nil {
		return current, errors.Wrap(err, "encode roster")
	}
	err = t.put(ctx, RosterPrefix+string(patch.Zone), body, revision)
	if !garnetworks.IsKind(err, garnetworks.KindResponseLost, garnetworks.KindObjectAPIDown) {
		return next, err
	}
	return next, t.readBack(ctx, next, err)
}

func (t *Tracker) put(ctx context.Context, key string, body []byte, after garnetworks.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	t.writes.Add(1)
	_, err := t.options.Objects.Put(ctx, key, body, after)
	return err
}

// readBack determines whether a write took effect whose response was lost (rule G11).
// Otherwise a successful write would be reported as failed, and the node as not listed.
func (t *Tracker) readBack(ctx context.Context, written garnetworks.Roster, cause error) error {
	current, _, err := t.readRoster(ctx, written.Zone)
	if err != nil {
		return cause
	}
	if current.WriteID == written.WriteID {
		return nil
	}
	return garnetworks.WrapError(garnetworks.KindConflict, cause, "the roster was not written")
}
