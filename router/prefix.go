package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

const (
	// BlockBytes is the size of a prefix block, about 128 tokens of text.
	BlockBytes = 512
	// prefixLevels is the number of prefix lengths that are hashed: 1, 2, 4, 8 and 16 blocks.
	// Longer prefixes hardly distinguish more calls, and hashing them would dominate the cost
	// of a decision.
	prefixLevels = 5
)

// prefix iterates over the hashes of a prompt's prefixes, shortest first, and computes each
// on demand.
type prefix struct {
	prompt string
	// hash covers workspace, model, adapter and the first done bytes of the prompt.
	hash uint64
	done int
}

// newPrefix starts with the hash of workspace, model and adapter: cached state is never shared
// between different ones.
func newPrefix(call *garnetworks.CallRequest) prefix {
	h := mix(xxhash.Sum64String(string(call.Workspace)))
	h = mix(h ^ xxhash.Sum64String(string(call.Model)))
	h = mix(h ^ xxhash.Sum64String(string(call.Adapter)))
	return prefix{prompt: call.Prompt, hash: h}
}

// next advances to the next length and reports whether the prompt is long enough.
func (p *prefix) next() bool {
	end := BlockBytes
	if p.done > 0 {
		end = 2 * p.done
	}
	if end > BlockBytes<<(prefixLevels-1) || end > len(p.prompt) {
		return false
	}
	p.hash = mix(p.hash ^ xxhash.Sum64String(p.prompt[p.done:end]))
	p.done = end
	return true
}

// mix is a bijective mixing function on 64-bit words.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// PrefixHashes returns the hashes of the prompt's prefixes at each level.
func PrefixHashes(call *garnetworks.CallRequest) []uint64 {
	var hashes []uint64
	p := newPrefix(call)
	for p.next() {
		hashes = append(hashes, p.hash)
	}
	return hashes
}
