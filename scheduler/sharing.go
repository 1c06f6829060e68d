package scheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// sharingDecay is the time constant of the calls counted for each workspace. It spans several
	// calls of a node that gets less than one per second.
	sharingDecay = 10 * time.Second
	// scarcityTime is how long after a rejection calls of the model count as scarce.
	scarcityTime = time.Second
	// maxWorkspaces is the number of workspaces that are counted for a model: 4 kB.
	maxWorkspaces = 64
	// excessFactor is the multiple of the mean of the others from which a workspace's calls can
	// exceed its share. Below it, chance makes most of the difference at a node with few calls.
	excessFactor = 2
	// sharingReserve is the part of a group's window that calls beyond their workspace's share
	// leave free for the others.
	sharingReserve = 0.1
	// excessAllowance is the allowance from which they get one of the node's slots, so that a part
	// of the next one is left for the others.
	excessAllowance = 1.5
)

// workspaceCalls counts a node's recent calls to a model, decaying, at the time at (Q17).
type workspaceCalls struct {
	counts map[garnetworks.WorkspaceName]float64
	// rejected is the number of rejected calls.
	rejected float64
	at       time.Time
}

// decay brings the counts to a time.
func (w *workspaceCalls) decay(now time.Time) {
	const least = 0.01
	factor := math.Exp(-float64(now.Sub(w.at)) / float64(sharingDecay))
	w.at = now
	w.rejected *= factor
	for name, n := range w.counts {
		if n *= factor; n < least {
			delete(w.counts, name)
			continue
		}
		w.counts[name] = n
	}
}

// record counts an arriving call. Calls of workspaces beyond maxWorkspaces are not counted.
func (w *workspaceCalls) record(now time.Time, name garnetworks.WorkspaceName) {
	w.decay(now)
	if w.counts == nil {
		w.counts = make(map[garnetworks.WorkspaceName]float64)
	}
	if _, ok := w.counts[name]; ok || len(w.counts) < maxWorkspaces {
		w.counts[name]++
	}
}

// excess returns the fraction of a workspace's calls beyond its share: the calls that were served
// are divided so that no workspace gets more than another one that is not served completely.
func (w *workspaceCalls) excess(name garnetworks.WorkspaceName) float64 {
	// Sorted first, so that rounding doesn't depend on the order of the map.
	counts := slices.Sorted(maps.Values(w.counts))
	own, total := w.counts[name], 0.0
	for _, n := range counts {
		total += n
	}
	if len(counts) < 2 || own <= excessFactor*(total-own)/float64(len(counts)-1) {
		return 0
	}
	left := total - w.rejected
	for i, n := range counts {
		share := left / float64(len(counts)-i)
		if n >= share {
			return max(0, 1-max(0, share)/own)
		}
		left -= n
	}
	return 0
}

// scarce reports whether calls of the model wait or were just rejected.
func (p *pool) scarce(now time.Time) bool {
	return p.waitsOnTime() || !p.rejectedAt.IsZero() && now.Sub(p.rejectedAt) < scarcityTime
}

// divide counts an arriving call, and marks it if it is beyond its workspace's share (Q17).
func (s *Scheduler) divide(now time.Time, p *pool, c *Call) {
	if c.Workspace == "" || c.Resumed {
		return
	}
	p.workspaces.record(now, c.Workspace)
	if p.scarce(now) {
		excess := p.workspaces.excess(c.Workspace)
		c.excess = excess > 0 && s.random() < excess
	}
}

// leavesReserve reports whether the group has a slot beside those reserved for workspaces within
// their share.
func (p *pool) leavesReserve(g *groupState) bool {
	return p.expectedCalls(g)+1 <= g.window-max(1, g.window*sharingReserve)
}
