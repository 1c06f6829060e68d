package quarantiner

import (
	"cmp"
	"slices"

	"github.com/garnetworks/garnetworks"
)

const (
	// CrashThreshold is the number of servers after whose end a content is held (Z3). One or two
	// may end under any call: its second attempt can meet the call that ended the first.
	CrashThreshold = 3
	// sharedEnds is the same where several contents have exactly the same ends. Two calls
	// that were placed together three times by chance are hardly so a fourth time, and a
	// caller who sends two such calls side by side is found all the same.
	sharedCrashThreshold = CrashThreshold + 1
)

// suspect is a content with the lives that ended under it, in order and each once.
type suspect struct {
	content garnetworks.ContentDigest
	crashes []garnetworks.Incarnation
}

// blame returns the contents that are held (Z3). It takes the content first that most
// lives ended under, and leaves what that explains out of the others' counts: a sound call
// that was beside it, also twice or three times, is not blamed for the same ends.
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
			for _, l := range s.crashes {
				attributed.Add(l)
			}
		}
	}
}

// unexplained returns the suspects with the ends that are not explained, if they are
// enough.
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

// worstOf returns the suspect with the most ends, or all of them that have the same ends.
// Those that share too few to be told apart are left to the next ones.
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
