package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Bounds of what is taken for a usual wait for the first token (rule S7).
const (
	// usualSamples is the number of a model's latest first tokens that count; so
	// many must be known before any bound follows from them.
	usualSamples = 64
	// usualFactor is how far above the wait of 95 in 100 calls a wait must be to
	// be worth a probe.
	usualFactor = 2
	// minEarlyProbe is the least wait: a lost packet on the way costs 200 ms.
	minEarlyProbe = 300 * time.Millisecond
)

// usual knows how long attempts at each model have waited for their first token
// at this node. It keeps one small record for each model of the manifest. Models,
// not groups: a node sends a group too few calls to know it.
type usual struct {
	mu     sync.Mutex
	models map[garnetworks.ModelName]*waits
}

// waits are the latest waits of one model.
type waits struct {
	ring  [usualSamples]time.Duration
	count int
	// most is what 95 in 100 of the ring don't exceed; 0 while too few are known.
	most time.Duration
}

// took notes an attempt's wait for its first token.
func (u *usual) took(model garnetworks.ModelName, wait time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.models == nil {
		u.models = map[garnetworks.ModelName]*waits{}
	}
	w := u.models[model]
	if w == nil {
		w = &waits{}
		u.models[model] = w
	}
	w.ring[w.count%usualSamples] = wait
	w.count++
	if w.count >= usualSamples {
		sorted := w.ring
		slices.Sort(sorted[:])
		w.most = sorted[usualSamples*95/100]
	}
}

// early returns the wait after which an attempt with the given allowance for its
// prompt is probed for the first time; false if too little is known.
func (u *usual) early(model garnetworks.ModelName, prefill time.Duration) (time.Duration, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	w := u.models[model]
	if w == nil || w.most == 0 {
		return 0, false
	}
	return max(usualFactor*w.most, minEarlyProbe+prefill), true
}
