package retrier

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const (
	completed = garnetworks.OutcomeCompleted
	notRun    = garnetworks.OutcomeNotRun
	unknown   = garnetworks.OutcomeUnknown
)

// A wrong cell of the failure table duplicates calls or misreports calls that ran as
// "not run", so each cell is listed here independently.
func TestFailureTable(t *testing.T) {
	type cell struct {
		retry   bool
		outcome garnetworks.Outcome
	}
	want := map[garnetworks.CallPhase]map[Repeatability]cell{
		"connect": {"repeatable": {true, notRun}, "not-repeatable": {true, notRun}, "keyed": {true, notRun}},
		"write":   {"repeatable": {true, unknown}, "not-repeatable": {false, unknown}, "keyed": {false, unknown}},
		"wait":    {"repeatable": {true, unknown}, "not-repeatable": {false, unknown}, "keyed": {false, unknown}},
		"refused": {"repeatable": {true, notRun}, "not-repeatable": {true, notRun}, "keyed": {true, notRun}},
		"headers": {"repeatable": {true, unknown}, "not-repeatable": {false, unknown}, "keyed": {false, unknown}},
		"body":    {"repeatable": {true, unknown}, "not-repeatable": {false, unknown}, "keyed": {false, unknown}},
		"crossed": {"repeatable": {true, unknown}, "not-repeatable": {false, unknown}, "keyed": {false, unknown}},
		"done":    {"repeatable": {false, completed}, "not-repeatable": {false, completed}, "keyed": {false, completed}},
		// A phase that is not in the table.
		"resting": {"repeatable": {false, unknown}, "not-repeatable": {false, unknown}, "keyed": {false, unknown}},
	}
	for phase, row := range want {
		for repeatability, w := range row {
			got := Lookup(phase, repeatability)
			if got.Retry != w.retry || got.Outcome != w.outcome || got.Reason == "" {
				t.Errorf("%s, %s: got retry %t, outcome %s (%q), want %t, %s",
					phase, repeatability, got.Retry, got.Outcome, got.Reason, w.retry, w.outcome)
			}
		}
	}
	if got, all := len(Table()), len(Phases())*len(Repeatabilities()); got != all || all != 24 {
		t.Errorf("the table has %d cells, want %d", got, all)
	}
}

// serverSpecificRefusals are the reasons that concern one server alone.
var serverSpecificRefusals = []garnetworks.Kind{garnetworks.KindNotReady, garnetworks.KindStaleToken, garnetworks.KindShuttingDown}

// An attempt that may have run must not be forgotten when a later attempt did not run:
// the caller would run the call twice.
func TestUnknownOutcomeIsRemembered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := History{
			Repeatability: rapid.SampledFrom(Repeatabilities()).Draw(t, "repeatability"),
			MaxAttempts:   rapid.IntRange(1, 5).Draw(t, "max"),
		}
		anyMayHaveRun := false
		for {
			phase := rapid.SampledFrom(Phases()[:len(Phases())-1]).Draw(t, "phase")
			delivered := rapid.Bool().Draw(t, "delivered")
			mayHaveRun := delivered || (phase != garnetworks.PhaseConnect && phase != garnetworks.PhaseRefused)
			anyMayHaveRun = anyMayHaveRun || mayHaveRun
			kinds := append(slices.Clone(serverSpecificRefusals), garnetworks.KindOverloaded, garnetworks.KindInternal, "")
			refusal := rapid.SampledFrom(kinds).Draw(t, "refusal")
			v := h.RecordFailure(Failure{Phase: phase, Refusal: refusal, Delivered: delivered})
			if (v.Outcome == notRun) == anyMayHaveRun {
				t.Fatalf("outcome %s, an attempt may have run: %t", v.Outcome, anyMayHaveRun)
			}
			if v.Retry && anyMayHaveRun && h.Repeatability != Repeatable {
				t.Fatalf("a %s call is sent again after phase %s", h.Repeatability, phase)
			}
			serverSpecific := phase == garnetworks.PhaseRefused && slices.Contains(serverSpecificRefusals, refusal)
			if v.Free != (phase == garnetworks.PhaseConnect || serverSpecific) {
				t.Fatalf("a retry after phase %s, refusal %q: free %t", phase, refusal, v.Free)
			}
			if v.Resume != delivered {
				t.Fatalf("resume %t with delivered %t", v.Resume, delivered)
			}
			if h.Attempts > h.MaxAttempts {
				t.Fatalf("%d attempts of %d", h.Attempts, h.MaxAttempts)
			}
			if !v.Retry {
				return
			}
		}
	})
}

// When a zone fails, retries must stay within the bound in each interval, or they overload
// the remaining zones.
func TestBudgetBoundsRetriesInEachInterval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := BudgetLimits{
			Fraction:     rapid.Float64Range(0, 1).Draw(t, "fraction"),
			MinPerSecond: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Burst:        rapid.Float64Range(1, 50).Draw(t, "burst"),
		}
		start := time.Unix(1000, 0)
		now := start
		b := NewBudget(limits, now)
		type step struct {
			at             time.Time
			calls, retries int
			restarted      bool
		}
		steps := []step{{at: now}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 2000).Draw(t, "ms")) * time.Millisecond)
			if now.Before(steps[len(steps)-1].at) {
				now = steps[len(steps)-1].at
			}
			s := step{at: now, calls: rapid.IntRange(0, 20).Draw(t, "calls")}
			if s.restarted = rapid.IntRange(0, 4).Draw(t, "restarts") == 0; s.restarted {
				b = NewBudget(limits, now)
			}
			for range s.calls {
				b.RecordCall(now)
			}
			for range rapid.IntRange(0, 40).Draw(t, "wanted") {
				if b.Take(now) {
					s.retries++
				}
			}
			// A clock reading from before another goroutine's, used after it.
			b.Take(now.Add(-time.Hour))
			steps = append(steps, s)
		}
		for i := range steps {
			calls, retries, restarts := 0, 0, 0
			for _, s := range steps[i:] {
				calls += s.calls
				retries += s.retries
				if s.restarted {
					restarts++
				}
				bound := limits.Burst + float64(restarts) + limits.Fraction*float64(calls) + limits.MinPerSecond*s.at.Sub(steps[i].at).Seconds()
				if float64(retries) > bound+1e-6 {
					t.Fatalf("%d retries, bound %.2f", retries, bound)
				}
			}
		}
	})
}
