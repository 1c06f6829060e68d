package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/connector"
	"github.com/garnetworks/garnetworks/faker"
)

// result is the outcome of one call and its latencies.
type result struct {
	class class
	// key is the idempotency key, or empty.
	key string
	// outcome is the outcome that the answer states, or one of the outcomes below.
	outcome string
	kind    string
	// sendDelay is the time from when the call was due until it was sent. firstToken and total
	// are measured from the due time as well; gaps are the times between tokens.
	sendDelay  time.Duration
	firstToken time.Duration
	total      time.Duration
	gaps       []time.Duration
	tokens     int
	retryAfter bool
}

// Outcomes: completed, as the site states it, and those that the load tool itself detects.
const (
	outcomeCompleted = string(garnetworks.OutcomeCompleted)
	outcomeNotSent   = "not-sent"
	outcomeNoAnswer  = "no-answer"
	outcomeBroken    = "broken"
	outcomeWrong     = "wrong-text"
)

// sender sends calls to entry nodes, or directly to the engines of serving groups.
type sender struct {
	flags
	client    *http.Client
	groups    map[string][]faker.GroupBody
	nextGroup atomic.Uint64
}

func newSender(ctx context.Context, f flags) (*sender, error) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: f.MaxInFlight,
		DisableCompression:  true,
	}
	s := &sender{flags: f, client: &http.Client{Transport: transport}}
	if f.Direct == "" {
		return s, nil
	}
	return s, s.fetchGroups(ctx)
}

// fetchGroups asks the control path of the simulated site for the serving groups.
func (s *sender) fetchGroups(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Direct+"/groups", nil)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "the stand-ins' control path")
	}
	defer response.Body.Close()
	var groups []faker.GroupBody
	if err := json.NewDecoder(response.Body).Decode(&groups); err != nil {
		return errors.Wrap(err, "the stand-ins' groups")
	}
	s.groups = make(map[string][]faker.GroupBody)
	for _, g := range groups {
		s.groups[string(g.Model)] = append(s.groups[string(g.Model)], g)
	}
	if len(groups) == 0 {
		return errors.New("no group serves")
	}
	return nil
}

// send makes one call and measures its latencies from when it was due.
func (s *sender) send(ctx context.Context, j job, due time.Time) result {
	ctx, cancel := context.WithDeadline(ctx, due.Add(s.Timeout))
	defer cancel()
	r := result{class: j.class, key: j.idempotencyKey, sendDelay: time.Since(due)}
	request, err := s.request(ctx, j)
	if err != nil {
		r.outcome, r.kind = outcomeNotSent, err.Error()
		return r
	}
	response, err := s.client.Do(request)
	if err != nil {
		r.total = time.Since(due)
		r.outcome, r.kind = outcomeNoAnswer, failureKind(ctx, err)
		return r
	}
	defer response.Body.Close()
	s.readAnswer(ctx, j, response, due, &r)
	r.total = time.Since(due)
	return r
}

// failureKind returns the innermost cause of a failure, without addresses, so that equal
// failures are counted together.
func failureKind(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return "timeout"
	}
	cause := errors.Cause(err)
	for {
		inner := errors.Unwrap(cause)
		if inner == nil {
			return cause.Error()
		}
		cause = inner
	}
}

func (s *sender) request(ctx context.Context, j job) (*http.Request, error) {
	switch j.class {
	case classDirect:
		return s.directRequest(ctx, j)
	case classService:
		return s.callerRequest(ctx, j, "/services/"+s.Service, j.body)
	}
	body, err := json.Marshal(map[string]any{
		"model": j.model, "prompt": j.prompt, "max_tokens": s.MaxTokens, "stream": !s.Whole,
	})
	if err != nil {
		return nil, err
	}
	return s.callerRequest(ctx, j, "/v1/completions", string(body))
}

func (s *sender) callerRequest(ctx context.Context, j job, path, body string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, j.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+j.key)
	request.Header.Set("Content-Type", "application/json")
	if j.idempotencyKey != "" {
		request.Header.Set(connector.HeaderIdempotencyKey, j.idempotencyKey)
	}
	return request, nil
}

// directRequest returns a request to an engine as an entry node would send it.
func (s *sender) directRequest(ctx context.Context, j job) (*http.Request, error) {
	groups := s.groups[j.model]
	if len(groups) == 0 {
		return nil, errors.Errorf("no group serves %s", j.model)
	}
	g := groups[s.nextGroup.Add(1)%uint64(len(groups))]
	body, err := json.Marshal(connector.GenerateBody{Model: g.Model, Prompt: j.prompt, MaxTokens: s.MaxTokens})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Address+connector.PathGenerate, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	h := request.Header
	h.Set(connector.HeaderAttempt, fmt.Sprintf("direct-%d", j.number))
	h.Set(connector.HeaderCall, fmt.Sprintf("direct-%d", j.number))
	h.Set(connector.HeaderGroup, string(g.Group))
	h.Set(connector.HeaderToken, strconv.FormatUint(g.Token, 10))
	h.Set(connector.HeaderResume, "0")
	h.Set(connector.HeaderPriority, "0")
	return request, nil
}

// readAnswer reads the response and sets r's outcome, kind, tokens and latencies except total.
func (s *sender) readAnswer(ctx context.Context, j job, response *http.Response, due time.Time, r *result) {
	r.retryAfter = response.Header.Get("Retry-After") != ""
	var text string
	var complete bool
	var err error
	switch {
	case response.StatusCode != http.StatusOK:
		_, err = io.Copy(io.Discard, response.Body)
		complete = err == nil
	case j.class == classService:
		_, err = io.Copy(io.Discard, response.Body)
		complete = err == nil
		r.firstToken = time.Since(due)
	case s.Whole && j.class == classGateway:
		text, err = s.readWhole(response.Body, r)
		complete = err == nil
		r.firstToken = time.Since(due)
	default:
		text, complete, err = readStream(response.Body, due, r)
	}
	r.outcome, r.kind = header(response, connector.HeaderOutcome), header(response, "Garnet-Error-Kind")
	if response.StatusCode != http.StatusOK && r.kind == "" {
		r.kind = fmt.Sprintf("status %d", response.StatusCode)
	}
	if j.class == classDirect && complete && response.StatusCode == http.StatusOK {
		r.outcome = outcomeCompleted
	}
	switch {
	case err != nil:
		r.outcome, r.kind = outcomeBroken, failureKind(ctx, err)
	case !complete && r.outcome == outcomeCompleted, r.outcome == "":
		r.outcome = outcomeBroken
	case s.Verify && r.outcome == outcomeCompleted && j.class != classService && text != s.expectedText(j):
		r.outcome = outcomeWrong
	}
}

// header returns a header that may be sent as a trailer.
func header(response *http.Response, name string) string {
	if value := response.Header.Get(name); value != "" {
		return value
	}
	return response.Trailer.Get(name)
}

// expectedText returns the text that simulated engines answer to the job's prompt.
func (s *sender) expectedText(j job) string {
	call := &garnetworks.CallRequest{Model: garnetworks.ModelName(j.model), Prompt: j.prompt}
	return faker.AnswerText(call, 0, s.MaxTokens)
}

// event holds the fields that are read of a completion's event from an entry node, of a whole
// completion, or of an engine's event.
type event struct {
	Text    string `json:"text"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func (e *event) text() string {
	if len(e.Choices) > 0 {
		return e.Choices[0].Text
	}
	return e.Text
}

func (s *sender) readWhole(body io.Reader, r *result) (string, error) {
	var e event
	if err := json.NewDecoder(body).Decode(&e); err != nil {
		return "", err
	}
	r.tokens = e.Usage.CompletionTokens
	return e.text(), nil
}

// maxLine limits the length of a line of a stream, in bytes.
const maxLine = 1 << 20

// readStream reads server-sent events to the end of the body. complete tells whether the end
// marker was seen: data [DONE] or an event named connector.EventEnd.
func readStream(body io.Reader, due time.Time, r *result) (text string, complete bool, err error) {
	var b strings.Builder
	var last time.Time
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxLine)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: "+connector.EventEnd {
			complete = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return "", false, err
		}
		if e.text() == "" {
			continue
		}
		now := time.Now()
		if r.tokens == 0 {
			r.firstToken = now.Sub(due)
		} else {
			r.gaps = append(r.gaps, now.Sub(last))
		}
		last = now
		r.tokens++
		b.WriteString(e.text())
	}
	return b.String(), complete, scanner.Err()
}
