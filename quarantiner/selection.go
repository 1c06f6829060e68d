package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

// selectContents returns at most limit contents and parts whose records satisfy keep; q.mu is held.
// Those to which the most runs are attributed come first, and parts before contents, since more
// calls depend on them. The order is the same at all nodes with the same records, so that they omit
// the same ones.
func (q *Quarantiner) selectContents(limit int, keep func(*record) bool) []garnetworks.ContentDigest {
	type candidate struct {
		digest     garnetworks.ContentDigest
		part       bool
		attributed int
		runs       int
	}
	var list []candidate
	for digest, r := range q.records {
		if !keep(r) {
			continue
		}
		list = append(list, candidate{digest, r.part, len(r.incarnations(garnetworks.CrashSuspected)), len(r.runs)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.attributed, a.attributed), compareBools(b.part, a.part), cmp.Compare(b.runs, a.runs), cmp.Compare(a.digest, b.digest))
	})
	var digests []garnetworks.ContentDigest
	for _, c := range list[:min(len(list), limit)] {
		digests = append(digests, c.digest)
	}
	return digests
}

// reports returns the records of contents as sent to other nodes; q.mu is held.
func (q *Quarantiner) reports(now time.Time, contents []garnetworks.ContentDigest) []garnetworks.ContentRecord {
	var list []garnetworks.ContentRecord
	for _, content := range contents {
		list = append(list, q.records[content].report(content, now))
	}
	return list
}
