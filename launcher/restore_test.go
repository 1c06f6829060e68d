package launcher_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// restore takes the store away for a moment and brings it back from the copy.
func (s *site) restore(c *impersonator.StoreCopy) {
	const away = 300 * time.Millisecond
	s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = true })
	s.store.Restore(c)
	time.Sleep(away)
	s.store.UpdateFaults(func(f *impersonator.StoreFaults) { f.Down = false })
}

// accepts reports whether a call with a key succeeds.
func (s *site) accepts(target, key string) bool {
	s.t.Helper()
	a := s.call(http.MethodPost, target, func(r *http.Request) { r.Header.Set("Authorization", "Token "+key) })
	return a.err == nil && a.status == http.StatusOK
}

// Guards against nodes that refuse calls, or repair no groups, after the store came back from a copy.
func TestNodesServeAfterTheStoreIsRestored(t *testing.T) {
	for name, c := range map[string]struct {
		restores int
		past     bool
	}{
		"below the nodes' revisions":          {restores: 1},
		"beyond the nodes' revisions":         {restores: 1, past: true},
		"three restores, below the revisions": {restores: 3},
		"two restores, beyond the revisions":  {restores: 2, past: true},
	} {
		t.Run(name, func(t *testing.T) {
			const changes = 40
			s := newSite(t, 6)
			nodes := []*site{s, s.join("n2")}
			for _, n := range nodes {
				n.awaitSuccess(streamURL)
				n.awaitSuccess(onceURL)
			}
			old := s.store.Copy()
			for i := range changes {
				s.store.Set("config", "main", config(2+i, key))
			}
			seen := s.store.Revision()
			for range c.restores {
				s.restore(old)
			}
			s.store.Set("config", "main", config(changes+10, "k-new"))
			if c.past {
				s.store.Advance(seen + changes)
			}
			for _, n := range nodes {
				n.eventually("calls with a key of the new era succeed", func() bool { return n.accepts(onceURL, "k-new") })
				n.eventually("streams with a key of the new era succeed", func() bool { return n.accepts(streamURL, "k-new") })
				if n.accepts(onceURL, key) {
					t.Errorf("node %s accepts a key that the new configuration lacks", n.name)
				}
			}
			s.head().Kill()
			for _, n := range nodes {
				n.eventually("streams succeed beside a lost engine", func() bool { return n.accepts(streamURL, "k-new") })
			}
		})
	}
}
