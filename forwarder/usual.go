package forwarder

import (
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Parameters of the early probe (rule S7).
const (
	// waitSamples is the number of a model's latest waits that are kept; there is no early
	// probe until there are as many.
	waitSamples = 64
	// earlyProbeFactor times the 95th percentile is the wait after which a probe is sent.
	earlyProbeFactor = 2
	// minEarlyProbe is the shortest wait before a probe; it allows for one retransmission.
	minEarlyProbe = 300 * time.Millisecond
)

// firstTokenWaits records how long attempts at each model have waited for their first token at
// this node. It is kept by model because a group gets too few calls from one node.
type firstTokenWaits struct {
	mu      sync.Mutex
	byModel map[garnetworks.ModelName]*modelWaits
}

// modelWaits are the latest waits of one model.
type modelWaits struct {
	samples [waitSamples]time.Duration
	count   int
	// p95 is the 95th percentile of samples; 0 until there are enough.
	p95 time.Duration
}

// record records an attempt's wait for its first token.
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

// earlyProbe returns the wait after which an attempt is probed early, given the allowance for
// prefilling its prompt; false while there are too few samples.
func (f *firstTokenWaits) earlyProbe(model garnetworks.ModelName, prefillAllowance time.Duration) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byModel[model]
	if w == nil || w.p95 == 0 {
		return 0, false
	}
	return max(earlyProbeFactor*w.p95, minEarlyProbe+prefillAllowance), true
}
