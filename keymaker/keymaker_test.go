package keymaker_test

import (
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/keymaker"
)

func manifest(hashes map[garnetworks.WorkspaceName][]string) *garnetworks.Manifest {
	m := &garnetworks.Manifest{}
	for name, list := range hashes {
		m.Workspaces = append(m.Workspaces, garnetworks.WorkspaceSpec{Name: name, KeyHashes: list})
	}
	return m
}

// TestRotationOverlaps checks that both keys work while the manifest has both hashes,
// and that the old key stops working once its hash is removed.
func TestRotationOverlaps(t *testing.T) {
	before, after, other := keymaker.New(), keymaker.New(), keymaker.New()
	stages := map[string]struct {
		hashes             []string
		oldValid, newValid bool
	}{
		"before":  {[]string{before.Hash}, true, false},
		"overlap": {[]string{before.Hash, after.Hash}, true, true},
		"after":   {[]string{after.Hash}, false, true},
	}
	for name, stage := range stages {
		t.Run(name, func(t *testing.T) {
			x := keymaker.NewIndex(manifest(map[garnetworks.WorkspaceName][]string{
				"field": stage.hashes,
				"other": {other.Hash},
			}))
			check := func(key keymaker.Key, want bool) {
				t.Helper()
				workspace, ok := x.Lookup(key.Secret)
				if ok != want || (ok && workspace != "field") {
					t.Errorf("Lookup = %q, %v, want field: %v", workspace, ok, want)
				}
			}
			check(before, stage.oldValid)
			check(after, stage.newValid)
			if w, ok := x.Lookup(other.Secret); !ok || w != "other" {
				t.Errorf("Lookup of the other workspace's key = %q, %v", w, ok)
			}
		})
	}
}

func TestLookupRejectsInvalidKeys(t *testing.T) {
	key := keymaker.New()
	x := keymaker.NewIndex(manifest(map[garnetworks.WorkspaceName][]string{"w": {key.Hash, "sha256:bad"}}))
	if x.Len() != 1 {
		t.Fatalf("index holds %d hashes, want 1", x.Len())
	}
	last := key.Secret[len(key.Secret)-2]
	changed := byte('a')
	if last == changed {
		changed = 'b'
	}
	keys := map[string]string{
		"empty":      "",
		"short":      key.Secret[:len(key.Secret)-1],
		"long":       key.Secret + "a",
		"one digit":  key.Secret[:len(key.Secret)-2] + string(changed) + key.Secret[len(key.Secret)-1:],
		"upper case": strings.ToUpper(key.Secret),
		"its hash":   key.Hash,
		"no prefix":  "xxx-" + key.Secret[4:],
	}
	for name, k := range keys {
		t.Run(name, func(t *testing.T) {
			if w, ok := x.Lookup(k); ok {
				t.Errorf("Lookup = %q, want no workspace", w)
			}
		})
	}
}

func TestCheckHash(t *testing.T) {
	key := keymaker.New()
	cases := map[string]struct {
		hash  string
		valid bool
	}{
		"generated":  {key.Hash, true},
		"a key":      {key.Secret, false},
		"upper case": {"sha256:" + strings.ToUpper(key.Hash[7:]), false},
		"short":      {key.Hash[:len(key.Hash)-1], false},
		"no prefix":  {key.Hash[7:], false},
		"not hex":    {"sha256:" + strings.Repeat("g", 64), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			err := keymaker.CheckHash(c.hash)
			if (err == nil) != c.valid {
				t.Fatalf("CheckHash = %v, want valid: %v", err, c.valid)
			}
			if err != nil && strings.Contains(err.Error(), key.Secret) {
				t.Errorf("the error shows the key: %v", err)
			}
		})
	}
}

func TestLookupAllocatesNothing(t *testing.T) {
	key := keymaker.New()
	x := keymaker.NewIndex(manifest(map[garnetworks.WorkspaceName][]string{"w": {key.Hash}}))
	if n := testing.AllocsPerRun(100, func() { x.Lookup(key.Secret) }); n != 0 {
		t.Errorf("Lookup allocates %v times, want 0", n)
	}
}

func BenchmarkLookup(b *testing.B) {
	hashes := map[garnetworks.WorkspaceName][]string{}
	for i := range 100 {
		hashes[garnetworks.WorkspaceName(rune('a'+i))] = []string{keymaker.New().Hash, keymaker.New().Hash}
	}
	key := keymaker.New()
	hashes["caller"] = []string{key.Hash}
	x := keymaker.NewIndex(manifest(hashes))
	b.ReportAllocs()
	for b.Loop() {
		x.Lookup(key.Secret)
	}
}
