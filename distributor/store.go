package distributor

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

// result is the outcome of offering an update to the store.
type result string

const (
	accepted    result = "accepted"
	duplicate   result = "duplicate"
	older       result = "older"
	conflicting result = "conflicting"
	tooLarge    result = "too-large"
	tooMany     result = "too-many"
)

// error returns why an update was rejected, or nil if the store holds it.
func (r result) error(u garnetworks.Update) error {
	switch r {
	case accepted, duplicate:
		return nil
	case tooLarge, tooMany:
		return garnetworks.Errorf(garnetworks.KindTooLarge, "topic %s: %s, body of %d bytes", u.Topic, r, len(u.Body))
	default:
		return garnetworks.Errorf(garnetworks.KindConflict, "topic %s: version %v is %s", u.Topic, u.Version, r)
	}
}

// store holds the newest value of each topic. It does no I/O and is not safe for
// concurrent use.
type store struct {
	held map[garnetworks.Topic]garnetworks.Update
	// transient reports the topics that are not compared (rule D8).
	transient func(garnetworks.Topic) bool
	// digest is emptyDigest plus the sum of the hashes of all compared versions.
	digest uint64
	// claimed are the targets that this node has undertaken to forward to (rule D4).
	claimed map[garnetworks.Topic]claims
}

// claims are the claimed targets of one version of a topic.
type claims struct {
	version   garnetworks.UpdateVersion
	addresses garnetworks.Set[string]
}

// emptyDigest is the digest of an empty store. It is not 0, because a heartbeat
// with digest 0 asks for no comparison.
const emptyDigest = 1

func newStore(transient func(garnetworks.Topic) bool) store {
	return store{
		held:      map[garnetworks.Topic]garnetworks.Update{},
		transient: transient,
		digest:    emptyDigest,
		claimed:   map[garnetworks.Topic]claims{},
	}
}

// accept stores the update if it is newer than the held value (rule D1).
func (s *store) accept(u garnetworks.Update) result {
	if len(u.Body) > garnetworks.MaxObjectBytes {
		return tooLarge
	}
	held, ok := s.held[u.Topic]
	switch {
	case !ok && len(s.held) >= MaxTopics:
		return tooMany
	case ok && u.Version.Less(held.Version):
		return older
	case ok && u.Version == held.Version && !bytes.Equal(u.Body, held.Body):
		return conflicting
	case ok && u.Version == held.Version:
		return duplicate
	}
	s.held[u.Topic] = u
	if s.transient(u.Topic) {
		return accepted
	}
	if ok {
		s.digest -= versionHash(held.Topic, held.Version)
	}
	s.digest += versionHash(u.Topic, u.Version)
	return accepted
}

// claim returns the targets that are not yet claimed for this version, and claims
// them. It returns none if the update is no longer the newest, because the newer
// one is forwarded by a tree of its own.
func (s *store) claim(u garnetworks.Update, targets []garnetworks.NodeInfo) []garnetworks.NodeInfo {
	if s.held[u.Topic].Version != u.Version {
		return nil
	}
	c, ok := s.claimed[u.Topic]
	if !ok || c.version != u.Version {
		c = claims{version: u.Version, addresses: garnetworks.NewSet[string]()}
		s.claimed[u.Topic] = c
	}
	var remaining []garnetworks.NodeInfo
	for _, n := range targets {
		if !c.addresses.Has(n.Address) {
			c.addresses.Add(n.Address)
			remaining = append(remaining, n)
		}
	}
	return remaining
}

func (s *store) versions() map[garnetworks.Topic]garnetworks.UpdateVersion {
	versions := make(map[garnetworks.Topic]garnetworks.UpdateVersion, len(s.held))
	for t, u := range s.held {
		if !s.transient(t) {
			versions[t] = u.Version
		}
	}
	return versions
}

func (s *store) missing(versions map[garnetworks.Topic]garnetworks.UpdateVersion) []garnetworks.Topic {
	var topics []garnetworks.Topic
	for t, v := range versions {
		held, ok := s.held[t]
		if !ok || held.Version.Less(v) {
			topics = append(topics, t)
		}
	}
	slices.Sort(topics)
	return topics
}

func (s *store) newerThan(versions map[garnetworks.Topic]garnetworks.UpdateVersion) []garnetworks.Update {
	var updates []garnetworks.Update
	for t, u := range s.held {
		v, ok := versions[t]
		if !s.transient(t) && (!ok || v.Less(u.Version)) {
			updates = append(updates, u)
		}
	}
	slices.SortFunc(updates, func(a, b garnetworks.Update) int { return cmp.Compare(a.Topic, b.Topic) })
	return updates
}

func versionHash(t garnetworks.Topic, v garnetworks.UpdateVersion) uint64 {
	var buffer [12]byte
	binary.BigEndian.PutUint32(buffer[:], v.Term)
	binary.BigEndian.PutUint64(buffer[4:], v.Sequence)
	d := xxhash.New()
	_, _ = d.WriteString(string(t))
	_, _ = d.Write(buffer[:])
	return d.Sum64()
}

// batches splits updates into messages of bounded size (rule D7).
func batches(updates []garnetworks.Update) [][]garnetworks.Update {
	var all [][]garnetworks.Update
	for len(updates) > 0 {
		batch := firstBatch(updates)
		all = append(all, batch)
		updates = updates[len(batch):]
	}
	return all
}

// firstBatch returns the longest prefix of updates that fits into one message, at
// least one update if there is any.
func firstBatch(updates []garnetworks.Update) []garnetworks.Update {
	size := 0
	for i, u := range updates {
		size += len(u.Body)
		if i > 0 && size > MaxBatchBytes {
			return updates[:i]
		}
	}
	return updates
}
