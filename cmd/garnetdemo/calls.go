package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// caller calls the entry nodes as a workspace's client would.
type caller struct {
	key string
	// nodes holds the entry nodes' addresses for callers.
	nodes []string
}

// reply is an answer that was read to its end.
type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
}

const (
	samplePrompt = "the pump at well 9 has failed; what was replaced in spring?"
	sampleTokens = 24 // response tokens
	callTimeout  = 10 * time.Second
)

func (c *caller) send(ctx context.Context, node int, method, path, idempotencyKey, body string) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[node]+path, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("Garnet-Outcome")
	if outcome == "" {
		outcome = response.Trailer.Get("Garnet-Outcome")
	}
	return reply{response.StatusCode, outcome, response.Header, string(data)}, err
}

func completionBody(prompt string, tokens int, stream bool) string {
	body, _ := json.Marshal(map[string]any{"model": "chat", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(body)
}

// awaitServing waits until every node has completed a call to the model.
func (c *caller) awaitServing(ctx context.Context) error {
	for node := range c.nodes {
		for {
			r, err := c.send(ctx, node, http.MethodPost, "/v1/completions", "", completionBody("ready?", 1, false))
			if err == nil && r.status == http.StatusOK {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Errorf("%s answered %d %s, error %v", c.nodes[node], r.status, r.body, err)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// sample is one of the sample calls; check returns an error if the reply isn't the expected
// one.
type sample struct {
	title string
	call  func(ctx context.Context) (reply, error)
	check func(r reply) error
}

// runSamples sends the sample calls, prints each answer, and returns an error if any of them
// was not the expected one.
func (c *caller) runSamples(ctx context.Context, w io.Writer, service *faker.Service) error {
	key := "visit-" + ulid.Make().String()
	var first reply
	list := []sample{
		{"streamed completion", c.stream(0), checkStream},
		{"whole completion", c.post(1, "/v1/completions", "", completionBody(samplePrompt, sampleTokens, false)), checkCompletion},
		{"plain call", c.get(2, "/services/ledger/stock?part=3"), wantCompleted(http.StatusOK)},
		{"keyed call", c.post(0, "/services/ledger/visits", key, `{"part":3}`), func(r reply) error {
			first = r
			return wantCompleted(http.StatusOK)(r)
		}},
		{"the keyed call again, at another node", c.post(2, "/services/ledger/visits", key, `{"part":3}`), func(r reply) error {
			return checkRepeated(r, first, service.ExecutionsByKey(key))
		}},
		{"refused call", c.post(1, "/v1/completions", "", `{"model":"unknown","prompt":"x"}`), checkRefused},
		{"models", c.get(2, "/v1/models"), checkModels},
	}
	failed := 0
	for _, s := range list {
		if err := s.run(ctx, w); err != nil {
			_, _ = fmt.Fprintf(w, "WRONG: %v\n", err)
			failed++
		}
		_, _ = fmt.Fprintln(w)
	}
	if failed > 0 {
		return errors.Errorf("%d of %d answers were wrong", failed, len(list))
	}
	_, _ = fmt.Fprintf(w, "all %d answers were right\n", len(list))
	return nil
}

func (s sample) run(ctx context.Context, w io.Writer) error {
	start := time.Now()
	r, err := s.call(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(w, "== %s\n", s.title)
		return err
	}
	_, _ = fmt.Fprintf(w, "== %s: status %d, outcome %s, %.1f ms\n%s\n",
		s.title, r.status, r.outcome, float64(time.Since(start).Microseconds())/1000, abbreviate(r.body))
	return s.check(r)
}

// Number of events printed from the start and the end of a stream.
const (
	firstEvents = 3
	lastEvents  = 2
)

// abbreviate replaces the middle of a long stream by the number of events left out.
func abbreviate(body string) string {
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	if omitted := len(events) - firstEvents - lastEvents; omitted > 0 {
		marker := fmt.Sprintf("(%d more events)", omitted)
		events = append(append(events[:firstEvents:firstEvents], marker), events[len(events)-lastEvents:]...)
	}
	return strings.Join(events, "\n")
}

func (c *caller) post(node int, path, idempotencyKey, body string) func(context.Context) (reply, error) {
	return func(ctx context.Context) (reply, error) {
		return c.send(ctx, node, http.MethodPost, path, idempotencyKey, body)
	}
}

func (c *caller) get(node int, path string) func(context.Context) (reply, error) {
	return func(ctx context.Context) (reply, error) { return c.send(ctx, node, http.MethodGet, path, "", "") }
}

func (c *caller) stream(node int) func(context.Context) (reply, error) {
	return c.post(node, "/v1/completions", "", completionBody(samplePrompt, sampleTokens, true))
}

func wantCompleted(status int) func(r reply) error {
	return func(r reply) error {
		if r.status != status || r.outcome != string(garnetworks.OutcomeCompleted) {
			return errors.Errorf("got status %d and outcome %q, want %d and %s", r.status, r.outcome, status, garnetworks.OutcomeCompleted)
		}
		return nil
	}
}

// sampleText returns the text that a simulated engine answers to the sample prompt.
func sampleText() string {
	return faker.AnswerText(&garnetworks.CallRequest{Model: "chat", Prompt: samplePrompt}, 0, sampleTokens)
}

// completion holds the fields that the checks read of a completion or of one event of it.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (c completion) text() string {
	var b strings.Builder
	for _, choice := range c.Choices {
		b.WriteString(choice.Text)
	}
	return b.String()
}

func checkCompletion(r reply) error {
	if err := wantCompleted(http.StatusOK)(r); err != nil {
		return err
	}
	var c completion
	if err := json.Unmarshal([]byte(r.body), &c); err != nil {
		return errors.Wrap(err, "the body")
	}
	return wantText(c.text())
}

func wantText(got string) error {
	if want := sampleText(); got != want {
		return errors.Errorf("got text %q, want %q", got, want)
	}
	return nil
}

// checkStream compares the joined text of the events, and requires the end marker.
func checkStream(r reply) error {
	if err := wantCompleted(http.StatusOK)(r); err != nil {
		return err
	}
	var text strings.Builder
	ended := false
	scanner := bufio.NewScanner(bytes.NewBufferString(r.body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return errors.Wrapf(err, "event %q", data)
		}
		text.WriteString(c.text())
	}
	if !ended {
		return errors.New("the stream has no end")
	}
	return wantText(text.String())
}

func checkRepeated(r, first reply, executions int) error {
	if err := wantCompleted(first.status)(r); err != nil {
		return err
	}
	if r.body != first.body || executions != 1 {
		return errors.Errorf("the call ran %d times; got %q after %q", executions, r.body, first.body)
	}
	return nil
}

func checkRefused(r reply) error {
	var problem struct {
		Kind    garnetworks.Kind    `json:"kind"`
		Outcome garnetworks.Outcome `json:"outcome"`
	}
	if err := json.Unmarshal([]byte(r.body), &problem); err != nil {
		return errors.Wrap(err, "the problem document")
	}
	if problem.Kind != garnetworks.KindUnknownModel || r.outcome != string(garnetworks.OutcomeNotRun) || problem.Outcome != garnetworks.OutcomeNotRun {
		return errors.Errorf("got %+v and outcome %q, want kind %s and outcome %s", problem, r.outcome, garnetworks.KindUnknownModel, garnetworks.OutcomeNotRun)
	}
	return nil
}

func checkModels(r reply) error {
	var models struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.Unmarshal([]byte(r.body), &models); err != nil {
		return errors.Wrap(err, "the models")
	}
	for _, m := range models.Data {
		if m.ID == "chat" {
			return nil
		}
	}
	return errors.New("the model chat is missing")
}
