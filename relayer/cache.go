package relayer

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// cache holds the objects under a prefix and the state of the calls that read them. Relayer.mu
// guards all fields but the first four, which don't change.
type cache struct {
	prefix     string
	applyTime  time.Duration
	supersedes func(known, other garnetworks.Object) bool
	times      times

	objects map[string]garnetworks.Object
	// history holds the changes since historyStart, sorted by revision. tombstones maps the keys
	// deleted since then to the revisions of their deletions.
	history      []change
	tombstones   map[string]garnetworks.Revision
	historyStart garnetworks.Revision
	// revision is the object API's revision that the cache reflects; 0 before the first list.
	revision garnetworks.Revision
	// confirmed is a time as of which the cache was known to be current; direct is set if the
	// node learned that from the object API itself.
	confirmed time.Time
	direct    bool
	// answered is when the object API last answered this node, or a call whose contents a peer
	// passed on was sent.
	answered time.Time
	// failures counts the consecutive failed calls to the object API. lastFailure is when the last
	// one ended, and backoffFactor the random factor of the backoff after it (rule Y5).
	failures      int
	lastFailure   time.Time
	backoffFactor float64
	// unanswered is set while a list of the object API has lasted for longer than a request to a
	// peer, after a failed call.
	unanswered bool
	// firstFailure is when the first of these calls ended.
	firstFailure time.Time
	// fallback is the fallback node that the contents came from; empty if they came from a relay
	// or the object API. lastPeerSuccess is when a peer last returned contents confirmed after
	// firstFailure, which shows that some node reaches the object API.
	fallback        string
	lastPeerSuccess time.Time
	changed         chan struct{}
}

// change is the change of an object's value, or its deletion.
type change struct {
	revision garnetworks.Revision
	key      string
}

// storeSnapshot replaces the cache's contents, unless they are newer than the snapshot.
func (r *Relayer) storeSnapshot(c *cache, objects []garnetworks.Object, revision garnetworks.Revision, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision < c.revision {
		return
	}
	known := c.objects
	c.objects = make(map[string]garnetworks.Object, len(objects))
	for _, o := range objects {
		c.objects[o.Key] = c.newer(known, o)
	}
	c.history, c.tombstones, c.historyStart = nil, make(map[string]garnetworks.Revision), revision
	c.advance(revision, confirmed)
}

// applyChanges applies the changes up to a revision, unless the cache is newer or empty.
func (r *Relayer) applyChanges(c *cache, objects []garnetworks.Object, revision garnetworks.Revision, confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.revision == 0 || revision < c.revision {
		return
	}
	for _, o := range objects {
		if o.Deleted {
			delete(c.objects, o.Key)
			o.Revision = max(o.Revision, c.revision+1)
			c.tombstones[o.Key] = o.Revision
		} else {
			c.objects[o.Key] = c.newer(c.objects, o)
			delete(c.tombstones, o.Key)
		}
		c.recordChange(change{o.Revision, o.Key})
	}
	c.limitHistory()
	c.advance(revision, confirmed)
}

// newer returns an object, or the known version of it, under the object's revision, if that one goes
// before it (rule Y9).
//
// Failure: the object API comes back from a copy from before a key was revoked. A node that starts
// then accepts the key until the configuration is written again, though its relay does not.
func (c *cache) newer(known map[string]garnetworks.Object, o garnetworks.Object) garnetworks.Object {
	if k, ok := known[o.Key]; ok && c.supersedes != nil && c.supersedes(k, o) {
		o.Value = k.Value
	}
	return o
}

// recordChange adds a change to the history. Those of one response are nearly in order.
func (c *cache) recordChange(x change) {
	at := len(c.history)
	for at > 0 && c.history[at-1].revision > x.revision {
		at--
	}
	c.history = slices.Insert(c.history, at, x)
}

// limitHistory drops the older half of a history that has become too long.
func (c *cache) limitHistory() {
	if len(c.history) <= maxHistory {
		return
	}
	dropped := len(c.history) / 2
	c.historyStart = c.history[dropped-1].revision
	c.history = slices.Clone(c.history[dropped:])
	maps.DeleteFunc(c.tombstones, func(_ string, revision garnetworks.Revision) bool { return revision <= c.historyStart })
}

// advance moves the cache's revision and confirmation time forward. Relayer.mu must be held.
func (c *cache) advance(revision garnetworks.Revision, confirmed time.Time) {
	// Waiting followers are woken by changes, and when unchanged contents are fresh again after
	// an outage.
	if revision > c.revision || confirmed.Sub(c.confirmed) > c.times.maxAge {
		c.revision = revision
		close(c.changed)
		c.changed = make(chan struct{})
	}
	if confirmed.After(c.confirmed) {
		c.confirmed = confirmed
	}
}

// response returns what a follower at revision after lacks, and whether there is anything
// to send.
func (c *cache) response(after garnetworks.Revision) (*garnetworks.FollowResponse, bool) {
	a := &garnetworks.FollowResponse{Revision: c.revision}
	if c.revision == 0 || after > c.revision {
		// Until this node has contents, and is as new as the follower, there is nothing to send.
		return a, false
	}
	if after == 0 || after < c.historyStart { // rule Y4
		a.Snapshot = true
		for _, key := range slices.Sorted(maps.Keys(c.objects)) {
			a.Objects = append(a.Objects, c.objects[key])
		}
		return a, true
	}
	from, _ := slices.BinarySearchFunc(c.history, after, func(x change, after garnetworks.Revision) int {
		if x.revision > after {
			return 1
		}
		return -1
	})
	seen := make(garnetworks.Set[string])
	for _, x := range c.history[from:] {
		if seen.Has(x.key) {
			continue
		}
		seen.Add(x.key)
		if o, ok := c.objects[x.key]; ok {
			a.Objects = append(a.Objects, o)
		} else {
			a.Objects = append(a.Objects, garnetworks.Object{Key: x.key, Revision: c.tombstones[x.key], Deleted: true})
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
