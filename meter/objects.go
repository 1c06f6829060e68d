package meter

import (
	"context"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// methodWatch is excluded from the latency histogram, because a watch waits for a change.
const methodWatch = "watch"

// ObjectAPI returns next with each call counted (M3).
func (m *Meter) ObjectAPI(next garnetworks.ObjectAPI) garnetworks.ObjectAPI {
	return Observe(next, func(method, key string, took time.Duration, err error) {
		m.objectCalls.WithLabelValues(method, PurposeOf(key), string(garnetworks.KindOf(err))).Inc()
		if method != methodWatch {
			m.objectTime.WithLabelValues(method).Observe(took.Seconds())
		}
	})
}

// PurposeOf returns the purpose of a call to the object API: the first part of the key,
// which callers never choose (M2).
func PurposeOf(key string) string {
	purpose, _, _ := strings.Cut(key, "/")
	return purpose
}

// Observe returns an ObjectAPI that calls next and, when each call has ended, observe with
// the call's method, key or prefix, duration and error.
func Observe(next garnetworks.ObjectAPI, observe func(method, key string, took time.Duration, err error)) garnetworks.ObjectAPI {
	return &observedObjectAPI{next: next, observe: observe}
}

type observedObjectAPI struct {
	next    garnetworks.ObjectAPI
	observe func(method, key string, took time.Duration, err error)
}

// Get implements garnetworks.ObjectAPI.
func (o *observedObjectAPI) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	start := time.Now()
	object, err := o.next.Get(ctx, key)
	o.observe("get", key, time.Since(start), err)
	return object, err
}

// Put implements garnetworks.ObjectAPI.
func (o *observedObjectAPI) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	start := time.Now()
	revision, err := o.next.Put(ctx, key, value, after)
	o.observe("put", key, time.Since(start), err)
	return revision, err
}

// Delete implements garnetworks.ObjectAPI.
func (o *observedObjectAPI) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	start := time.Now()
	err := o.next.Delete(ctx, key, after)
	o.observe("delete", key, time.Since(start), err)
	return err
}

// List implements garnetworks.ObjectAPI.
func (o *observedObjectAPI) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	start := time.Now()
	objects, revision, err := o.next.List(ctx, prefix)
	o.observe("list", prefix, time.Since(start), err)
	return objects, revision, err
}

// Watch implements garnetworks.ObjectAPI.
func (o *observedObjectAPI) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	start := time.Now()
	objects, revision, err := o.next.Watch(ctx, prefix, after, wait)
	o.observe(methodWatch, prefix, time.Since(start), err)
	return objects, revision, err
}
