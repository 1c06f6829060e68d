package forwarder

import (
	"context"
	"flag"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// Guards against an answer that is not a prefix of the true text after a resumption with
// overlapping, differently cut or contradicting chunks.
func TestTranscriptDeliversOnlyTheText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "bb", "", "é", "abc"}), 1, 40).Draw(t, "words")
		d := transcript{maxTokens: len(words)}
		delivered := ""
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			d.beginAttempt()
			index := max(0, d.tokens-rapid.IntRange(0, 6).Draw(t, "back"))
			// A correct chunk that directly follows an accepted one must be accepted.
			follows := false
			for index < len(words) {
				count := rapid.IntRange(1, min(4, len(words)-index)).Draw(t, "count")
				text := strings.Join(words[index:index+count], "")
				repeated := index < d.tokens && strings.Join(words[index:min(index+count, d.tokens)], "") != ""
				wrong := repeated && rapid.IntRange(0, 4).Draw(t, "lie") == 0
				if wrong {
					text = "lie"
				}
				skipped := index > d.tokens
				part, err := d.accept(&garnetworks.Chunk{Index: index, Tokens: count, Text: text})
				if err == nil && (wrong || skipped) {
					t.Fatalf("accepted: %q at %d after %d tokens", text, index, d.tokens)
				}
				if err != nil && follows && !wrong {
					t.Fatalf("refused: %q at %d after %d tokens", text, index, d.tokens)
				}
				if err != nil {
					break
				}
				follows = true
				delivered += part.Text
				if whole := strings.Join(words[:d.tokens], ""); delivered != whole {
					t.Fatalf("delivered %q, want %q", delivered, whole)
				}
				index += count
				if rapid.IntRange(0, 9).Draw(t, "skip") == 0 {
					index++
					follows = false
				}
				if rapid.IntRange(0, 5).Draw(t, "break") == 0 {
					break
				}
			}
		}
		if len(d.text) != len(delivered) || d.tokens > len(words) {
			t.Fatalf("kept %q with %d tokens, delivered %q", d.text, d.tokens, delivered)
		}
	})
}

// Guards against cancelling an attempt at a slow engine, which costs a second prefill, and
// against waiting on a dead connection.
func TestDiagnoseStall(t *testing.T) {
	started := time.Unix(1000, 0)
	alive := func(change func(e *stallEvidence)) stallEvidence {
		e := stallEvidence{hasToken: true, started: started, group: "g1", probed: true}
		e.status = garnetworks.EngineStatus{Group: "g1"}
		e.status.Load = garnetworks.EngineLoad{Running: 3, At: started.Add(time.Second)}
		change(&e)
		return e
	}
	tests := map[string]struct {
		e    stallEvidence
		want error
	}{
		"busy engine":                            {alive(func(*stallEvidence) {}), nil},
		"no new connection":                      {alive(func(e *stallEvidence) { e.probeError = errors.New("refused") }), errEngineLost},
		"re-formed meanwhile":                    {alive(func(e *stallEvidence) { e.status.Group = "g2" }), errEngineChanged},
		"released meanwhile":                     {alive(func(e *stallEvidence) { e.status.Group = "" }), errEngineChanged},
		"others progress":                        {alive(func(e *stallEvidence) { e.othersProgressed = true }), errConnectionStalled},
		"others progress, this one has no token": {alive(func(e *stallEvidence) { e.othersProgressed, e.hasToken = true, false }), nil},
		"engine without work":                    {alive(func(e *stallEvidence) { e.status.Load.Running = 0 }), errConnectionStalled},
		"without work, but measured before": {alive(func(e *stallEvidence) {
			e.status.Load.Running, e.status.Load.At = 0, started.Add(-time.Second)
		}), nil},
		"early, engine without work": {alive(func(e *stallEvidence) {
			e.early, e.hasToken, e.status.Load.Running = true, false, 0
		}), nil},
		"early, no new connection": {alive(func(e *stallEvidence) {
			e.early, e.probeError = true, errors.New("refused")
		}), errEngineLost},
		"waiting in its queue":    {alive(func(e *stallEvidence) { e.status.Load.Running, e.status.Load.Waiting = 0, 1 }), nil},
		"overtaken, nobody waits": {alive(func(e *stallEvidence) { e.overtaken, e.hasToken = true, false }), errConnectionStalled},
		"overtaken, some wait": {alive(func(e *stallEvidence) {
			e.overtaken, e.hasToken, e.status.Load.Waiting = true, false, 1
		}), nil},
		"later attempts have tokens, as has this one": {alive(func(e *stallEvidence) { e.overtaken = true }), nil},
		"no prober": {stallEvidence{hasToken: true, started: started, group: "g1"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := diagnoseStall(tt.e); got != tt.want {
				t.Errorf("diagnosed %v, want %v", got, tt.want)
			}
		})
	}
}

const fastTokens = 1000

// fastEngine is a group whose engine produces tokens as fast as they are read.
type fastEngine struct {
	sent      int
	cancelled bool
	results   []garnetworks.AttemptResult
	refuse    bool
}

func (e *fastEngine) Choose(time.Time, *garnetworks.CallRequest, []garnetworks.GroupID) (garnetworks.GroupView, error) {
	return garnetworks.GroupView{ID: "g1"}, nil
}
func (e *fastEngine) AttemptStarted(time.Time, *garnetworks.CallRequest, garnetworks.GroupID) {}
func (e *fastEngine) AttemptFinished(_ time.Time, _ *garnetworks.CallRequest, _ garnetworks.GroupID, r garnetworks.AttemptResult) {
	e.results = append(e.results, r)
}
func (e *fastEngine) ReportLoad(time.Time, garnetworks.GroupID, garnetworks.EngineLoad) {}

func (e *fastEngine) Generate(ctx context.Context, _ string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	if e.refuse {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, RetryAfter: 7 * time.Second}
	}
	return &fastStream{e, ctx, call.Attempt}, nil
}

type fastStream struct {
	*fastEngine
	ctx     context.Context
	attempt garnetworks.CallID
}

func (s *fastStream) Next(c *garnetworks.Chunk) error {
	if s.ctx.Err() != nil {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: s.ctx.Err()}
	}
	*c = garnetworks.Chunk{Attempt: s.attempt, Index: s.sent, Text: "x", Tokens: 1}
	s.sent++
	if s.sent == fastTokens {
		c.End, c.FinishReason = true, "stop"
	}
	return nil
}

func (s *fastStream) Close() error {
	s.cancelled = true
	return nil
}

// stallingSink blocks for stall when it receives its second part.
type stallingSink struct {
	taken int
	stall time.Duration
}

func (s *stallingSink) Write(Part) error {
	s.taken++
	if s.taken == 2 {
		time.Sleep(s.stall)
	}
	return nil
}
func (s *stallingSink) Flush() error { return nil }
func (s *stallingSink) Idle() error  { return nil }

func callFor(d time.Duration) *garnetworks.CallRequest {
	now := time.Now()
	return &garnetworks.CallRequest{ID: "c1", MaxTokens: 1 << 20, Received: now, FirstTokenBy: now.Add(d), Deadline: now.Add(d)}
}

// Guards against unbounded buffering for a caller that stops reading: the engine must see
// backpressure and the call must end in time.
func TestSlowCallerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fastEngine{}
		f := New(Options{Engines: e, Groups: e})
		sink := &stallingSink{stall: 15 * time.Second}
		begin := time.Now()
		go func() {
			time.Sleep(9 * time.Second)
			synctest.Wait()
			if e.sent > 3*BufferParts {
				t.Errorf("%d tokens were read for a caller who took %d", e.sent, sink.taken)
			}
		}()
		_, err := f.Generate(context.Background(), callFor(time.Minute), sink)
		if !garnetworks.IsKind(err, garnetworks.KindCancelled) || !e.cancelled {
			t.Errorf("%v, cancelled at the engine: %t", err, e.cancelled)
		}
		if took := time.Since(begin); took > 16*time.Second {
			t.Errorf("cancelled after %s", took)
		}
		if len(e.results) != 1 || !e.results[0].Cancelled {
			t.Errorf("the attempt counts against the group: %+v", e.results)
		}
	})
}

// Guards against diagnosing a stall in an engine that is only held back by a slow caller.
func TestBackpressuredEngineIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fastEngine{}
		f := New(Options{Engines: e, Groups: e, Timeouts: Timeouts{SlowBetweenTokens: time.Second}})
		ctx, cancel := context.WithTimeout(context.Background(), 9*time.Second)
		defer cancel()
		sink := &stallingSink{stall: 8 * time.Second}
		_, err := f.Generate(ctx, callFor(time.Minute), sink)
		if err != nil || len(e.results) != 1 || e.results[0].Stalled || sink.taken != fastTokens {
			t.Errorf("%v, taken %d, %+v", err, sink.taken, e.results)
		}
	})
}

// Guards against a retry storm when all engines of a zone refuse: retries stay within the budget
// and the caller gets a RetryAfter.
func TestNoRetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fastEngine{refuse: true}
		f := New(Options{Engines: e, Groups: e})
		const calls = 500
		for range calls {
			_, err := f.Generate(context.Background(), callFor(time.Minute), &stallingSink{})
			var e *garnetworks.Error
			if !errors.As(err, &e) || e.Kind != garnetworks.KindBackendRefused || e.RetryAfter != 7*time.Second {
				t.Fatalf("%v", err)
			}
		}
		limits := f.options.Budget
		retries := len(e.results) - calls
		t.Logf("%d retries for %d calls that were all refused", retries, calls)
		if bound := int(limits.Burst + limits.Fraction*calls); retries > bound || retries < bound/2 {
			t.Errorf("%d retries for %d calls, bound %d", retries, calls, bound)
		}
	})
}

// busyEngine is an engine with a full batch. The first attempt of call c1 stalls after
// stallAfter tokens; all others get a token every 40 ms.
type busyEngine struct {
	fastEngine
	stallAfter int
}

func (b *busyEngine) Status(context.Context, string) (garnetworks.EngineStatus, error) {
	load := garnetworks.EngineLoad{Running: 8, At: time.Now()}
	return garnetworks.EngineStatus{Group: "g1", Load: load}, nil
}

func (b *busyEngine) Generate(ctx context.Context, _ string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	return &pacedStream{call, call.ResumeFrom, func(next int) error {
		if call.Attempt == "c1.1" && next == b.stallAfter {
			return sleep(ctx, time.Hour)
		}
		return sleep(ctx, 40*time.Millisecond)
	}}, nil
}

// pacedStream produces a token whenever wait returns.
type pacedStream struct {
	call *garnetworks.EngineCall
	next int
	wait func(next int) error
}

func (s *pacedStream) Next(c *garnetworks.Chunk) error {
	if err := s.wait(s.next); err != nil {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err}
	}
	*c = garnetworks.Chunk{Attempt: s.call.Attempt, Index: s.next, Text: "x", Tokens: 1}
	s.next++
	c.End = s.next == s.call.MaxTokens
	return nil
}

func (s *pacedStream) Close() error { return nil }

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against waiting for the slow timeouts when one connection to a busy engine dies, which
// only the progress of the engine's other streams shows.
func TestDeadConnectionToBusyEngine(t *testing.T) {
	const tokens = 100
	undisturbed := tokens * 40 * time.Millisecond
	for name, tt := range map[string]struct {
		after int
		bound time.Duration
	}{
		"before the first token": {0, 2100 * time.Millisecond},
		"between tokens":         {5, 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &busyEngine{stallAfter: tt.after}
				f := New(Options{Engines: b, Groups: b, Prober: b})
				start := time.Now()
				generate := func(id garnetworks.CallID) (Summary, error) {
					call := callFor(time.Minute)
					call.ID, call.MaxTokens = id, tokens
					return f.Generate(context.Background(), call, &stallingSink{})
				}
				go func() {
					time.Sleep(100 * time.Millisecond)
					_, _ = generate("c2")
				}()
				summary, err := generate("c1")
				took := time.Since(start) - undisturbed
				t.Logf("the dead connection cost %s", took)
				if err != nil || summary.Tokens != tokens || summary.Attempts != 2 || took > tt.bound {
					t.Errorf("%v, %+v, cost %s, bound %s", err, summary, took, tt.bound)
				}
			})
		})
	}
}

func (b *busyEngine) AttemptFinished(time.Time, *garnetworks.CallRequest, garnetworks.GroupID, garnetworks.AttemptResult) {
}

// eightZones is eight groups in eight zones, chosen in turn. Zone 0 becomes unreachable when
// zone0 is cancelled, unnoticed by the chooser.
type eightZones struct {
	busyEngine
	mu       sync.Mutex
	next     int
	zone0    context.Context
	attempts int
}

func (z *eightZones) Choose(_ time.Time, _ *garnetworks.CallRequest, tried []garnetworks.GroupID) (garnetworks.GroupView, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for {
		id := garnetworks.GroupID("g" + strconv.Itoa(z.next%8))
		z.next++
		if !slices.Contains(tried, id) {
			return garnetworks.GroupView{ID: id, Address: string(id)}, nil
		}
	}
}

func (z *eightZones) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	z.mu.Lock()
	z.attempts++
	z.mu.Unlock()
	if address == "g0" && z.zone0.Err() != nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect}
	}
	if address == "g0" {
		ctx = z.zone0
	}
	return z.busyEngine.Generate(ctx, address, call)
}

// Guards against a retry storm and against failed streams after the loss of one of eight zones
// under full load.
func TestZoneLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := &eightZones{}
		z.stallAfter = -1
		var loseZone0 context.CancelFunc
		z.zone0, loseZone0 = context.WithCancel(context.Background())
		f := New(Options{Engines: z, Groups: z, Prober: z})
		const perSecond, seconds, tokens = 15, 40, 330
		var running sync.WaitGroup
		var completed, inFlight atomic.Int64
		var longest time.Duration
		for i := range perSecond * seconds {
			running.Go(func() {
				time.Sleep(time.Duration(i) * time.Second / perSecond)
				call := callFor(time.Minute)
				call.MaxTokens = tokens
				inFlight.Add(1)
				defer inFlight.Add(-1)
				if _, err := f.Generate(context.Background(), call, &stallingSink{}); err == nil {
					completed.Add(1)
				}
				z.mu.Lock()
				defer z.mu.Unlock()
				longest = max(longest, time.Since(call.Received))
			})
		}
		time.Sleep(20 * time.Second)
		before := inFlight.Load()
		loseZone0()
		running.Wait()
		calls := perSecond * seconds
		delay := longest - tokens*40*time.Millisecond
		t.Logf("%d in flight at the loss, %d of %d whole, %d retries, longest delay %s", before, completed.Load(), calls, z.attempts-calls, delay)
		if int(completed.Load()) != calls || delay > f.options.Timeouts.ResumeWait+time.Second {
			t.Errorf("%d of %d are whole, longest delay %s", completed.Load(), calls, delay)
		}
	})
}
