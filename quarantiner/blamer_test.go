package quarantiner

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// ends returns the lives of the named engines, in order.
func crashes(names string) []garnetworks.Incarnation {
	var list []garnetworks.Incarnation
	for _, n := range names {
		list = append(list, garnetworks.Incarnation{Instance: garnetworks.InstanceID(n)})
	}
	slices.SortFunc(list, garnetworks.Incarnation.Compare)
	return list
}

// Story: an engine ends, and all its calls with it, the one that ended it and the sound
// ones beside it. Sound calls that went on at the same engines as that one, also twice or
// three times, were refused with it and got no answer.
func TestOnlyWhatExplainsTheEndsIsHeld(t *testing.T) {
	cases := map[string]struct {
		crashes map[garnetworks.ContentDigest]string
		want    []garnetworks.ContentDigest
	}{
		"two ends are nobody's": {map[garnetworks.ContentDigest]string{"x": "ab"}, nil},
		"three ends":            {map[garnetworks.ContentDigest]string{"x": "abc", "s": "ab"}, []garnetworks.ContentDigest{"x"}},
		"a sound call beside each of its four ends":    {map[garnetworks.ContentDigest]string{"x": "abcd", "s": "bcd"}, []garnetworks.ContentDigest{"x"}},
		"two calls with the same three ends":           {map[garnetworks.ContentDigest]string{"x": "abc", "s": "abc"}, nil},
		"two calls with the same four ends":            {map[garnetworks.ContentDigest]string{"x": "abcd", "y": "abcd"}, []garnetworks.ContentDigest{"x", "y"}},
		"two calls, three ends each":                   {map[garnetworks.ContentDigest]string{"x": "abc", "y": "def"}, []garnetworks.ContentDigest{"x", "y"}},
		"two calls that shared an end":                 {map[garnetworks.ContentDigest]string{"x": "abcd", "y": "def", "s": "ad"}, []garnetworks.ContentDigest{"x"}},
		"two calls that shared an end, one more":       {map[garnetworks.ContentDigest]string{"x": "abcd", "y": "defgh"}, []garnetworks.ContentDigest{"y", "x"}},
		"a pair that can't be told apart hides no one": {map[garnetworks.ContentDigest]string{"x": "abc", "s": "abc", "y": "def"}, []garnetworks.ContentDigest{"y"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var suspects []suspect
			for content, names := range c.crashes {
				suspects = append(suspects, suspect{content, crashes(names)})
			}
			if got := findCulprits(suspects); !slices.Equal(got, c.want) {
				t.Errorf("held are %v, want %v", got, c.want)
			}
		})
	}
}

// Sound calls are never held while each end has its culprit and no sound call was beside
// more than three ends, as many as a client's own attempts come to; and each culprit with
// more than three ends of its own is held.
func TestSoundCallsAreNotBlamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		culprits := rapid.IntRange(1, 3).Draw(t, "culprits")
		harmless := make(map[garnetworks.ContentDigest]string)
		var suspects []suspect
		next := 'A'
		for c := range culprits {
			own := ""
			for range rapid.IntRange(sharedCrashThreshold, 10).Draw(t, "ends") {
				own += string(next)
				next++
			}
			suspects = append(suspects, suspect{garnetworks.ContentDigest(fmt.Sprint("culprit", c)), crashes(own)})
			for _, name := range []garnetworks.ContentDigest{"s0", "s1", "s2", "s3"} {
				beside := rapid.IntRange(0, CrashThreshold-len(harmless[name])).Draw(t, "beside")
				harmless[name] += own[:beside]
			}
		}
		for name, beside := range harmless {
			suspects = append(suspects, suspect{name, crashes(beside)})
		}
		quarantined := garnetworks.NewSet(findCulprits(suspects)...)
		for _, s := range suspects {
			if _, isHarmless := harmless[s.content]; quarantined.Has(s.content) == isHarmless {
				t.Fatalf("%s with %d ends: held is %t", s.content, len(s.crashes), quarantined.Has(s.content))
			}
		}
	})
}
