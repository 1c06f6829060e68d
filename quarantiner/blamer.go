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
)

// suspect is a content with the incarnations that crashed during it, sorted and distinct.
type suspect struct {
	content garnetworks.ContentDigest
	crashes []garnetworks.Incarnation
}

// findCulprits returns the contents to quarantine (Z3). It repeatedly takes the content with
// the most crashes and leaves its crashes out of the counts of the others, so that a harmless
// call that shared servers with it is not blamed for the same crashes.
func findCulprits(suspects []suspect) []garnetworks.ContentDigest {
	var culprits []garnetworks.ContentDigest
	attributed := make(garnetworks.Set[garnetworks.Incarnation])
	rest := slices.Clone(suspects)
	for {
		rest = unattributed(rest, attributed)
		top := topSuspects(rest)
		if len(top) == 0 {
			return culprits
		}
		for _, s := range top {
			culprits = append(culprits, s.content)
			for _, id := range s.crashes {
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
		crashes := slices.DeleteFunc(slices.Clone(s.crashes), attributed.Has)
		if len(crashes) >= CrashThreshold {
			rest = append(rest, suspect{s.content, crashes})
		}
	}
	return rest
}

// topSuspects returns the suspect with the most crashes, or all suspects that share exactly
// these crashes. Groups that share too few crashes to be told apart are skipped.
func topSuspects(suspects []suspect) []suspect {
	slices.SortFunc(suspects, func(a, b suspect) int {
		if d := len(b.crashes) - len(a.crashes); d != 0 {
			return d
		}
		if d := slices.CompareFunc(a.crashes, b.crashes, garnetworks.Incarnation.Compare); d != 0 {
			return d
		}
		return cmp.Compare(a.content, b.content)
	})
	for len(suspects) > 0 {
		same := 1
		for same < len(suspects) && slices.Equal(suspects[same].crashes, suspects[0].crashes) {
			same++
		}
		if same == 1 || len(suspects[0].crashes) >= sharedCrashThreshold {
			return suspects[:same]
		}
		suspects = suspects[same:]
	}
	return nil
}
