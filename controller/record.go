package controller

import (
	"encoding/json"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Record is one object of the object API that this holder alone writes while it
// holds the lease. Stored is what is proven to be there; a write in flight or
// with a lost answer is concluded by reading back (rule C6).
type Record[T any] struct {
	Key string
	// Stored is the value known to be stored at Revision.
	Stored   T
	Revision garnetworks.Revision
	// Sent is the newest value sent; meaningful while Busy or MustRead.
	Sent T
	// Busy says that a call about the object is in flight.
	Busy bool
	// MustRead says that the last write's fate is not known.
	MustRead bool
	// Failing is when calls about the object began to fail; zero while they work.
	FailingSince time.Time
	// NotBefore delays the next call after a failure.
	NotBefore time.Time
}

// Read is a read that Step asks for.
type Read struct{ Key string }

// Write is a conditional write that Step asks for.
type Write struct {
	Key   string
	Value []byte
	After garnetworks.Revision
}

// The time between two calls about an object that fail grows from retryFailed to
// retryLongest with the time for which they have failed, so that an API that is
// down is not kept busy by those that wait for it.
const (
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// due reports whether a call about the object may be made now.
func (r *Record[T]) due(now time.Time) bool { return !r.Busy && !now.Before(r.NotBefore) }

// read asks for the object.
func (r *Record[T]) read(now time.Time, e *Effects) {
	if !r.due(now) {
		return
	}
	r.Busy = true
	e.Reads = append(e.Reads, Read{r.Key})
}

// write asks for value to be stored after what is known to be stored.
func (r *Record[T]) write(now time.Time, value T, e *Effects) {
	if !r.due(now) {
		return
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("controller: an object does not marshal: " + err.Error())
	}
	r.Busy = true
	r.Sent = value
	e.Writes = append(e.Writes, Write{r.Key, encoded, r.Revision})
}

// onWrite takes in a write's result and reports whether it is proven stored.
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

// onRead takes in a read's result: what is stored, whoever wrote it.
func (r *Record[T]) onRead(now time.Time, object garnetworks.Object, err error) error {
	r.Busy = false
	var stored T
	if garnetworks.IsKind(err, garnetworks.KindNotFound) {
		// Never written, or deleted: what this holder knows is written (anew).
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
