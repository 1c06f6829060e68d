package router

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Simulated workload: a few large workspaces, each with instruction templates, documents that
// are used repeatedly, and conversations with follow-ups.
const (
	simWorkspaces    = 10
	simTemplates     = 6
	simConversations = 2000
)

// simShape parameterizes the workload and the engines' caches.
type simShape struct {
	// documents is the number of documents per workspace.
	documents int
	// followUps is the fraction of calls that continue a conversation.
	followUps float64
	// hot is the fraction of calls that share one prompt of 12 blocks, each followed by a
	// different block.
	hot float64
	// short is the fraction of calls that are shorter than a block.
	short float64
	// cache is the size of each engine's cache in blocks.
	cache int
}

var simShapes = map[string]simShape{
	"mixed":          {documents: 150, followUps: 0.4, cache: 3000},
	"small-caches":   {documents: 150, followUps: 0.4, cache: 800},
	"no-follow-ups":  {documents: 150, cache: 3000},
	"many-documents": {documents: 1000, followUps: 0.4, cache: 3000},
	"hot-prompt":     {documents: 150, followUps: 0.4, hot: 0.5, cache: 3000},
	"short-calls":    {documents: 150, followUps: 0.4, short: 0.5, cache: 3000},
}

type simWorkload struct {
	simShape
	hotPrompt     []uint64
	random        *rand.Rand
	templates     [][]uint64
	texts         [][]uint64
	conversations [][]uint64
	owners        []int
	nextBlock     uint64
}

func newSimWorkload(shape simShape, seed uint64) *simWorkload {
	w := &simWorkload{simShape: shape, random: rand.New(rand.NewPCG(seed, 1))}
	for range simWorkspaces * simTemplates {
		w.templates = append(w.templates, w.blocks(2+w.random.IntN(11)))
	}
	for range simWorkspaces * shape.documents {
		w.texts = append(w.texts, w.blocks(8+w.random.IntN(33)))
	}
	w.hotPrompt = w.blocks(12)
	return w
}

func (w *simWorkload) blocks(n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		w.nextBlock++
		blocks[i] = mix(w.nextBlock)
	}
	return blocks
}

// zipf draws an index below n with decreasing probability.
func (w *simWorkload) zipf(n int) int {
	u := w.random.Float64()
	return min(n-1, int(math.Pow(float64(n+1), u))-1)
}

// next returns the next call. Block hashes are chained, so that equal blocks with different
// predecessors differ.
func (w *simWorkload) next() *simCall {
	if w.hot > 0 && w.random.Float64() < w.hot {
		return w.call(0, append(w.hotPrompt[:12:12], w.blocks(1)...))
	}
	if w.short > 0 && w.random.Float64() < w.short {
		c := w.call(w.zipf(simWorkspaces), w.blocks(1))
		c.request.Prompt = c.request.Prompt[:BlockBytes/2]
		return c
	}
	if len(w.conversations) > 100 && w.random.Float64() < w.followUps {
		// Follow-ups favor recent conversations.
		i := len(w.conversations) - 1 - w.zipf(len(w.conversations))
		w.conversations[i] = append(w.conversations[i][:len(w.conversations[i]):len(w.conversations[i])], w.blocks(2)...)
		return w.call(w.owners[i], w.conversations[i])
	}
	owner := w.zipf(simWorkspaces)
	var raw []uint64
	raw = append(raw, w.templates[owner*simTemplates+w.zipf(simTemplates)]...)
	raw = append(raw, w.texts[owner*w.documents+w.zipf(w.documents)]...)
	raw = append(raw, w.blocks(1)...)
	w.conversations = append(w.conversations, raw)
	w.owners = append(w.owners, owner)
	if len(w.conversations) > simConversations {
		w.conversations = w.conversations[1:]
		w.owners = w.owners[1:]
	}
	return w.call(owner, raw)
}

func (w *simWorkload) call(owner int, raw []uint64) *simCall {
	c := &simCall{output: 50 + w.random.IntN(200)}
	chain := uint64(owner)
	for _, b := range raw {
		chain = mix(chain ^ b)
		c.blocks = append(c.blocks, chain)
	}
	c.request = garnetworks.CallRequest{
		Workspace: garnetworks.WorkspaceName(fmt.Sprintf("w%d", owner)),
		Model:     "m",
		Prompt:    promptOf(raw),
		MaxTokens: c.output,
	}
	return c
}

// promptOf spells out the first blocks; routers read no further.
func promptOf(raw []uint64) string {
	var b strings.Builder
	var word [8]byte
	for _, block := range raw[:min(len(raw), 1<<(prefixLevels-1))] {
		binary.LittleEndian.PutUint64(word[:], block)
		for range BlockBytes / len(word) {
			b.Write(word[:])
		}
	}
	return b.String()
}

// arrival returns the exponentially distributed time to the next call at a rate.
func (w *simWorkload) arrival(rate float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
}
