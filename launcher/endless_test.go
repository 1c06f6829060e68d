package launcher_test

import (
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// Guards against bytes without end that cost a node its memory, or calls their time.
func TestBytesWithoutEndCostNoCall(t *testing.T) {
	const (
		calls = 12
		// maxAllocated bounds what the process allocates for one call; an answer may have 8 MiB,
		// and growing buffers allocate several times that.
		maxAllocated = 64 << 20
	)
	kinds := []impersonator.EndlessKind{
		impersonator.EndlessNoise, impersonator.EndlessHead, impersonator.EndlessHeaderLine, impersonator.EndlessBody,
		impersonator.EndlessForeign, impersonator.EndlessRefusal, impersonator.EndlessStale,
	}
	for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 0)
			for _, kind := range kinds {
				faulty := s.preferred(safeURL)
				faulty.UpdateFaults(func(f *impersonator.BackendFaults) { f.Endless, f.EndlessPause = kind, pause })
				taken := faulty.EndlessBytes()
				for range calls {
					a, allocated := s.measuredCall(safeURL)
					if a.err != nil || a.status != http.StatusOK {
						t.Errorf("%s: a call that another server can answer gets status %d, %v", kind, a.status, a.err)
					}
					if allocated > maxAllocated {
						t.Errorf("%s: the call allocated %d bytes", kind, allocated)
					}
				}
				if faulty.EndlessBytes() == taken {
					t.Errorf("%s: no call reached the faulty server", kind)
				}
				faulty.UpdateFaults(func(f *impersonator.BackendFaults) { f.Endless = "" })
			}
		})
	}
}

// preferred makes a call to the target and returns the plain server that ran it, which the node
// prefers for the next one.
func (s *site) preferred(target string) *impersonator.Backend {
	s.t.Helper()
	before := len(s.services[0].Runs())
	s.awaitSuccess(target)
	if len(s.services[0].Runs()) > before {
		return s.services[0]
	}
	return s.services[1]
}

// measuredCall makes a call and returns the number of bytes that the process allocated meanwhile.
func (s *site) measuredCall(target string) (answer, uint64) {
	s.t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	a := s.call(http.MethodPost, target, nil)
	runtime.ReadMemStats(&after)
	return a, after.TotalAlloc - before.TotalAlloc
}

// Guards against an engine's event without end, which is buffered until the call's deadline.
func TestEventWithoutEndBreaksTheStream(t *testing.T) {
	s := newSite(t, 6)
	s.eventually("both groups serve", func() bool {
		s.call(http.MethodPost, streamURL, nil)
		heads := 0
		for _, e := range s.engines {
			if len(e.Runs()) > 0 {
				heads++
			}
		}
		return heads == 2
	})
	head := s.head()
	head.UpdateFaults(func(f *impersonator.BackendFaults) { f.Endless = impersonator.EndlessEvent })
	const calls, maxAllocated = 12, 16 << 20
	for range calls {
		a, allocated := s.measuredCall(streamURL)
		if a.err != nil || a.status != http.StatusOK {
			t.Errorf("a call that another group can answer gets status %d, %v", a.status, a.err)
		}
		if allocated > maxAllocated {
			t.Errorf("the call allocated %d bytes", allocated)
		}
	}
	if head.EndlessBytes() == 0 {
		t.Error("no call reached the faulty engine")
	}
}
