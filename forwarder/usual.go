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
	waitSamples = 64
	// usualFactor is how far above the wait of 95 in 100 calls a wait must be to
	// be worth a probe.
	earlyProbeFactor = 2
	// minEarlyProbe is the least wait: a lost packet on the way costs 200 ms.
	minEarlyProbe = 300 * time.Millisecond
)

// usual knows how long attempts at each model have waited for their first token
// at this node. It keeps one small record for each model of the manifest. Models,
// not groups: a node sends a group too few calls to know it.
type firstTokenWaits struct {
	mu      sync.Mutex
	byModel map[garnetworks.ModelName]*modelWaits
}

// waits are the latest waits of one model.
type modelWaits struct {
	samples [waitSamples]time.Duration
	count   int
	// most is what 95 in 100 of the ring don't exceed; 0 while too few are known.
	p95 time.Duration
}

// took notes an attempt's wait for its first token.
func (f *firstTokenWaits) record(model garnetworks.ModelName, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byModel == nil {
		f.byModel = map[garnetworks.ModelName]*modelWaits{}
	}
	w := f.byModel[model]
	if w == nil {
		w = &modelWaits{}
		f.byModel[model] = w
	}
	w.samples[w.count%waitSamples] = wait
	w.count++
	if w.count >= waitSamples {
		sorted := w.samples
		slices.Sort(sorted[:])
		w.p95 = sorted[waitSamples*95/100]
	}
}

// early returns the wait after which an attempt with the given allowance for its
// prompt is probed for the first time; false if too little is known.
func (f *firstTokenWaits) earlyProbe(model garnetworks.ModelName, prefillAllowance time.Duration) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byModel[model]
	if w == nil || w.p95 == 0 {
		return 0, false
	}
	return max(earlyProbeFactor*w.p95, minEarlyProbe+prefillAllowance), true
}
