package committer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

const (
	// callTimeout limits the time of one call to the object API.
	callTimeout = 3 * time.Second
	// maxAttempts limits the attempts of one write.
	maxAttempts = 8
	// retryDelay is the delay before an attempt is repeated.
	retryDelay = 200 * time.Millisecond
)

// store reads and writes the head and the manifest bodies.
type store struct {
	api garnetworks.ObjectAPI
}

// headObject is a head with its revision; revision 0 means that it does not exist yet.
type headObject struct {
	Head
	revision garnetworks.Revision
}

// readHead returns the head, or an empty one at revision 0 if none exists.
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

// readBody returns a commit's manifest body.
func (s store) readBody(ctx context.Context, commitID string) ([]byte, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := s.api.Get(call, BodyKey(commitID))
	return object.Value, err
}

// writeBody stores a commit's manifest body. If a body exists, as after an earlier attempt, it
// must be the same.
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

// checkSameBody returns KindKeyReused if the stored body differs from body.
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

// errStaleHead says that the object API returned a lower generation than the node has
// applied. After a stale read this passes soon; if the object API was restored from an older
// copy, it doesn't.
var errStaleHead = garnetworks.Errorf(garnetworks.KindStaleGeneration,
	"the object API holds a lower generation than nodes have applied: its data went back; nothing was written")

// outcomeUnknownError returns the error for a write of the head that may have taken effect.
func outcomeUnknownError(cause error) error {
	return garnetworks.WrapError(garnetworks.KindOutcomeUnknown, cause,
		"the answer to the write was lost and the object API can't be read now; ask again with the same commit identifier, it is never committed twice")
}

// updateHead reads the head, writes the result of edit by a conditional update, and starts over
// if another writer came first. Edit returns false if nothing is to be written. The result is
// the head that was written, or the one for which edit returned false.
//
// Rule M4: the response of a write can be lost after the write took effect. If an error leaves
// that possible, the next attempt reads the head:
//
//   - If the head includes the edit, edit returns false.
//   - If it has a newer revision without the edit, another writer came first. The lost write
//     depends on the old revision and can no longer take effect.
//   - If its revision is unchanged, the read may be stale. The write is repeated on the same
//     revision, and conflicts if the lost one took effect.
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

// writeHead writes the head if the stored one is still at the revision after.
func (s store) writeHead(ctx context.Context, h Head, after garnetworks.Revision) (garnetworks.Revision, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.api.Put(call, HeadKey, h.encode(), after)
}

// attempts holds what is known about the attempts of one update.
type attempts struct {
	lastErr error
	// maybeWritten is true if a write conditional on the revision after may have taken effect.
	maybeWritten bool
	after        garnetworks.Revision
}

// observeHead handles the revision of a head that was read. If it is newer than the one on
// which an uncertain write was conditional, the outcome of that write is known.
func (t *attempts) observeHead(revision garnetworks.Revision) {
	if revision > t.after {
		t.maybeWritten = false
	}
}

// observeFailure handles the error of a write that was conditional on the revision after.
func (t *attempts) observeFailure(err error, after garnetworks.Revision) {
	t.lastErr = err
	if garnetworks.IsKind(err, garnetworks.KindConflict) || tookNoEffect(err) {
		return
	}
	t.maybeWritten, t.after = true, after
}

// finalError returns the error to report when updateHead gives up. It uses cause if no attempt
// has failed.
func (t *attempts) finalError(cause error) error {
	if t.lastErr == nil {
		t.lastErr = cause
	}
	switch {
	case t.maybeWritten:
		return outcomeUnknownError(t.lastErr)
	case errors.Is(t.lastErr, errStaleHead):
		return t.lastErr
	case garnetworks.IsKind(t.lastErr, garnetworks.KindConflict):
		return garnetworks.WrapError(garnetworks.KindThrottled, t.lastErr, "other writers came first each time; nothing was written")
	}
	return garnetworks.WrapError(garnetworks.KindObjectAPIDown, t.lastErr, "nothing was written")
}

// tookNoEffect reports whether the error rules out that the write took effect.
func tookNoEffect(err error) bool {
	return garnetworks.IsKind(err, garnetworks.KindObjectAPIDown, garnetworks.KindThrottled, garnetworks.KindTooLarge,
		garnetworks.KindInvalidRequest, garnetworks.KindUnreachable)
}

// retriable reports whether the same call may succeed later.
func retriable(err error) bool {
	return !garnetworks.IsKind(err, garnetworks.KindTooLarge, garnetworks.KindInvalidRequest, garnetworks.KindInternal, garnetworks.KindKeyReused)
}

// deleteBodies deletes the bodies of commits and returns the commits whose bodies no longer
// exist. Failed deletions are repeated by the next proposal.
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

// sleep waits for d or the end of ctx.
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
