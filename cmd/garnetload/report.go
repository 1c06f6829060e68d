package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: an hour, in microseconds, at three significant digits.
const (
	maxMicros         = 3_600_000_000
	significantDigits = 3
)

// report holds the results by class.
type report struct {
	Seconds float64          `json:"seconds"`
	Classes map[class]*tally `json:"-"`
	// keys holds the calls of each idempotency key. Executions is nil unless --executions is
	// set and its answer was read.
	keys       map[string]*keyCalls
	Executions *executionsBody `json:"executions,omitempty"`
	// Crowds is nil without --crowd, OverTime empty without --watch.
	Crowds   *crowdBody   `json:"crowds,omitempty"`
	OverTime []sampleBody `json:"over-time,omitempty"`
	watched  *watch
}

// tally holds the results of one class.
type tally struct {
	calls          int
	tokens         int
	outcomes       map[outcomeKey]int
	withRetryAfter int
	sendDelay      *hdrhistogram.Histogram
	firstToken     *hdrhistogram.Histogram
	betweenTokens  *hdrhistogram.Histogram
	total          *hdrhistogram.Histogram
}

type outcomeKey struct{ outcome, kind string }

func newReport() *report {
	return &report{Classes: make(map[class]*tally), keys: make(map[string]*keyCalls), watched: &watch{}}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significantDigits) }

func newTally() *tally {
	return &tally{
		outcomes:      make(map[outcomeKey]int),
		sendDelay:     newHistogram(),
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		total:         newHistogram(),
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// add adds a result. Latencies are recorded for completed calls only, so that fast refusals
// don't lower the percentiles.
func (r *report) add(result result) {
	t := r.Classes[result.class]
	if t == nil {
		t = newTally()
		r.Classes[result.class] = t
	}
	t.calls++
	r.watched.add(result.outcome)
	r.addKey(result)
	t.outcomes[outcomeKey{result.outcome, result.kind}]++
	if result.retryAfter {
		t.withRetryAfter++
	}
	if result.outcome == outcomeNotSent {
		return
	}
	record(t.sendDelay, result.sendDelay)
	if result.outcome != outcomeCompleted {
		return
	}
	t.tokens += result.tokens
	record(t.total, result.total)
	record(t.firstToken, result.firstToken)
	for _, gap := range result.gaps {
		record(t.betweenTokens, gap)
	}
}

func (r *report) addKey(result result) {
	if result.key == "" {
		return
	}
	if r.keys[result.key] == nil {
		r.keys[result.key] = &keyCalls{}
	}
	r.keys[result.key].add(result.outcome)
}

// addExecutions compares keyed calls with the executions that the simulated service counted.
func (r *report) addExecutions(ctx context.Context, s *sender) error {
	if s.Executions == "" {
		return nil
	}
	ran, err := s.fetchExecutions(ctx)
	if err != nil {
		return err
	}
	body := compareExecutions(r.keys, ran)
	r.Executions = &body
	return nil
}

func (r *report) progressLine(elapsed time.Duration, inFlight int64) string {
	calls, completed, tokens := 0, 0, 0
	for _, t := range r.Classes {
		calls += t.calls
		tokens += t.tokens
		completed += t.outcomes[outcomeKey{outcome: outcomeCompleted}]
	}
	line := fmt.Sprintf("%4.0f s: %d ended, %d not completed, %d in flight, %d tokens", elapsed.Seconds(), calls, calls-completed, inFlight, tokens)
	if t := r.Classes[classGateway]; t != nil {
		line += fmt.Sprintf(", first token p50 %.1f ms p99 %.1f ms", millis(t.firstToken, 50), millis(t.firstToken, 99))
	}
	return line
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

var percentiles = []float64{50, 90, 95, 99, 99.9, 100}

// timesBody summarizes a histogram in milliseconds.
type timesBody struct {
	Count       int64              `json:"count"`
	MeanMillis  float64            `json:"mean-ms"`
	Percentiles map[string]float64 `json:"percentiles-ms"`
}

func summarize(h *hdrhistogram.Histogram) timesBody {
	body := timesBody{Count: h.TotalCount(), MeanMillis: h.Mean() / 1000, Percentiles: make(map[string]float64)}
	for _, p := range percentiles {
		body.Percentiles[fmt.Sprintf("%g", p)] = millis(h, p)
	}
	return body
}

type outcomeBody struct {
	Outcome string `json:"outcome"`
	Kind    string `json:"kind,omitempty"`
	Count   int    `json:"count"`
}

type classBody struct {
	Class            class         `json:"class"`
	Calls            int           `json:"calls"`
	CallsPerSecond   float64       `json:"calls-per-second"`
	Tokens           int           `json:"tokens"`
	TokensPerSecond  float64       `json:"tokens-per-second"`
	Outcomes         []outcomeBody `json:"outcomes"`
	AnswersWithDelay int           `json:"answers-with-retry-after"`
	SentLate         timesBody     `json:"sent-late"`
	FirstToken       timesBody     `json:"first-token"`
	BetweenTokens    timesBody     `json:"between-tokens"`
	WholeAnswer      timesBody     `json:"whole-answer"`
}

func (r *report) classes() []classBody {
	var bodies []classBody
	for _, c := range slices.Sorted(maps.Keys(r.Classes)) {
		t := r.Classes[c]
		bodies = append(bodies, classBody{
			Class:            c,
			Calls:            t.calls,
			CallsPerSecond:   float64(t.calls) / r.Seconds,
			Tokens:           t.tokens,
			TokensPerSecond:  float64(t.tokens) / r.Seconds,
			Outcomes:         t.sortedOutcomes(),
			AnswersWithDelay: t.withRetryAfter,
			SentLate:         summarize(t.sendDelay),
			FirstToken:       summarize(t.firstToken),
			BetweenTokens:    summarize(t.betweenTokens),
			WholeAnswer:      summarize(t.total),
		})
	}
	return bodies
}

func (t *tally) sortedOutcomes() []outcomeBody {
	var list []outcomeBody
	for key, count := range t.outcomes {
		list = append(list, outcomeBody{key.outcome, key.kind, count})
	}
	slices.SortFunc(list, func(a, b outcomeBody) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		if a.Outcome+a.Kind < b.Outcome+b.Kind {
			return -1
		}
		return 1
	})
	return list
}

// addedBody compares calls through an entry node with direct calls to engines in the same run.
type addedBody struct {
	Time       string  `json:"time"`
	Percentile float64 `json:"percentile"`
	Through    float64 `json:"through-node-ms"`
	Direct     float64 `json:"direct-ms"`
	Ratio      float64 `json:"ratio"`
}

func (r *report) addedLatencies() []addedBody {
	through, direct := r.Classes[classGateway], r.Classes[classDirect]
	if through == nil || direct == nil {
		return nil
	}
	times := []struct {
		name            string
		through, direct *hdrhistogram.Histogram
	}{
		{"first token", through.firstToken, direct.firstToken},
		{"between tokens", through.betweenTokens, direct.betweenTokens},
		{"whole answer", through.total, direct.total},
	}
	var list []addedBody
	for _, t := range times {
		for _, p := range []float64{50, 95, 99} {
			a := addedBody{Time: t.name, Percentile: p, Through: millis(t.through, p), Direct: millis(t.direct, p)}
			if a.Direct > 0 {
				a.Ratio = a.Through / a.Direct
			}
			list = append(list, a)
		}
	}
	return list
}

func (r *report) writeJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		*report
		Classes []classBody `json:"classes"`
		Added   []addedBody `json:"added-latency,omitempty"`
	}{r, r.classes(), r.addedLatencies()})
}

func (r *report) writeTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%.1f s\n", r.Seconds)
	for _, c := range r.classes() {
		writeClass(t, c)
	}
	if added := r.addedLatencies(); len(added) > 0 {
		_, _ = fmt.Fprint(t, "\nadded latency\tpercentile\tthrough node\tdirect\tratio\t\n")
		for _, a := range added {
			_, _ = fmt.Fprintf(t, "%s\tp%g\t%.2f ms\t%.2f ms\t%.2f\t\n", a.Time, a.Percentile, a.Through, a.Direct, a.Ratio)
		}
	}
	if r.Executions != nil {
		writeExecutions(t, *r.Executions)
	}
	if c := r.Crowds; c != nil {
		_, _ = fmt.Fprintf(t, "\ncrowds: %d connections opened, %d refused, %d ended by the node, %d of them with an answer\n", c.Opened, c.Refused, c.Ended, c.Answered)
	}
	writeSamples(t, r.OverTime)
	return t.Flush()
}

func writeClass(w io.Writer, c classBody) {
	_, _ = fmt.Fprintf(w, "\n%s: %d, %.1f a second; %d tokens, %.1f a second\n", c.Class, c.Calls, c.CallsPerSecond, c.Tokens, c.TokensPerSecond)
	for _, o := range c.Outcomes {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t\n", o.Count, o.Outcome, o.Kind)
	}
	_, _ = fmt.Fprint(w, "ms\tcount\tmean\t")
	for _, p := range percentiles {
		_, _ = fmt.Fprintf(w, "p%g\t", p)
	}
	_, _ = fmt.Fprintln(w)
	rows := []struct {
		name  string
		times timesBody
	}{
		{"sent late", c.SentLate}, {"first token", c.FirstToken}, {"between tokens", c.BetweenTokens}, {"whole answer", c.WholeAnswer},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.2f\t", row.name, row.times.Count, row.times.MeanMillis)
		for _, p := range percentiles {
			_, _ = fmt.Fprintf(w, "%.2f\t", row.times.Percentiles[fmt.Sprintf("%g", p)])
		}
		_, _ = fmt.Fprintln(w)
	}
}
