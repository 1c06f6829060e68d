// Package keymaker makes workspace keys and finds the workspace of a key.
//
// The rules:
//
//	K1  A key is "gnk-" and 256 random bits. It is shown once; only its hash is
//	    kept, in the manifest.
//	K2  The hash is one unsalted SHA-256. A slow or salted hash protects
//	    secrets that people choose, because these can be guessed or looked up
//	    in a table; 256 random bits can be neither guessed nor tabled, so it
//	    would only cost the hot path time. Equal hashes therefore mean equal
//	    keys, and a hash finds its workspace through an index.
//	K3  Hashes are compared in constant time. The index is reached by the first
//	    bytes of the hash, not of the key: what its timing tells of a stored
//	    hash does not help to find a key with that hash.
//	K4  A workspace may have several hashes at once, so that a new key works
//	    before the old one is taken away.
//	K5  A lookup allocates nothing.
package keymaker

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/garnetworks/garnetworks"
)

const (
	// Prefix begins each key, so that people and secret scanners know it.
	Prefix = "gnk-"
	// HashPrefix begins each hash and names its function.
	HashPrefix = "sha256:"
	// randomBytes is the entropy of a key.
	randomBytes = 32
	// bodyLength is the number of base32 digits that hold randomBytes.
	encodedLength = 52
	// Length is the length of every key.
	Length = len(Prefix) + encodedLength
)

// encoding writes keys in lower case without padding, so that they can be read
// out and never need quoting.
var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Key is a new key with the hash that goes into the manifest.
type Key struct {
	// Secret is shown to its owner once and kept nowhere.
	Secret string `json:"key"`
	// Hash goes into the manifest.
	Hash string `json:"key-hash"`
}

// New returns a new random key.
func New() Key {
	var random [randomBytes]byte
	// The reader never fails: it ends the process instead, so that no key is
	// ever made of fewer random bits (rule K1).
	rand.Read(random[:])
	secret := Prefix + encoding.EncodeToString(random[:])
	return Key{Secret: secret, Hash: Hash(secret)}
}

// Hash returns the hash of a key as it stands in the manifest (rule K2).
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return HashPrefix + hex.EncodeToString(sum[:])
}

// CheckHash returns an error of kind garnetworks.KindInvalidManifest if hash is
// not in the form that Hash returns.
func CheckHash(hash string) error {
	if strings.HasPrefix(hash, Prefix) {
		// A key in a manifest is a secret in the build pipeline's logs.
		return garnetworks.Errorf(garnetworks.KindInvalidManifest,
			"this is a key, not its hash: anyone who read the manifest can use it, so make a new one with garnetctl key new")
	}
	if _, ok := parseHash(hash); !ok {
		return garnetworks.Errorf(garnetworks.KindInvalidManifest,
			"a key hash is %s and %d lower-case hexadecimal digits, as garnetctl key new prints it", HashPrefix, 2*sha256.Size)
	}
	return nil
}

func parseHash(hash string) (sum [sha256.Size]byte, ok bool) {
	digits, found := strings.CutPrefix(hash, HashPrefix)
	if !found || len(digits) != 2*sha256.Size || digits != strings.ToLower(digits) {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(digits))
	return sum, err == nil
}

// entry is one valid hash and its workspace.
type entry struct {
	sum       [sha256.Size]byte
	workspace garnetworks.WorkspaceName
}

// Index finds the workspace of a key. It is never changed once made.
type Index struct {
	// buckets hold the entries by the first eight bytes of their hash.
	buckets map[uint64][]entry
}

// NewIndex returns the index of the manifest's keys. Hashes that are malformed
// match no key; the parser refuses them before a manifest is accepted.
func NewIndex(manifest *garnetworks.Manifest) *Index {
	x := &Index{buckets: map[uint64][]entry{}}
	if manifest == nil {
		return x
	}
	for _, w := range manifest.Workspaces {
		for _, hash := range w.KeyHashes { // rule K4
			sum, ok := parseHash(hash)
			if !ok {
				continue
			}
			bucket := binary.BigEndian.Uint64(sum[:])
			x.buckets[bucket] = append(x.buckets[bucket], entry{sum: sum, workspace: w.Name})
		}
	}
	return x
}

// Lookup returns the workspace that the key belongs to.
func (x *Index) Lookup(key string) (garnetworks.WorkspaceName, bool) {
	if len(key) != Length || key[:len(Prefix)] != Prefix {
		return "", false
	}
	// The copy lives on the stack (rule K5).
	var buffer [Length]byte
	copy(buffer[:], key)
	sum := sha256.Sum256(buffer[:])
	bucket := x.buckets[binary.BigEndian.Uint64(sum[:])]
	for i := range bucket {
		e := &bucket[i]
		// Rule K3.
		if subtle.ConstantTimeCompare(e.sum[:], sum[:]) == 1 {
			return e.workspace, true
		}
	}
	return "", false
}

// Len returns the number of valid hashes.
func (x *Index) Len() int {
	n := 0
	for _, entries := range x.buckets {
		n += len(entries)
	}
	return n
}
