package router

import (
	"github.com/cespare/xxhash/v2"

	"github.com/garnetworks/garnetworks"
)

const (
	// BlockBytes is the size of a prefix block, about 128 tokens of text.
	BlockBytes = 512
	// prefixLevels is the number of prefix lengths that are hashed: 1, 2, 4, 8
	// and 16 blocks. Longer prefixes separate no more calls than 16 blocks do,
	// and hashing them would cost more than the rest of the decision.
	prefixLevels = 5
)

// prefix walks the hashes of a call's prompt from short to long, and computes
// no further than it is asked to.
type prefix struct {
	prompt string
	// hash covers scope and the first done bytes of the prompt.
	hash uint64
	done int
}

// newPrefix starts with the scope that cached state is never shared beyond.
func newPrefix(call *garnetworks.CallRequest) prefix {
	h := mix(xxhash.Sum64String(string(call.Workspace)))
	h = mix(h ^ xxhash.Sum64String(string(call.Model)))
	h = mix(h ^ xxhash.Sum64String(string(call.Adapter)))
	return prefix{prompt: call.Prompt, hash: h}
}

// next goes to the next level and reports whether the prompt is that long.
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

// mix spreads the bits of x over the whole word, one to one.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// PrefixHashes returns the hashes of the prompt's prefixes at each level, as
// routers and cache events use them.
func PrefixHashes(call *garnetworks.CallRequest) []uint64 {
	var hashes []uint64
	p := newPrefix(call)
	for p.next() {
		hashes = append(hashes, p.hash)
	}
	return hashes
}
