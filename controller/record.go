package controller

import (
	"encoding/json"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Record is one object of the object API that only the lease holder writes. Stored is the
// value known to be stored; a write without an answer is resolved by reading the object
// back (rule C6).
type Record[T any] struct {
	Key string
	// Stored is the value known to be stored at Revision.
	Stored   T
	Revision garnetworks.Revision
	// Sent is the newest value sent; meaningful while Busy or MustRead.
	Sent T
	// Busy says that a call for the object is in flight.
	Busy bool
	// MustRead says that the result of the last write is unknown.
	MustRead bool
	// FailingSince is when calls for the object began to fail; zero while they succeed.
	FailingSince time.Time
	// NotBefore delays the next call after a failure.
	NotBefore time.Time
}

// Read is a read that Step requests.
type Read struct{ Key string }

// Write is a conditional write that Step requests; After is the revision it replaces.
type Write struct {
	Key   string
	Value []byte
	After garnetworks.Revision
}

// The delay between failing calls for an object grows from minRetryDelay to maxRetryDelay
// with the duration of the failure, so that retries do not overload an object API that
// is down.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// due reports whether a call for the object may be made now.
func (r *Record[T]) due(now time.Time) bool { return !r.Busy && !now.Before(r.NotBefore) }

// read requests a read of the object.
func (r *Record[T]) read(now time.Time, e *Effects) {
	if !r.due(now) {
		return
	}
	r.Busy = true
	e.Reads = append(e.Reads, Read{r.Key})
}

// write requests a write of value that succeeds only if Revision is still current.
func (r *Record[T]) write(now time.Time, value T, e *Effects) {
	if !r.due(now) {
		return
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("controller: cannot encode an object: " + err.Error())
	}
	r.Busy = true
	r.Sent = value
	e.Writes = append(e.Writes, Write{r.Key, encoded, r.Revision})
}

// onWrite handles a write's result and reports whether the value is known to be stored.
func (r *Record[T]) onWrite(now time.Time, revision garnetworks.Revision, err error) bool {
	r.Busy = false
	if err == nil {
		r.Stored, r.Revision = r.Sent, revision
		r.MustRead = false
		r.FailingSince = time.Time{}
		return true
	}
	r.MustRead = true
	r.onFailure(now, err)
	return false
}

func (r *Record[T]) onFailure(now time.Time, err error) {
	if garnetworks.IsKind(err, garnetworks.KindConflict) {
		return
	}
	if r.FailingSince.IsZero() {
		r.FailingSince = now
	}
	if !garnetworks.IsKind(err, garnetworks.KindResponseLost) {
		r.NotBefore = now.Add(min(max(now.Sub(r.FailingSince)/2, minRetryDelay), maxRetryDelay))
	}
}

// onRead handles a read's result: the stored value, whoever wrote it.
func (r *Record[T]) onRead(now time.Time, object garnetworks.Object, err error) error {
	r.Busy = false
	var stored T
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		// Never written, or deleted: the next write creates the object.
		object.Revision, err = 0, nil
	} else if err == nil {
		err = json.Unmarshal(object.Value, &stored)
		if err != nil {
			err = garnetworks.WrapError(garnetworks.KindInternal, err, "the object "+r.Key+" can't be read")
		}
	}
	if err != nil {
		r.onFailure(now, err)
		return err
	}
	r.Stored, r.Revision = stored, object.Revision
	r.MustRead = false
	r.FailingSince = time.Time{}
	return nil
}
