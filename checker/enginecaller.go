package checker

import (
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// EngineCallerFixture holds an engine caller and a serving group of at least two members.
type EngineCallerFixture struct {
	Caller  garnetworks.EngineCaller
	Address string
	// Unused is an address at which nothing listens.
	Unused string
	// MaxStallTimeout is an upper bound of the time after which the caller ends a stalled
	// attempt.
	MaxStallTimeout time.Duration
	// NewCall returns a new unique call of maxTokens tokens that the group can serve.
	// Consecutive tokens of its response must differ, so that a duplicate is detected.
	NewCall func(maxTokens int) *garnetworks.EngineCall
	// ResponseText returns the text of the call's tokens from first up to end (exclusive).
	ResponseText func(call *garnetworks.EngineCall, first, end int) string
	// RunningCalls returns the number of calls that the engine runs or queues; it may be
	// nil.
	RunningCalls func() int
	// StopMember stops a member other than the one that responds; it may be nil.
	StopMember func()
	// Faults injects faults into the engine that responds; it may be nil.
	Faults FaultInjector
}

// EngineCaller runs the contract suite of garnetworks.EngineCaller.
func EngineCaller(t *testing.T, newFixture func(t *testing.T) EngineCallerFixture) {
	t.Helper()
	Run(t, newFixture, EngineCallerCases())
}

// EngineCallerCases returns the cases of the garnetworks.EngineCaller contract.
func EngineCallerCases() map[string]Case[EngineCallerFixture] {
	hasFaults := func(f EngineCallerFixture) bool { return f.Faults != nil }
	return map[string]Case[EngineCallerFixture]{
		"a response is complete and belongs to its call": {
			Failure: "A caller receives a partial response or another caller's response.",
			Run:     callerComplete,
		},
		"unusual prompts arrive unchanged": {
			Failure: "A prompt with line breaks or non-ASCII characters is changed on its way to the engine.",
			Run:     callerUnusualPrompts,
		},
		"a response resumes": {
			Failure: "A group fails mid-response, and the caller receives tokens twice or not at all.",
			Run:     callerResumes,
		},
		"concurrent responses are not mixed": {
			Failure: "Under load, tokens of one response appear in another.",
			Run:     callerConcurrent,
		},
		"a call with a stale fencing token is refused": {
			Failure: "A router with an outdated view calls a group that has since been formed again.",
			Run:     callerStaleToken,
		},
		"a group with a missing member refuses": {
			Failure:   "A group without one of its members accepts calls that it cannot serve correctly.",
			Supported: func(f EngineCallerFixture) bool { return f.StopMember != nil },
			Run:       callerMissingMember,
		},
		"losing a member mid-response fails the response": {
			Failure:   "A member fails during a response, and the partial response looks complete.",
			Supported: func(f EngineCallerFixture) bool { return f.StopMember != nil },
			Run:       callerMemberLost,
		},
		"no listener": {
			Failure: "The instance is gone, but the caller is not told that the call did not run and may be sent elsewhere.",
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				_, err := f.Caller.Generate(ctx, f.Unused, f.NewCall(1))
				return wantPhase("generate", err, garnetworks.PhaseConnect)
			},
		},
		"a truncated response is never complete": {
			Failure:   "The engine fails mid-response, and the caller takes the partial response for the complete one.",
			Supported: hasFaults,
			Run:       callerTruncated,
		},
		"a mismatched response is dropped": {
			Failure:   "A caller receives tokens of another caller's response.",
			Supported: hasFaults,
			Run:       callerMismatched,
		},
		"an engine that stops mid-response is reported": {
			Failure:   "The engine's process exits, and the stream hangs or looks complete in place of returning an error.",
			Supported: hasFaults,
			Run:       callerEngineStops,
		},
		"an unavailable engine refuses": {
			Failure:   "The engine proves that it did not start the call, but the call is not sent elsewhere at once.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{Unavailable: true})
				_, err := f.Caller.Generate(ctx, f.Address, f.NewCall(1))
				return wantPhase("generate", err, garnetworks.PhaseRefused)
			},
		},
		"a call with a lost response may have run": {
			Failure:   "The engine started the call and its response was lost, but the caller is told that the call did not run.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{LoseAnswers: 1})
				_, err := readResponse(ctx, f, f.NewCall(3))
				return wantPhase("response", err, garnetworks.PhaseWait, garnetworks.PhaseHeaders, garnetworks.PhaseBody)
			},
		},
		"a late response is complete": {
			Timed:     true,
			Failure:   "A response that arrives late is discarded.",
			Supported: hasFaults,
			Run: func(ctx context.Context, f EngineCallerFixture) error {
				f.Faults.SetFaults(faker.FaultPlan{LateAnswers: 1, LateBy: f.MaxStallTimeout / 4})
				return wantComplete(ctx, f, f.NewCall(3))
			},
		},
		"a stalled connection is detected": {
			Timed:     true,
			Failure:   "The network drops a connection's state mid-response, and the caller waits forever.",
			Supported: hasFaults,
			Run:       callerStalled,
		},
		"a stalled pooled connection is detected": {
			Timed:     true,
			Failure:   "The pooled connections have stalled, and each new call is written to one of them.",
			Supported: hasFaults,
			Run:       callerStalledPool,
		},
		"a frozen engine is detected": {
			Timed:     true,
			Failure:   "The engine pauses mid-response, and the call neither ends nor moves to another group.",
			Supported: hasFaults,
			Run:       callerFrozen,
		},
		"closing the stream cancels the call": {
			Failure:   "A caller disconnects, and the group goes on generating its response.",
			Supported: func(f EngineCallerFixture) bool { return f.RunningCalls != nil },
			Run:       callerCancels,
		},
		"the context ends the response": {
			Timed:   true,
			Failure: "The deadline passes, and the node goes on reading.",
			Run:     callerContext,
		},
		"an error is permanent": {
			Failure:   "After an incomplete response, the next read returns io.EOF as if the response were complete.",
			Supported: hasFaults,
			Run:       callerErrorPersists,
		},
	}
}

// readResult is the part of a response that has been read.
type readResult struct {
	text   string
	tokens int
	end    garnetworks.Chunk
}

// readResponse starts the call and reads its response up to the end marker.
func readResponse(ctx context.Context, f EngineCallerFixture, call *garnetworks.EngineCall) (readResult, error) {
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return readResult{}, err
	}
	defer stream.Close()
	return readStream(stream, call, -1)
}

// readStream reads up to limit chunks, or up to the end marker if limit is negative. It checks
// each chunk's attempt and token index.
func readStream(stream garnetworks.EngineStream, call *garnetworks.EngineCall, limit int) (readResult, error) {
	var a readResult
	var text strings.Builder
	var chunk garnetworks.Chunk
	for n := 0; n != limit && !chunk.End; n++ {
		if err := stream.Next(&chunk); err != nil {
			a.text = text.String()
			return a, err
		}
		if chunk.Attempt != call.Attempt || chunk.Index != call.ResumeFrom+a.tokens {
			return a, errors.Errorf("got chunk %+v as token %d of attempt %s", chunk, call.ResumeFrom+a.tokens, call.Attempt)
		}
		text.WriteString(chunk.Text)
		a.tokens += chunk.Tokens
	}
	a.text, a.end = text.String(), chunk
	return a, nil
}

func wantComplete(ctx context.Context, f EngineCallerFixture, call *garnetworks.EngineCall) error {
	a, err := readResponse(ctx, f, call)
	if err != nil {
		return errors.Wrap(err, "response")
	}
	return firstError(
		func() error { return want("text", a.text, f.ResponseText(call, call.ResumeFrom, call.MaxTokens)) },
		func() error { return want("tokens", a.tokens, call.MaxTokens-call.ResumeFrom) },
		func() error { return want("end", a.end.End, true) },
		func() error { return want("finish reason", a.end.FinishReason, "length") },
	)
}

func callerComplete(ctx context.Context, f EngineCallerFixture) error {
	for range 3 {
		if err := wantComplete(ctx, f, f.NewCall(12)); err != nil {
			return err
		}
	}
	call := f.NewCall(2)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, -1); err != nil {
		return errors.Wrap(err, "response")
	}
	var chunk garnetworks.Chunk
	if err := stream.Next(&chunk); err != io.EOF {
		return errors.Errorf("got error %v after the end, want io.EOF", err)
	}
	return nil
}

func callerUnusualPrompts(ctx context.Context, f EngineCallerFixture) error {
	for _, prompt := range []string{"a\nb", "a\r\nb\rc", "Größe 日本 \u2028", `"\`, "\x00", strings.Repeat("long ", 20000)} {
		call := f.NewCall(2)
		call.Prompt = prompt
		if err := wantComplete(ctx, f, call); err != nil {
			return errors.Wrapf(err, "prompt %.20q", prompt)
		}
	}
	return nil
}

func callerResumes(ctx context.Context, f EngineCallerFixture) error {
	for _, from := range []int{1, 5, 8} {
		call := f.NewCall(8)
		call.ResumeFrom = from
		call.Delivered = f.ResponseText(call, 0, from)
		if err := wantComplete(ctx, f, call); err != nil {
			return errors.Wrapf(err, "resumed from %d", from)
		}
	}
	return nil
}

func callerConcurrent(ctx context.Context, f EngineCallerFixture) error {
	const calls = 24
	errs := make([]error, calls)
	var wg sync.WaitGroup
	for i := range calls {
		call := f.NewCall(6)
		wg.Go(func() { errs[i] = wantComplete(ctx, f, call) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func callerStaleToken(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(1)
	call.Token--
	_, err := f.Caller.Generate(ctx, f.Address, call)
	if err := wantPhase("stale token", err, garnetworks.PhaseRefused); err != nil {
		return err
	}
	call = f.NewCall(1)
	call.Group = "another-group"
	_, err = f.Caller.Generate(ctx, f.Address, call)
	return wantPhase("other group", err, garnetworks.PhaseRefused)
}

func callerMissingMember(ctx context.Context, f EngineCallerFixture) error {
	f.StopMember()
	_, err := f.Caller.Generate(ctx, f.Address, f.NewCall(1))
	return wantPhase("generate", err, garnetworks.PhaseRefused)
}

func callerMemberLost(ctx context.Context, f EngineCallerFixture) error {
	return failMidStream(ctx, f, f.StopMember)
}

func callerEngineStops(ctx context.Context, f EngineCallerFixture) error {
	return failMidStream(ctx, f, func() { f.Faults.SetFaults(faker.FaultPlan{Down: true}) })
}

// manyTokens is a response length that no case reads to its end.
const manyTokens = 100_000

// failMidStream reads the start of a long response, calls fail, and checks that the rest of the
// response ends in an error.
func failMidStream(ctx context.Context, f EngineCallerFixture, fail func()) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "start of the response")
	}
	fail()
	var chunk garnetworks.Chunk
	for err == nil {
		err = stream.Next(&chunk)
	}
	return wantPhase("interrupted response", err, garnetworks.PhaseBody)
}

func callerTruncated(ctx context.Context, f EngineCallerFixture) error {
	for after := range 4 {
		f.Faults.SetFaults(faker.FaultPlan{TruncateAnswers: 1, BreakAfter: after})
		a, err := readResponse(ctx, f, f.NewCall(3))
		if err := wantPhase("truncated response", err, garnetworks.PhaseBody, garnetworks.PhaseWait, garnetworks.PhaseHeaders); err != nil {
			return errors.Wrapf(err, "truncated after %d", after)
		}
		if err := want("end", a.end.End, false); err != nil {
			return err
		}
	}
	return nil
}

func callerMismatched(ctx context.Context, f EngineCallerFixture) error {
	for after := range 3 {
		f.Faults.SetFaults(faker.FaultPlan{CrossAnswers: 1, BreakAfter: after})
		call := f.NewCall(6)
		a, err := readResponse(ctx, f, call)
		if err := wantPhase("mismatched response", err, garnetworks.PhaseMismatched); err != nil {
			return errors.Wrapf(err, "mismatched after %d", after)
		}
		if err := want("own tokens", a.text, f.ResponseText(call, 0, after)); err != nil {
			return err
		}
	}
	return nil
}

// wantStalled returns an error unless err is an AttemptError with Stalled set.
func wantStalled(err error) error {
	var attempt *garnetworks.AttemptError
	if !errors.As(err, &attempt) || !attempt.Stalled {
		return errors.Errorf("got error %v, want a stalled attempt", err)
	}
	return nil
}

// readUntilError reads until an error. It fails if there is none within MaxStallTimeout plus
// returnGrace.
func readUntilError(f EngineCallerFixture, stream garnetworks.EngineStream) error {
	ended := make(chan error, 1)
	go func() {
		var chunk garnetworks.Chunk
		for {
			if err := stream.Next(&chunk); err != nil {
				ended <- err
				return
			}
		}
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(f.MaxStallTimeout + returnGrace):
		return errors.New("the read did not return")
	}
}

func callerStalled(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "start of the response")
	}
	f.Faults.SilenceOpen()
	if err := wantStalled(readUntilError(f, stream)); err != nil {
		return err
	}
	return wantComplete(ctx, f, f.NewCall(3))
}

func callerStalledPool(ctx context.Context, f EngineCallerFixture) error {
	if err := callerConcurrent(ctx, f); err != nil {
		return err
	}
	f.Faults.SilenceOpen()
	a, err := readResponse(ctx, f, f.NewCall(3))
	if err != nil {
		if err := wantStalled(err); err != nil {
			return err
		}
	} else if err := want("end", a.end.End, true); err != nil {
		return err
	}
	return wantComplete(ctx, f, f.NewCall(3))
}

func callerFrozen(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, 2); err != nil {
		return errors.Wrap(err, "start of the response")
	}
	f.Faults.SetFaults(faker.FaultPlan{Frozen: true})
	if err := wantStalled(readUntilError(f, stream)); err != nil {
		return err
	}
	_, err = f.Caller.Generate(ctx, f.Address, f.NewCall(1))
	if err := wantPhase("call to a frozen engine", err, garnetworks.PhaseWait); err != nil {
		return err
	}
	f.Faults.SetFaults(faker.FaultPlan{})
	return wantComplete(ctx, f, f.NewCall(3))
}

func callerCancels(ctx context.Context, f EngineCallerFixture) error {
	call := f.NewCall(manyTokens)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	if _, err := readStream(stream, call, 2); err != nil {
		_ = stream.Close()
		return errors.Wrap(err, "start of the response")
	}
	_ = stream.Close()
	return eventually(ctx, func() error { return want("running calls", f.RunningCalls(), 0) })
}

func callerContext(ctx context.Context, f EngineCallerFixture) error {
	err := callWithTimeout(ctx, shortTimeout, func(ctx context.Context) error {
		_, err := readResponse(ctx, f, f.NewCall(manyTokens))
		return err
	})
	return wantPhase("response", err, garnetworks.PhaseBody, garnetworks.PhaseWait, garnetworks.PhaseHeaders)
}

func callerErrorPersists(ctx context.Context, f EngineCallerFixture) error {
	f.Faults.SetFaults(faker.FaultPlan{TruncateAnswers: 1, BreakAfter: 1})
	call := f.NewCall(3)
	stream, err := f.Caller.Generate(ctx, f.Address, call)
	if err != nil {
		return errors.Wrap(err, "generate")
	}
	defer stream.Close()
	if _, err := readStream(stream, call, -1); err == nil {
		return errors.New("the truncated response was complete")
	}
	var chunk garnetworks.Chunk
	return wantPhase("next read", stream.Next(&chunk), garnetworks.PhaseBody)
}
