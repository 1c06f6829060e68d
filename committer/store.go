package committer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

const (
	// callTimeout bounds one call to the object API.
	callTimeout = 3 * time.Second
	// maxAttempts bounds the tries of one change of the head.
	maxAttempts = 8
	// retryDelay is between two tries after a failure.
	retryDelay = 200 * time.Millisecond
)

// store reads and changes the objects of manifests.
type store struct {
	api garnetworks.ObjectAPI
}

// headObject is a head at its revision; revision 0 means that there is none yet.
type headObject struct {
	Head
	revision garnetworks.Revision
}

// readHead returns the head; none is an empty one at revision 0.
func (s store) readHead(ctx context.Context) (headObject, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := s.api.Get(call, HeadKey)
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		return headObject{}, nil
	}
	if err != nil {
		return headObject{}, err
	}
	h, err := decodeHead(object.Value)
	return headObject{h, object.Revision}, err
}

// readBody returns a commit's manifest as it was written.
func (s store) readBody(ctx context.Context, commitID string) ([]byte, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := s.api.Get(call, BodyKey(commitID))
	return object.Value, err
}

// writeBody stores a commit's manifest. A body that is there already was
// written by an earlier try; the head's hash shows whether it is the same.
func (s store) writeBody(ctx context.Context, commitID string, body []byte) error {
	var err error
	for range maxAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = s.api.Put(call, BodyKey(commitID), body, 0)
		cancel()
		if garnetworks.IsKind(err, garnetworks.KindConflict) {
			return s.checkSameBody(ctx, commitID, body)
		}
		if err == nil || !retriable(err) || sleep(ctx, retryDelay) != nil {
			return err
		}
	}
	return err
}

// checkSameBody refuses a commit identifier that was used with another manifest.
func (s store) checkSameBody(ctx context.Context, commitID string, body []byte) error {
	stored, err := s.readBody(ctx, commitID)
	if err != nil {
		return err
	}
	if hashOf(stored) != hashOf(body) {
		return garnetworks.Errorf(garnetworks.KindKeyReused, "commit %s was used with another manifest", commitID)
	}
	return nil
}

// errStaleHead says that the object API tells of a lower generation than nodes have
// applied. One stale read shows so for a moment, a store that was put back to an
// older copy for good.
var errStaleHead = garnetworks.Errorf(garnetworks.KindStaleGeneration,
	"the object API holds a lower generation than nodes have applied: its data went back; nothing was written")

// errOutcomeUnknown says that a change of the head may have taken effect.
func errOutcomeUnknown(cause error) error {
	return garnetworks.WrapError(garnetworks.KindOutcomeUnknown, cause,
		"the answer to the write was lost and the object API can't be read now; ask again with the same commit identifier, it is never committed twice")
}

// change reads the head and applies edit to it by one conditional update, again
// from the start if another writer came first. Edit returns false if nothing is
// to be written. The result is the head that now holds the edit, or the one that
// edit was content with.
//
// Rule M4: an answer can be lost after the write, which shows as an error that
// is none of those that say "no effect". The next turn reads the head. If it
// tells of the edit, edit writes nothing. If it has changed and does not tell of
// the edit, another writer came first and the lost write can't take effect any
// more, since it names the revision before. If it has not changed, the read may
// be a stale one, so nothing is concluded from it: the write is tried again
// after the same revision, and conflicts if the lost one took effect.
func (s store) updateHead(ctx context.Context, edit func(Head) (Head, bool, error)) (headObject, error) {
	t := &attempts{}
	for try := range maxAttempts {
		if try > 0 && sleep(ctx, retryDelay) != nil {
			break
		}
		h, err := s.readHead(ctx)
		if err != nil && !retriable(err) {
			return h, t.finalError(err)
		}
		if err != nil {
			t.lastErr = err
			continue
		}
		t.observeHead(h.revision)
		next, changed, err := edit(h.Head)
		if errors.Is(err, errStaleHead) || (err != nil && t.maybeWritten) {
			t.lastErr = err
			continue
		}
		if err != nil || !changed {
			return h, err
		}
		revision, err := s.writeHead(ctx, next, h.revision)
		if err == nil {
			return headObject{next, revision}, nil
		}
		t.observeFailure(err, h.revision)
	}
	return headObject{}, t.finalError(ctx.Err())
}

// writeHead writes the head if it is still at the revision.
func (s store) writeHead(ctx context.Context, h Head, after garnetworks.Revision) (garnetworks.Revision, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.api.Put(call, HeadKey, h.encode(), after)
}

// attempts is what is known of the tries of one change.
type attempts struct {
	lastErr error
	// maybe says that a write after the revision may have taken effect.
	maybeWritten bool
	after        garnetworks.Revision
}

// read takes the revision of a head that was read: one above the lost write's
// decides its fate.
func (t *attempts) observeHead(revision garnetworks.Revision) {
	if revision > t.after {
		t.maybeWritten = false
	}
}

// failed takes the error of a write after a revision.
func (t *attempts) observeFailure(err error, after garnetworks.Revision) {
	t.lastErr = err
	if garnetworks.IsKind(err, garnetworks.KindConflict) || tookNoEffect(err) {
		return
	}
	t.maybeWritten, t.after = true, after
}

// outcome returns the error after the last try.
func (t *attempts) finalError(cause error) error {
	if t.lastErr == nil {
		t.lastErr = cause
	}
	switch {
	case t.maybeWritten:
		return errOutcomeUnknown(t.lastErr)
	case errors.Is(t.lastErr, errStaleHead):
		return t.lastErr
	case garnetworks.IsKind(t.lastErr, garnetworks.KindConflict):
		return garnetworks.WrapError(garnetworks.KindThrottled, t.lastErr, "other writers came first each time; nothing was written")
	}
	return garnetworks.WrapError(garnetworks.KindObjectAPIDown, t.lastErr, "nothing was written")
}

// tookNoEffect reports whether a failed write is known to have changed nothing.
func tookNoEffect(err error) bool {
	return garnetworks.IsKind(err, garnetworks.KindObjectAPIDown, garnetworks.KindThrottled, garnetworks.KindTooLarge,
		garnetworks.KindInvalidRequest, garnetworks.KindUnreachable)
}

// retriable reports whether the same call may succeed a little later.
func retriable(err error) bool {
	return !garnetworks.IsKind(err, garnetworks.KindTooLarge, garnetworks.KindInvalidRequest, garnetworks.KindInternal, garnetworks.KindKeyReused)
}

// collect deletes the bodies of garbage commits and returns those that are gone.
// It is best effort: what is left is tried with the next proposal.
func (s store) deleteBodies(ctx context.Context, commits []string) []string {
	var deleted []string
	for _, id := range commits {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		object, err := s.api.Get(call, BodyKey(id))
		if err == nil {
			err = s.api.Delete(call, BodyKey(id), object.Revision)
		}
		cancel()
		if err == nil || garnetworks.IsKind(err, garnetworks.KindNotFound) {
			deleted = append(deleted, id)
		}
	}
	return deleted
}

// pause waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
