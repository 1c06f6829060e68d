package faker

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
)

// batch holds an engine's queued and running sequences. Guarded by fleet.mu.
type batch struct {
	running []*sequence
	waiting []*sequence
	// stepping reports whether the decoding goroutine (runSteps) is running.
	stepping bool
}

// sequence is the state of one generation.
type sequence struct {
	call    garnetworks.EngineCall
	next    int
	readyAt time.Time
	// chunks is closed after the last chunk. If the sequence was aborted, err is set
	// before the close.
	chunks    chan garnetworks.Chunk
	err       error
	cancelled bool
}

// chunkBuffer is the number of generated chunks buffered for the reader; the engine
// pauses the sequence while the buffer is full.
const chunkBuffer = 64

// refusalDelay is the RetryAfter of a refused call.
const refusalDelay = 200 * time.Millisecond

// newRefusal returns the error for a call that was not started.
func newRefusal(kind garnetworks.Kind, reason string) *garnetworks.Error {
	return &garnetworks.Error{Kind: kind, Detail: reason, RetryAfter: refusalDelay}
}

// submit queues the call, or refuses it, and records the attempt.
func (e *Engine) submit(call *garnetworks.EngineCall) (*sequence, *garnetworks.Error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	refused, missing := e.checkCall(call)
	reason := ""
	if refused != nil {
		reason = refused.Detail
	}
	e.fleet.record(Attempt{
		ID:         call.Attempt,
		Call:       call.ID,
		Instance:   e.spec.ID,
		Group:      call.Group,
		Token:      call.Token,
		At:         time.Now(),
		Refused:    reason,
		MissingFor: missing,
	})
	if refused != nil {
		return nil, refused
	}
	s := &sequence{
		call:   *call,
		next:   call.ResumeFrom,
		chunks: make(chan garnetworks.Chunk, chunkBuffer),
	}
	e.batch.waiting = append(e.batch.waiting, s)
	slices.SortStableFunc(e.batch.waiting, func(a, b *sequence) int {
		return cmp.Compare(b.call.Priority, a.call.Priority)
	})
	if !e.batch.stepping {
		e.batch.stepping = true
		go e.runSteps()
	}
	if e.crashPrompt != "" && call.Prompt == e.crashPrompt {
		e.crashes++
		go e.Restart()
	}
	return s, nil
}

// checkCall returns the reason to refuse the call, or nil. If a group member is
// missing, it also returns for how long.
func (e *Engine) checkCall(call *garnetworks.EngineCall) (*garnetworks.Error, time.Duration) {
	switch {
	case e.power != garnetworks.PowerOn:
		return newRefusal(garnetworks.KindNotReady, "the instance is off"), 0
	case e.group == "" || call.Group != e.group || call.Token != e.token:
		return newRefusal(garnetworks.KindStaleToken, "the engine is not a member of the group with this token"), 0
	case e.phase == garnetworks.EngineDraining:
		return newRefusal(garnetworks.KindShuttingDown, "the engine drains"), 0
	case e.phase != garnetworks.EngineReady:
		return newRefusal(garnetworks.KindNotReady, "the engine is "+string(e.phase)), 0
	case e.members[0] != e.spec.ID:
		return newRefusal(garnetworks.KindNotReady, "the engine is not the group's first member"), 0
	case call.Model != e.model:
		return newRefusal(garnetworks.KindNotReady, "the group serves another model"), 0
	case call.Adapter != "" && !slices.Contains(e.adapters, call.Adapter):
		return newRefusal(garnetworks.KindNotReady, "the adapter is not loaded"), 0
	case call.MaxTokens <= 0:
		return newRefusal(garnetworks.KindInvalidRequest, "the number of tokens is not above 0"), 0
	case len(e.batch.waiting) >= e.spec.Queue:
		return newRefusal(garnetworks.KindOverloaded, "the queue is full"), 0
	}
	if m, since := e.missingMember(); m != "" {
		return newRefusal(garnetworks.KindNotReady, "member "+string(m)+" is missing"), max(time.Since(since), 1)
	}
	return nil, 0
}

// missingMember returns a group member that is not participating in the group (rule F2)
// and the time since when, or "" if all members participate.
func (e *Engine) missingMember() (garnetworks.InstanceID, time.Time) {
	for _, id := range e.members {
		m := e.fleet.engines[id]
		if m == nil {
			return id, time.Time{}
		}
		ready := m.phase == garnetworks.EngineReady || m.phase == garnetworks.EngineDraining
		if !m.up() || m.group != e.group || m.token != e.token || !ready {
			return id, m.downSince
		}
	}
	return "", time.Time{}
}

// runSteps generates tokens until the engine has no calls left.
func (e *Engine) runSteps() {
	for {
		if sleep(e.fleet.ctx, e.stepTime()) != nil {
			return
		}
		if e.waitUnfrozen(e.fleet.ctx) != nil {
			return
		}
		if !e.step() {
			return
		}
	}
}

func (e *Engine) stepTime() time.Duration {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return e.slowed(e.spec.PerToken)
}

func (e *Engine) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.slowdown)
}

// step generates one token for each running sequence and reports whether any sequence
// is left.
func (e *Engine) step() bool {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if !e.up() {
		e.abortAll("the engine died")
	}
	e.admit()
	if m, _ := e.missingMember(); m != "" && len(e.batch.running) > 0 {
		e.abortAll("member " + string(m) + " is missing")
	}
	now := time.Now()
	e.batch.running = slices.DeleteFunc(e.batch.running, func(s *sequence) bool {
		return s.cancelled || (!now.Before(s.readyAt) && e.emit(s))
	})
	e.batch.stepping = len(e.batch.running)+len(e.batch.waiting) > 0
	return e.batch.stepping
}

func (e *Engine) admit() {
	e.batch.waiting = slices.DeleteFunc(e.batch.waiting, func(s *sequence) bool { return s.cancelled })
	for len(e.batch.waiting) > 0 && len(e.batch.running) < e.spec.Slots {
		s := e.batch.waiting[0]
		e.batch.waiting = e.batch.waiting[1:]
		s.readyAt = time.Now().Add(e.prefill(s) - e.spec.PerToken)
		e.batch.running = append(e.batch.running, s)
	}
}

// prefill adds the prompt's blocks to the prefix cache and returns the time to the
// sequence's first token.
func (e *Engine) prefill(s *sequence) time.Duration {
	blocks := garnetworks.PrefixBlocks(s.call.Model, s.call.Adapter, s.call.Prompt, maxPromptBlocks)
	missing := len(blocks) - e.cache.hits(blocks)
	e.cache.add(blocks)
	return e.slowed(e.spec.FirstToken + time.Duration(missing)*e.spec.PerBlock)
}

// emit sends the sequence's next token and reports whether the sequence is finished.
// It sends nothing while the reader's buffer is full.
func (e *Engine) emit(s *sequence) bool {
	if len(s.chunks) >= chunkBuffer-1 {
		return false
	}
	if s.next >= s.call.MaxTokens {
		e.finish(s, "length")
		return true
	}
	text := Token(&s.call.CallRequest, s.next)
	for _, stop := range s.call.Stop {
		if stop != "" && strings.Contains(text, stop) {
			e.finish(s, "stop")
			return true
		}
	}
	s.chunks <- garnetworks.Chunk{Attempt: s.call.Attempt, Index: s.next, Text: text, Tokens: 1}
	s.next++
	if s.next < s.call.MaxTokens {
		return false
	}
	e.finish(s, "length")
	return true
}

func (e *Engine) finish(s *sequence, reason string) {
	s.chunks <- garnetworks.Chunk{
		Attempt:      s.call.Attempt,
		Index:        s.next,
		End:          true,
		FinishReason: reason,
		Load:         garnetworks.Some(e.measure()),
	}
	close(s.chunks)
}

// abortAll ends all sequences without an end chunk. The caller holds fleet.mu.
func (e *Engine) abortAll(reason string) {
	for _, s := range slices.Concat(e.batch.running, e.batch.waiting) {
		if !s.cancelled {
			s.err = garnetworks.Errorf(garnetworks.KindStreamBroken, "%s", reason)
			close(s.chunks)
		}
	}
	e.batch.running, e.batch.waiting = nil, nil
}

func (e *Engine) cancel(s *sequence) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	s.cancelled = true
}

func (e *Engine) sequenceErr(s *sequence) error {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	return s.err
}

// Generate starts an attempt in process and reports failures as a network adapter would.
func (e *Engine) Generate(ctx context.Context, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	if !e.on() {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: errNoEngine(e.Spec().Address)}
	}
	bounded, cancel := context.WithTimeout(ctx, e.fleet.Silence)
	defer cancel()
	t, err := e.begin(bounded, MethodGenerate)
	if err != nil {
		return nil, beginError(err, ctx.Err() == nil)
	}
	s, refused := e.submit(call)
	if refused != nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, RetryAfter: refused.RetryAfter, Cause: refused}
	}
	if e.consume(MethodGenerate, lostAnswers) {
		e.cancel(s)
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: errLost}
	}
	if e.consume(MethodGenerate, lateAnswers) {
		if err := sleep(ctx, e.CurrentFaults().LateBy); err != nil {
			e.cancel(s)
			return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Cause: err}
		}
	}
	st := &stream{ctx: ctx, engine: e, sequence: s, silenced: t.silenced}
	st.takeFaults(&e.Faults)
	return st, nil
}

// beginError maps an error of Faults.begin to the AttemptError that a network adapter would
// return. Errors other than errDown and errUnavailable occur in the wait for a response;
// silent sets their Stalled.
func beginError(err error, silent bool) error {
	switch err {
	case errDown:
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	case errUnavailable:
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, Cause: err}
	}
	return &garnetworks.AttemptError{Phase: garnetworks.PhaseWait, Stalled: silent, Cause: err}
}

// stream is the in-process response stream of an attempt.
type stream struct {
	ctx      context.Context
	engine   *Engine
	sequence *sequence
	silenced <-chan struct{}
	// truncateAt and mismatchAt are the numbers of chunks sent before the fault; -1 means never.
	truncateAt int
	mismatchAt int
	sent       int
	ended      bool
}

func (st *stream) takeFaults(f *Faults) {
	st.truncateAt, st.mismatchAt = -1, -1
	after := f.CurrentFaults().BreakAfter
	if f.consume(MethodGenerate, truncatedAnswers) {
		st.truncateAt = after
	}
	if f.consume(MethodGenerate, crossedAnswers) {
		st.mismatchAt = after
	}
}

// Next implements garnetworks.EngineStream.
func (st *stream) Next(chunk *garnetworks.Chunk) error {
	if st.ended {
		return io.EOF
	}
	if st.sent == st.truncateAt {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: io.ErrUnexpectedEOF}
	}
	if st.sent == st.mismatchAt {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseMismatched}
	}
	for {
		plan, changed, _ := st.engine.snapshot()
		if plan.Frozen || isClosed(st.silenced) {
			return st.stall(chunk, changed)
		}
		select {
		case <-st.ctx.Done():
			return st.contextError()
		case <-st.silenced:
		case <-changed:
		case c, ok := <-st.sequence.chunks:
			return st.deliver(chunk, c, ok)
		}
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (st *stream) contextError() error {
	return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: st.ctx.Err()}
}

func (st *stream) deliver(chunk *garnetworks.Chunk, c garnetworks.Chunk, ok bool) error {
	if !ok {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: st.engine.sequenceErr(st.sequence)}
	}
	st.sent++
	st.ended = c.End
	*chunk = c
	return nil
}

// stall waits until the plan changes, which may unfreeze the engine, and then continues with
// Next. It fails if the context ends or, as on a stalled connection, after fleet.Silence.
func (st *stream) stall(chunk *garnetworks.Chunk, changed <-chan struct{}) error {
	timer := time.NewTimer(st.engine.fleet.Silence)
	defer timer.Stop()
	select {
	case <-st.ctx.Done():
		return st.contextError()
	case <-changed:
		return st.Next(chunk)
	case <-timer.C:
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Stalled: true}
	}
}

// Close implements garnetworks.EngineStream.
func (st *stream) Close() error {
	st.engine.cancel(st.sequence)
	return nil
}
