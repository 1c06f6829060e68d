package quarantiner

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

const (
	// CrashThreshold is the number of crashes that quarantine a content (Z3). One or two may
	// happen during any call: a retry can meet the call that crashed the first server.
	CrashThreshold = 3
	// sharedCrashThreshold applies where several contents have exactly the same crashes. Two
	// calls that shared three servers by chance will hardly share a fourth; two calls that both
	// crash servers and are always sent together are still found.
	sharedCrashThreshold = CrashThreshold + 1
	// partCrashThreshold is the number of crashes that quarantine a part of prompts (Z8). More
	// calls have it than a content, so that it meets more servers that crash by chance.
	partCrashThreshold = CrashThreshold + 1
	// maxUnexplained is the number of crashes of a part that something else need not have for
	// being taken for their cause as well.
	maxUnexplained = 1
)

// suspect is a content or a part of prompts with the incarnations that crashed during calls with
// it, sorted and distinct.
type suspect struct {
	digest  garnetworks.ContentDigest
	crashes []garnetworks.Incarnation
	// spread says that enough of the crashes of a part came at different times.
	spread bool
}

// culprit is what quarantined calls have in common: one content, or parts that all calls had under
// which the incarnations crashed.
type culprit struct {
	// shared begins with the content or part that has the crashes; the others are sorted.
	shared  []garnetworks.ContentDigest
	crashes []garnetworks.Incarnation
}

func (c *culprit) lead() garnetworks.ContentDigest { return c.shared[0] }

// findCulprits returns the culprits (Z3, Z8). It repeatedly takes the suspect with the most crashes
// and leaves its crashes out of the counts of the others, so that a harmless call that shared
// servers with it is not blamed for the same crashes.
// The function parts returns the parts with crashes in the calls of all workspaces and models.
func findCulprits(suspects []suspect, parts func() []suspect) []culprit {
	var culprits []culprit
	attributed := make(garnetworks.Set[garnetworks.Incarnation])
	rest := slices.Clone(suspects)
	for {
		rest = unattributed(rest, attributed)
		top := topCulprits(rest, parts)
		if len(top) == 0 {
			return culprits
		}
		for _, c := range top {
			culprits = append(culprits, c)
			for _, id := range c.crashes {
				attributed.Add(id)
			}
		}
	}
}

// unattributed returns the suspects with the crashes that are not attributed yet, leaving
// out suspects with fewer than CrashThreshold.
func unattributed(suspects []suspect, attributed garnetworks.Set[garnetworks.Incarnation]) []suspect {
	var rest []suspect
	for _, s := range suspects {
		s.crashes = slices.DeleteFunc(slices.Clone(s.crashes), attributed.Has)
		if len(s.crashes) >= CrashThreshold {
			rest = append(rest, s)
		}
	}
	return rest
}

// topCulprits returns the content or part with the most crashes, or all contents that share exactly
// these crashes, or the branches of a part (Z11). Suspects that share too few crashes to be
// distinguished are skipped.
func topCulprits(suspects []suspect, parts func() []suspect) []culprit {
	slices.SortFunc(suspects, func(a, b suspect) int {
		if d := len(b.crashes) - len(a.crashes); d != 0 {
			return d
		}
		if d := slices.CompareFunc(a.crashes, b.crashes, garnetworks.Incarnation.Compare); d != 0 {
			return d
		}
		return cmp.Or(compareBools(a.digest.IsPart(), b.digest.IsPart()), cmp.Compare(a.digest, b.digest))
	})
	ambiguous := make(garnetworks.Set[garnetworks.ContentDigest])
	for len(suspects) > 0 {
		s := suspects[0]
		if s.digest.IsPart() {
			if c, ok := partCulprit(suspects, ambiguous); ok {
				return splitPart(&c, parts())
			}
			suspects = suspects[1:]
			continue
		}
		same := 1
		for same < len(suspects) && !suspects[same].digest.IsPart() && slices.Equal(suspects[same].crashes, s.crashes) {
			same++
		}
		if !ambiguous.Has(s.digest) && (same == 1 || len(s.crashes) >= sharedCrashThreshold) {
			var culprits []culprit
			for _, x := range suspects[:same] {
				culprits = append(culprits, culprit{[]garnetworks.ContentDigest{x.digest}, x.crashes})
			}
			return culprits
		}
		suspects = suspects[same:]
	}
	return nil
}

// partCulprit returns the culprit to which the first suspect, a part, leads, if any (Z8). The others
// have at most as many crashes.
//
// A part that calls with the first one always had is as likely the cause, and so both must be in a
// call that is quarantined. A content that explains the crashes is preferred: only its copies are
// quarantined. If it has too few crashes to distinguish it from a harmless call that met the servers, both
// are ambiguous until the next crash.
func partCulprit(suspects []suspect, ambiguous garnetworks.Set[garnetworks.ContentDigest]) (culprit, bool) {
	first := suspects[0]
	if len(first.crashes) < partCrashThreshold || !first.spread {
		return culprit{}, false
	}
	c := culprit{[]garnetworks.ContentDigest{first.digest}, first.crashes}
	explained := false
	for _, other := range suspects[1:] {
		switch {
		case countMissing(first.crashes, other.crashes) > maxUnexplained:
		case other.digest.IsPart():
			c.shared = append(c.shared, other.digest)
		case len(other.crashes) >= sharedCrashThreshold:
			explained = true
		default:
			ambiguous.Add(other.digest)
			explained = true
		}
	}
	slices.Sort(c.shared[1:])
	return c, !explained
}

// countMissing returns the number of incarnations that are in a but not in b; both are sorted.
func countMissing(a, b []garnetworks.Incarnation) int {
	missing := 0
	for _, id := range a {
		if _, ok := slices.BinarySearchFunc(b, id, garnetworks.Incarnation.Compare); !ok {
			missing++
		}
	}
	return missing
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
