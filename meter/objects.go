package meter

import (
	"context"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// methodWatch names calls that wait for a change by their nature.
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

// PurposeOf returns what a call to the object API is for: the first part of the key, which
// no caller chooses (M2).
func PurposeOf(key string) string {
	purpose, _, _ := strings.Cut(key, "/")
	return purpose
}

// Observe returns next with note told of each call's method, key or prefix, time and error,
// once the call has ended.
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
