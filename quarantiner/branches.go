package quarantiner

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"github.com/garnetworks/garnetworks"
)

const (
	// minBranchCrashes is the number of crashes that a branch of a part must have.
	minBranchCrashes = 2
	// maxUnbranched is the number of crashes that may have come behind further parts, and
	// maxBranched that of crashes that the branches need, and of these. With one more, the part is
	// taken for harmful itself.
	maxUnbranched = 2
	maxBranched   = 7
)

// crashSet is a set of a culprit's crashes, by their indices. A record has MaxRuns of them at most.
type crashSet uint32

// splitPart returns the culprits in place of one that is a part: its branches, if they explain its
// crashes as well (Z11).
func splitPart(c *culprit, parts []suspect) []culprit {
	behind := make(map[crashSet][]garnetworks.ContentDigest)
	followed := crashSet(0)
	for _, s := range parts {
		set := crashSetOf(c.crashes, s.crashes)
		if set == 0 || slices.Contains(c.shared, s.digest) {
			continue
		}
		followed |= set
		if set.size() >= minBranchCrashes {
			behind[set] = append(behind[set], s.digest)
		}
	}
	// Larger sets first, so that all nodes find the same branches.
	sets := slices.SortedFunc(maps.Keys(behind), func(a, b crashSet) int {
		return cmp.Or(cmp.Compare(b.size(), a.size()), cmp.Compare(a, b))
	})
	var branches []culprit
	explained := crashSet(0)
	for _, set := range sets {
		if set&^explained != 0 {
			branches = append(branches, c.branch(set, behind[set]))
			explained |= set
		}
	}
	whole := crashSet(1)<<len(c.crashes) - 1
	unbranched := (whole &^ explained).size()
	if len(branches) == 0 || followed != whole || unbranched > maxUnbranched || minBranchCrashes*len(branches)+unbranched > maxBranched {
		return []culprit{*c}
	}
	return branches
}

// crashSetOf returns which of the crashes, which are sorted, are among others, which are too.
func crashSetOf(crashes, others []garnetworks.Incarnation) (set crashSet) {
	for i, id := range crashes {
		if _, ok := slices.BinarySearchFunc(others, id, garnetworks.Incarnation.Compare); ok {
			set |= 1 << i
		}
	}
	return set
}

func (s crashSet) size() int { return bits.OnesCount32(uint32(s)) }

// branch returns the culprit for its calls that also have all of the others.
func (c *culprit) branch(set crashSet, others []garnetworks.ContentDigest) culprit {
	slices.Sort(others)
	branch := culprit{shared: slices.Concat(others, c.shared)}
	for i, id := range c.crashes {
		if set&(1<<i) != 0 {
			branch.crashes = append(branch.crashes, id)
		}
	}
	return branch
}
