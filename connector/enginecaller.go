package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// EngineCaller calls engines over HTTP/1.1 and reads their responses as server-sent
// events. It implements garnetworks.EngineCaller.
type EngineCaller struct{ *pool }

// NewEngineCaller returns a caller with its own connection pool.
func NewEngineCaller(options Options) *EngineCaller {
	return &EngineCaller{newPool(options)}
}

// Generate implements garnetworks.EngineCaller.
func (ec *EngineCaller) Generate(ctx context.Context, address string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	request, body, err := generateRequest(address, call)
	if err != nil {
		return nil, &garnetworks.AttemptError{Phase: garnetworks.PhaseConnect, Cause: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	watch := newWatchdog(ec.options.StallTimeout, cancel)
	response, t, err := ec.send(ctx, address, request, bytes.NewReader(body), len(body))
	if err != nil {
		return nil, ec.abandon(address, watch, cancel, &garnetworks.AttemptError{Phase: t.failurePhase(), Cause: err})
	}
	if failure := checkHeader(response, HeaderAttempt, string(call.Attempt)); failure != nil {
		_ = response.Body.Close()
		return nil, ec.abandon(address, watch, cancel, failure)
	}
	watch.pause()
	s := newEngineStream(ec, address, call.Attempt, response.Body, watch, cancel)
	s.next = call.ResumeFrom
	return s, nil
}

// abandon ends an attempt and records in failure whether it stalled.
func (ec *EngineCaller) abandon(address string, watch *watchdog, cancel context.CancelFunc, failure *garnetworks.AttemptError) error {
	cancel()
	failure.Stalled = watch.stop()
	if failure.Stalled || watch.idle() >= minStallToCloseIdle {
		ec.closeIdle(address)
	}
	return failure
}

// minStallToCloseIdle is how long an attempt must have made no progress for the idle
// connections to its address to be closed (rule C6), even if not the watchdog but the
// caller's context ended it: callers may detect a stall earlier. Closing healthy
// connections costs only a reconnect each.
const minStallToCloseIdle = 500 * time.Millisecond

func generateRequest(address string, call *garnetworks.EngineCall) (*http.Request, []byte, error) {
	body, err := json.Marshal(GenerateBody{
		Model:            call.Model,
		Adapter:          call.Adapter,
		Prompt:           call.Prompt,
		MaxTokens:        call.MaxTokens,
		Temperature:      call.Temperature,
		Stop:             call.Stop,
		Delivered:        call.Delivered,
		FirstTokenMillis: millisLeft(call.FirstTokenBy),
		DeadlineMillis:   millisLeft(call.Deadline),
	})
	if err != nil {
		return nil, nil, errors.Wrap(err, "can't encode call")
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+PathGenerate, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, "invalid address")
	}
	h := request.Header
	h.Set("Content-Type", "application/json")
	h.Set("Accept", "text/event-stream")
	h.Set(HeaderAttempt, string(call.Attempt))
	h.Set(HeaderCall, string(call.ID))
	h.Set(HeaderWorkspace, string(call.Workspace))
	h.Set(HeaderGroup, string(call.Group))
	h.Set(HeaderToken, strconv.FormatUint(uint64(call.Token), 10))
	h.Set(HeaderResume, strconv.Itoa(call.ResumeFrom))
	h.Set(HeaderPriority, strconv.Itoa(call.Priority))
	return request, body, nil
}

// millisLeft returns the milliseconds until t, at least 1; 0 if t is zero.
func millisLeft(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(1, time.Until(t).Milliseconds())
}

// checkHeader returns nil if the response echoes the call's identifier and has status 200.
func checkHeader(response *http.Response, header, id string) *garnetworks.AttemptError {
	if failure := checkEcho(response, header, id); failure != nil {
		return failure
	}
	if isRefusal(response) {
		return refusalError(response)
	}
	if response.StatusCode != http.StatusOK {
		return &garnetworks.AttemptError{Phase: garnetworks.PhaseHeaders, Cause: readProblem(response)}
	}
	return nil
}

// checkEcho returns nil if the response echoes the call's identifier (rule C4).
func checkEcho(response *http.Response, header, id string) *garnetworks.AttemptError {
	echo := response.Header.Get(header)
	if echo == id {
		return nil
	}
	return &garnetworks.AttemptError{
		Phase: garnetworks.PhaseMismatched,
		Cause: errors.Errorf("response with status %d has identifier %.64q instead of the call's", response.StatusCode, echo),
	}
}

func refusalError(response *http.Response) *garnetworks.AttemptError {
	cause := readProblem(response)
	delay := cause.RetryAfter
	if delay == 0 {
		delay = retryAfter(response)
	}
	return &garnetworks.AttemptError{Phase: garnetworks.PhaseRefused, RetryAfter: delay, Cause: cause}
}

// isRefusal reports whether the response proves that the call was not begun (rule C3). The
// caller must have checked the identifier.
func isRefusal(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(HeaderOutcome) == string(garnetworks.OutcomeNotRun)
}

// retryAfter returns the Retry-After header's delay, at most maxRetryAfter; 0 if there is
// no valid one.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// watchdog cancels an attempt that makes no progress for the timeout. Time counts only
// while someone waits for the engine.
type watchdog struct {
	timeout time.Duration
	cancel  context.CancelFunc
	timer   *time.Timer
	// lastProgress is when the current wait began or last made progress, in nanoseconds
	// after start; 0 while nobody waits.
	lastProgress atomic.Int64
	start        time.Time
	fired        atomic.Bool
}

// checksPerTimeout is the number of checks per timeout after the first: a stall is
// detected at most a quarter of the timeout late.
const checksPerTimeout = 4

func newWatchdog(timeout time.Duration, cancel context.CancelFunc) *watchdog {
	w := &watchdog{timeout: timeout, cancel: cancel, start: time.Now().Add(-1)}
	w.progress()
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

func (w *watchdog) now() int64 { return int64(time.Since(w.start)) }

// progress records that a wait begins or has made progress.
func (w *watchdog) progress() { w.lastProgress.Store(w.now()) }

// pause records that nobody waits.
func (w *watchdog) pause() { w.lastProgress.Store(0) }

// idle returns for how long the current wait has made no progress.
func (w *watchdog) idle() time.Duration {
	since := w.lastProgress.Load()
	if since == 0 {
		return 0
	}
	return time.Duration(w.now() - since)
}

func (w *watchdog) check() {
	since := w.lastProgress.Load()
	if since == 0 || w.now()-since < int64(w.timeout) {
		w.timer.Reset(w.timeout / checksPerTimeout)
		return
	}
	w.fired.Store(true)
	w.cancel()
}

// stop ends the watchdog and reports whether it cancelled the attempt.
func (w *watchdog) stop() bool {
	w.timer.Stop()
	return w.fired.Load()
}

// engineStream reads the response to an attempt. It implements garnetworks.EngineStream.
type engineStream struct {
	caller  *EngineCaller
	address string
	attempt garnetworks.CallID
	body    io.ReadCloser
	watch   *watchdog
	cancel  context.CancelFunc
	reader  *streamReader
	event   EventBody
	// next is the expected index of the next token.
	next    int
	ended   bool
	failure error
}

// streamReader holds a stream's buffers.
type streamReader struct {
	events  eventReader
	decoder eventDecoder
}

func newEngineStream(ec *EngineCaller, address string, attempt garnetworks.CallID, body io.ReadCloser, watch *watchdog, cancel context.CancelFunc) *engineStream {
	s := &engineStream{
		caller:  ec,
		address: address,
		attempt: attempt,
		body:    body,
		watch:   watch,
		cancel:  cancel,
	}
	s.reader = &streamReader{}
	s.reader.events.reset(s)
	return s
}

// Read implements io.Reader: it reads the body and reports progress to the watchdog.
func (s *engineStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if n > 0 {
		s.watch.progress()
	}
	return n, err
}

// Next implements garnetworks.EngineStream.
func (s *engineStream) Next(chunk *garnetworks.Chunk) error {
	if s.failure != nil {
		return s.failure
	}
	s.watch.progress()
	err := s.reader.events.next()
	if err == nil {
		s.watch.pause()
		err = s.decode(chunk)
	}
	if err != nil {
		s.failure = s.fail(err)
		return s.failure
	}
	if chunk.End {
		s.ended = true
		s.failure = io.EOF
	}
	return nil
}

// decode converts the current event to a chunk. It checks that the event belongs to the
// attempt (rule C4) and that no token is missing or repeated.
func (s *engineStream) decode(chunk *garnetworks.Chunk) error {
	r := s.reader
	if string(r.events.id) != string(s.attempt) {
		return errAttemptMismatch
	}
	if err := r.decoder.decode(r.events.data, &s.event); err != nil {
		return err
	}
	if err := s.checkOrder(); err != nil {
		return err
	}
	*chunk = garnetworks.Chunk{
		Attempt:      s.attempt,
		Index:        s.event.Index,
		Text:         s.event.Text,
		Tokens:       s.event.Tokens,
		End:          string(r.events.event) == EventEnd,
		FinishReason: s.event.FinishReason,
	}
	if s.event.Load != nil {
		chunk.Load = garnetworks.Some(*s.event.Load)
	}
	return nil
}

// checkOrder checks that the event continues where the previous one ended.
func (s *engineStream) checkOrder() error {
	if s.event.Tokens < 0 || s.event.Index != s.next {
		return errors.Errorf("got token %d, want %d", s.event.Index, s.next)
	}
	s.next += s.event.Tokens
	return nil
}

var errAttemptMismatch = errors.New("event has another attempt's identifier")

// fail ends the attempt and returns the error for the caller.
func (s *engineStream) fail(err error) error {
	failure := &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err}
	if err == io.EOF {
		failure.Cause = io.ErrUnexpectedEOF
	}
	if err == errAttemptMismatch {
		failure.Phase = garnetworks.PhaseMismatched
	}
	return s.caller.abandon(s.address, s.watch, s.cancel, failure)
}

// Close implements garnetworks.EngineStream. The connection of a complete response returns
// to the pool.
func (s *engineStream) Close() error {
	if s.ended {
		s.drain()
	}
	s.watch.stop()
	s.cancel()
	return s.body.Close()
}

// drainTimeout is how long Close waits for the end of the body after the end marker;
// after that the connection is not reused.
const drainTimeout = 100 * time.Millisecond

func (s *engineStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, eventBufferBytes)
}
