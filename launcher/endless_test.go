package launcher_test

import (
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// Guards against bytes without end that cost a node its memory, or calls their time.
func TestBytesWithoutEndCostNoCall(t *testing.T) {
	const (
		rounds = 3
		// atOnce calls go to both servers, since the sound one has slots for half of them only.
		atOnce        = 8
		executionTime = 50 * time.Millisecond
		// maxAllocated bounds what the process allocates for one call; an answer may have 8 MiB,
		// and growing buffers allocate several times that.
		maxAllocated = 64 << 20
	)
	kinds := []impersonator.EndlessKind{
		impersonator.EndlessNoise, impersonator.EndlessHead, impersonator.EndlessHeaderLine, impersonator.EndlessBody,
		impersonator.EndlessForeign, impersonator.EndlessRefusal, impersonator.EndlessStale,
	}
	for _, kind := range kinds {
		for name, pause := range map[string]time.Duration{"fast": 0, "slow": 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", kind, name), func(t *testing.T) {
				s := newSite(t, 0) // a node that has not learned to avoid the server
				s.awaitSuccess(safeURL)
				faulty := s.services[0]
				faulty.UpdateFaults(func(f *impersonator.BackendFaults) { f.Endless, f.EndlessPause = kind, pause })
				s.services[1].UpdateFaults(func(f *impersonator.BackendFaults) { f.ExecutionTime = executionTime })
				for range rounds {
					reached := faulty.EndlessCalls()
					answers, allocated := s.measuredCalls(safeURL, atOnce)
					reached = faulty.EndlessCalls() - reached
					for _, a := range answers {
						if a.err != nil || a.status != http.StatusOK {
							t.Errorf("a call that another server can answer gets status %d, %v", a.status, a.err)
						}
					}
					if allocated > maxAllocated*max(1, reached) {
						t.Errorf("%d calls, %d of them to the faulty server, allocated %d bytes", atOnce, reached, allocated)
					}
				}
				if faulty.EndlessBytes() == 0 {
					t.Error("no call reached the faulty server")
				}
			})
		}
	}
}

// measuredCalls makes calls at the same time, and returns the number of bytes that the process
// allocated meanwhile.
func (s *site) measuredCalls(target string, n int) ([]answer, uint64) {
	s.t.Helper()
	answers := make([]answer, n)
	var before, after runtime.MemStats
	var calls sync.WaitGroup
	runtime.ReadMemStats(&before)
	for i := range answers {
		calls.Go(func() { answers[i] = s.call(http.MethodPost, target, nil) })
	}
	calls.Wait()
	runtime.ReadMemStats(&after)
	return answers, after.TotalAlloc - before.TotalAlloc
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
		answers, allocated := s.measuredCalls(streamURL, 1)
		a := answers[0]
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
