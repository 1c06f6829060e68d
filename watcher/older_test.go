package watcher_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/watcher"
)

// revisionList is an object API whose lists reflect a settable revision and whose watches have no
// history.
type revisionList struct {
	garnetworks.ObjectAPI
	mu       sync.Mutex
	revision garnetworks.Revision
}

func (l *revisionList) set(revision garnetworks.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
}

func (l *revisionList) List(context.Context, string) ([]garnetworks.Object, garnetworks.Revision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []garnetworks.Object{{Key: "a", Revision: l.revision}}, l.revision, nil
}

func (l *revisionList) Watch(context.Context, string, garnetworks.Revision, time.Duration) ([]garnetworks.Object, garnetworks.Revision, error) {
	return nil, 0, garnetworks.Errorf(garnetworks.KindCompacted, "no history")
}

// kinds collects the kinds of events.
type kinds struct {
	mu   sync.Mutex
	list []garnetworks.EventKind
}

func (k *kinds) Record(e garnetworks.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = append(k.list, e.Kind)
}

func (k *kinds) count(kind garnetworks.EventKind) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(k.list), func(x garnetworks.EventKind) bool { return x != kind }))
}

// Guards against a watcher whose lists are all refused as older ones without a line in the log.
func TestOlderListIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api, events := &revisionList{revision: 9}, &kinds{}
		w := watcher.New(api, "a", watcher.Options{Recorder: events, RetryMin: 10 * time.Millisecond, RetryMax: 10 * time.Millisecond})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = w.Run(ctx, func(garnetworks.Object) {})
		}()
		for _, x := range []struct {
			revision garnetworks.Revision
			want     int
		}{{9, 0}, {4, 1}, {5, 1}, {10, 1}, {3, 2}} {
			api.set(x.revision)
			time.Sleep(time.Second)
			if n := events.count(garnetworks.EventObjectAPIStale); n != x.want {
				t.Errorf("%d events after a list of revision %s, want %d", n, x.revision, x.want)
			}
		}
		stop()
		<-ended
	})
}
