package watcher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// State is the known state of the objects under a prefix; the zero State is empty. State does
// no I/O and is not safe for concurrent use.
type State struct {
	// Revision is the store's revision that the state reflects; it never decreases.
	Revision garnetworks.Revision
	// Revisions maps the key of each existing object to the revision last delivered.
	Revisions map[string]garnetworks.Revision
}

// ApplyList applies the result of a list call and returns the objects to deliver, in key
// order, with a deletion for each known object that the list lacks (rule W3). It returns
// false and changes nothing if the list is older than the state (rule W2): a lagging replica
// or a store restored from a backup can return such a list.
func (s *State) ApplyList(objects []garnetworks.Object, revision garnetworks.Revision) ([]garnetworks.Object, bool) {
	if revision < s.Revision {
		return nil, false
	}
	s.Revision = revision
	present := make(map[string]garnetworks.Revision, len(objects))
	var updates []garnetworks.Object
	for _, o := range objects {
		present[o.Key] = o.Revision
		if o.Revision > s.Revisions[o.Key] {
			updates = append(updates, o)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.Revisions)) {
		if _, ok := present[key]; !ok {
			updates = append(updates, garnetworks.Object{Key: key, Revision: revision, Deleted: true}) // rule W3
		}
	}
	slices.SortStableFunc(updates, func(a, b garnetworks.Object) int { return cmp.Compare(a.Key, b.Key) })
	s.Revisions = present
	return updates, true
}

// ApplyChanges applies the result of a watch and returns the changes to deliver, in the order
// of objects.
func (s *State) ApplyChanges(objects []garnetworks.Object, revision garnetworks.Revision) []garnetworks.Object {
	if s.Revisions == nil {
		s.Revisions = make(map[string]garnetworks.Revision)
	}
	var updates []garnetworks.Object
	for _, o := range objects {
		if s.applyChange(o) {
			updates = append(updates, o)
		}
	}
	s.Revision = max(s.Revision, revision)
	return updates
}

// applyChange applies one change and reports whether it is new (rule W2). If no object exists
// under the key, two kinds of change are old: one at or below Revision repeats a change from
// before the key's deletion, and a deletion has nothing to delete.
func (s *State) applyChange(o garnetworks.Object) bool {
	known, exists := s.Revisions[o.Key]
	if o.Revision <= known || !exists && (o.Deleted || o.Revision <= s.Revision) {
		return false
	}
	if o.Deleted {
		delete(s.Revisions, o.Key)
		return true
	}
	s.Revisions[o.Key] = o.Revision
	return true
}
