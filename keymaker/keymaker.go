// Package keymaker generates workspace keys and looks up the workspace of a key.
//
// The rules:
//
//	K1  A key is "gnk-" followed by 256 random bits. It is shown once; only its
//	    hash is stored, in the manifest.
//	K2  The hash is a single unsalted SHA-256. Slow or salted hashes protect
//	    low-entropy secrets from guessing and precomputed tables; for 256 random
//	    bits they would only add latency to each request. Equal hashes thus mean
//	    equal keys, and a hash can be looked up in an index.
//	K3  Hashes are compared in constant time. The index is keyed by the first
//	    bytes of the hash, not of the key: what the lookup's timing reveals of a
//	    stored hash does not help to find a key with that hash.
//	K4  A workspace may have several hashes at once, so that a new key works
//	    before the old one is removed.
//	K5  A lookup does not allocate.
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
	// Prefix starts each key, so that people and secret scanners recognize it.
	Prefix = "gnk-"
	// HashPrefix starts each hash and names the hash function.
	HashPrefix = "sha256:"
	// randomBytes is the number of random bytes of a key.
	randomBytes = 32
	// encodedLength is the number of base32 digits that encode randomBytes.
	encodedLength = 52
	// Length is the length of a key in bytes, Prefix included.
	Length = len(Prefix) + encodedLength
)

// encoding is lower-case base32 without padding, so that keys are easy to read out and
// need no quoting.
var encoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Key is a newly generated key and its hash.
type Key struct {
	// Secret is shown to its owner once and never stored.
	Secret string `json:"key"`
	// Hash is the form stored in the manifest.
	Hash string `json:"key-hash"`
}

// New generates a random key.
func New() Key {
	var random [randomBytes]byte
	// Read never returns an error: it crashes the program instead, so that no key has
	// less entropy (rule K1).
	rand.Read(random[:])
	secret := Prefix + encoding.EncodeToString(random[:])
	return Key{Secret: secret, Hash: Hash(secret)}
}

// Hash returns the hash of a key in the form stored in the manifest (rule K2).
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return HashPrefix + hex.EncodeToString(sum[:])
}

// CheckHash returns an error of kind garnetworks.KindInvalidManifest if hash does not
// have the form that Hash returns.
func CheckHash(hash string) error {
	if strings.HasPrefix(hash, Prefix) {
		// A key in a manifest leaks into the build pipeline's logs.
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

// entry is a valid hash and its workspace.
type entry struct {
	sum       [sha256.Size]byte
	workspace garnetworks.WorkspaceName
}

// Index maps keys to workspaces. It is immutable.
type Index struct {
	// buckets holds the entries by the first eight bytes of their hash.
	buckets map[uint64][]entry
}

// NewIndex returns the index of the manifest's keys. It skips malformed hashes, which
// the parser rejects before a manifest is accepted.
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

// Lookup returns the workspace to which the key belongs.
func (x *Index) Lookup(key string) (garnetworks.WorkspaceName, bool) {
	if len(key) != Length || key[:len(Prefix)] != Prefix {
		return "", false
	}
	// The copy stays on the stack (rule K5).
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

// Len returns the number of hashes in the index.
func (x *Index) Len() int {
	n := 0
	for _, entries := range x.buckets {
		n += len(entries)
	}
	return n
}
