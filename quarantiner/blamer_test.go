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

// crashes returns the incarnations of the named engines, sorted.
func crashes(names string) []garnetworks.Incarnation {
	var list []garnetworks.Incarnation
	for _, n := range names {
		list = append(list, garnetworks.Incarnation{Instance: garnetworks.InstanceID(n)})
	}
	slices.SortFunc(list, garnetworks.Incarnation.Compare)
	return list
}

// digests returns the digests of culprits.
func digests(culprits []culprit) (list []garnetworks.ContentDigest) {
	for _, c := range culprits {
		list = append(list, c.shared...)
	}
	return list
}

// A crash interrupts all calls of the engine. Harmless calls that shared engines with the
// culprit two or three times must not be quarantined with it.
func TestFindCulprits(t *testing.T) {
	cases := map[string]struct {
		crashes map[garnetworks.ContentDigest]string
		want    []garnetworks.ContentDigest
	}{
		"two crashes are not enough":                        {map[garnetworks.ContentDigest]string{"x": "ab"}, nil},
		"three crashes":                                     {map[garnetworks.ContentDigest]string{"x": "abc", "s": "ab"}, []garnetworks.ContentDigest{"x"}},
		"a harmless call shares three of four crashes":      {map[garnetworks.ContentDigest]string{"x": "abcd", "s": "bcd"}, []garnetworks.ContentDigest{"x"}},
		"two calls with the same three crashes":             {map[garnetworks.ContentDigest]string{"x": "abc", "s": "abc"}, nil},
		"two calls with the same four crashes":              {map[garnetworks.ContentDigest]string{"x": "abcd", "y": "abcd"}, []garnetworks.ContentDigest{"x", "y"}},
		"two calls, three crashes each":                     {map[garnetworks.ContentDigest]string{"x": "abc", "y": "def"}, []garnetworks.ContentDigest{"x", "y"}},
		"two calls that share a crash":                      {map[garnetworks.ContentDigest]string{"x": "abcd", "y": "def", "s": "ad"}, []garnetworks.ContentDigest{"x"}},
		"two calls that share a crash, five crashes in one": {map[garnetworks.ContentDigest]string{"x": "abcd", "y": "defgh"}, []garnetworks.ContentDigest{"y", "x"}},
		"an ambiguous pair does not hide another culprit":   {map[garnetworks.ContentDigest]string{"x": "abc", "s": "abc", "y": "def"}, []garnetworks.ContentDigest{"y"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var suspects []suspect
			for content, names := range c.crashes {
				suspects = append(suspects, suspect{digest: content, crashes: crashes(names)})
			}
			if got := digests(findCulprits(suspects, func() []suspect { return nil })); !slices.Equal(got, c.want) {
				t.Errorf("findCulprits() = %v, want %v", got, c.want)
			}
		})
	}
}

// Harmless calls that shared at most CrashThreshold crashes with culprits are never
// quarantined, and each culprit with more crashes of its own always is.
func TestHarmlessCallsAreNotQuarantined(t *testing.T) {
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
			suspects = append(suspects, suspect{digest: garnetworks.ContentDigest(fmt.Sprint("culprit", c)), crashes: crashes(own)})
			for _, name := range []garnetworks.ContentDigest{"s0", "s1", "s2", "s3"} {
				shared := rapid.IntRange(0, CrashThreshold-len(harmless[name])).Draw(t, "beside")
				harmless[name] += own[:shared]
			}
		}
		for name, shared := range harmless {
			suspects = append(suspects, suspect{digest: name, crashes: crashes(shared)})
		}
		quarantined := garnetworks.NewSet(digests(findCulprits(suspects, func() []suspect { return nil }))...)
		for _, s := range suspects {
			if _, isHarmless := harmless[s.digest]; quarantined.Has(s.digest) == isHarmless {
				t.Fatalf("%s with %d crashes: quarantined = %t", s.digest, len(s.crashes), quarantined.Has(s.digest))
			}
		}
	})
}
