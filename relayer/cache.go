package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// cache is what is known of a prefix.
type cache struct {
	prefix  string
	objects map[string]garnetworks.Object
	// tombstones holds the revisions of deletions since the revision since.
	tombstones   map[string]garnetworks.Revision
	historyStart garnetworks.Revision
	// revision is the object API's that the cache reflects; 0 before the first
	// list.
	revision garnetworks.Revision
	// confirmed is a time at which the cache was the newest state for certain, own says that
	// the node knows that from the object API itself.
	confirmed time.Time
	direct    bool
	// failures counts the calls that the object API failed in a row, backoffUntil is the end
	// of the node's backoff after the last one (rule Y5).
	failures     int
	backoffUntil time.Time
	// firstFailure is when the first of these calls ended.
	firstFailure time.Time
	// fallback is the spare that the contents come from; empty if they come from elsewhere.
	// helped is when a node last gave contents that were certain since failedSince, so that
	// some node reaches the object API.
	fallback        string
	lastPeerSuccess time.Time
	changed         chan struct{}
}

func (r *Relayer) storeSnapshot(c *cache, objects []garnetworks.Object, revision garnetworks.Revision, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < c.revision {
		return
	}
	c.objects = make(map[string]garnetworks.Object, len(objects))
	for _, o := range objects {
		c.objects[o.Key] = o
	}
	c.tombstones, c.historyStart = make(map[string]garnetworks.Revision), revision
	c.advance(revision, confirmed)
}

func (r *Relayer) applyChanges(c *cache, objects []garnetworks.Object, revision garnetworks.Revision, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.revision == 0 || revision < c.revision {
		return
	}
	for _, o := range objects {
		if !o.Deleted {
			c.objects[o.Key] = o
			delete(c.tombstones, o.Key)
			continue
		}
		delete(c.objects, o.Key)
		c.tombstones[o.Key] = max(o.Revision, c.revision+1)
	}
	if len(c.tombstones) > maxTombstones {
		c.tombstones, c.historyStart = make(map[string]garnetworks.Revision), revision
	}
	c.advance(revision, confirmed)
}

// advance takes a newer state; the relayer's lock is held.
func (c *cache) advance(revision garnetworks.Revision, confirmed time.Time) {
	// Askers that wait learn of changes, and that what did not change has become certain
	// again after an outage.
	if revision > c.revision || confirmed.Sub(c.confirmed) > MaxAge {
		c.revision = revision
		close(c.changed)
		c.changed = make(chan struct{})
	}
	if confirmed.After(c.confirmed) {
		c.confirmed = confirmed
	}
}

// response returns what a reader at a revision lacks, and whether that is anything.
func (c *cache) response(after garnetworks.Revision) (*garnetworks.FollowResponse, bool) {
	a := &garnetworks.FollowResponse{Revision: c.revision}
	if c.revision == 0 || after > c.revision {
		// The reader's revision is newer; this node waits until it has caught up.
		return a, false
	}
	if after == 0 || after < c.historyStart { // rule Y4
		a.Snapshot = true
		for _, key := range slices.Sorted(maps.Keys(c.objects)) {
			a.Objects = append(a.Objects, c.objects[key])
		}
		return a, true
	}
	for _, o := range c.objects {
		if o.Revision > after {
			a.Objects = append(a.Objects, o)
		}
	}
	for key, revision := range c.tombstones {
		if revision > after {
			a.Objects = append(a.Objects, garnetworks.Object{Key: key, Revision: revision, Deleted: true})
		}
	}
	slices.SortFunc(a.Objects, func(x, y garnetworks.Object) int {
		if x.Revision != y.Revision {
			return int(int64(x.Revision) - int64(y.Revision))
		}
		return strings.Compare(x.Key, y.Key)
	})
	return a, len(a.Objects) > 0
}
