package meter

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/garnetworks/garnetworks"
)

// ObjectAPI returns next with each call counted (M3).
func (m *Meter) ObjectAPI(next garnetworks.ObjectAPI) garnetworks.ObjectAPI {
	return &countingObjectAPI{next: next, calls: m.objectCalls}
}

type countingObjectAPI struct {
	next  garnetworks.ObjectAPI
	calls *prometheus.CounterVec
}

func (c *countingObjectAPI) count(method string, err error) {
	c.calls.WithLabelValues(method, string(garnetworks.KindOf(err))).Inc()
}

// Get implements garnetworks.ObjectAPI.
func (c *countingObjectAPI) Get(ctx context.Context, key string) (garnetworks.Object, error) {
	object, err := c.next.Get(ctx, key)
	c.count("get", err)
	return object, err
}

// Put implements garnetworks.ObjectAPI.
func (c *countingObjectAPI) Put(ctx context.Context, key string, value []byte, after garnetworks.Revision) (garnetworks.Revision, error) {
	revision, err := c.next.Put(ctx, key, value, after)
	c.count("put", err)
	return revision, err
}

// Delete implements garnetworks.ObjectAPI.
func (c *countingObjectAPI) Delete(ctx context.Context, key string, after garnetworks.Revision) error {
	err := c.next.Delete(ctx, key, after)
	c.count("delete", err)
	return err
}

// List implements garnetworks.ObjectAPI.
func (c *countingObjectAPI) List(ctx context.Context, prefix string) ([]garnetworks.Object, garnetworks.Revision, error) {
	objects, revision, err := c.next.List(ctx, prefix)
	c.count("list", err)
	return objects, revision, err
}

// Watch implements garnetworks.ObjectAPI.
func (c *countingObjectAPI) Watch(ctx context.Context, prefix string, after garnetworks.Revision, wait time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	objects, revision, err := c.next.Watch(ctx, prefix, after, wait)
	c.count("watch", err)
	return objects, revision, err
}
