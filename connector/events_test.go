package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// newTestStream reads a response to attempt a.1 from r.
func newTestStream(r io.Reader) *engineStream {
	_, cancel := context.WithCancel(context.Background())
	caller := NewEngineCaller(Options{})
	return newEngineStream(caller, "", "a.1", io.NopCloser(r), newWatchdog(time.Hour, cancel), cancel)
}

// readTestStream returns the text of a response and the error that ended it.
func readTestStream(s *engineStream) (text string, chunk garnetworks.Chunk, err error) {
	defer s.Close()
	var b strings.Builder
	for err == nil {
		if err = s.Next(&chunk); err == nil {
			b.WriteString(chunk.Text)
		}
	}
	return b.String(), chunk, err
}

func TestEngineStream(t *testing.T) {
	const (
		one = "id: a.1\ndata: {\"index\":0,\"tokens\":1,\"text\":\"one \"}\n\n"
		two = "id: a.1\ndata: {\"index\":1,\"tokens\":1,\"text\":\"two\"}\n\n"
		end = "id: a.1\nevent: end\ndata: {\"index\":2,\"tokens\":0,\"finish-reason\":\"stop\",\"load\":{\"running\":3}}\n\n"
	)
	long := strings.Repeat("x", 3*eventBufferBytes)
	tests := map[string]struct {
		body  string
		text  string
		phase garnetworks.CallPhase
	}{
		"whole":                   {one + two + end, "one two", garnetworks.PhaseDone},
		"line ends with CR":       {strings.ReplaceAll(one+two+end, "\n", "\r\n"), "one two", garnetworks.PhaseDone},
		"comments between":        {": hi\n\n" + one + ": waiting\n\n" + two + ":\n" + end, "one two", garnetworks.PhaseDone},
		"unknown fields":          {"retry: 5\nfoo\n" + one + two + end, "one two", garnetworks.PhaseDone},
		"events without data":     {"id: a.1\n\n" + one + two + end, "one two", garnetworks.PhaseDone},
		"data over lines":         {"id: a.1\ndata: {\"index\":0,\ndata: \"tokens\":1,\"text\":\"one \"}\n\n" + two + end, "one two", garnetworks.PhaseDone},
		"no space after colon":    {strings.ReplaceAll(one+two+end, ": ", ":"), "one two", garnetworks.PhaseDone},
		"long event":              {"id: a.1\ndata: {\"index\":0,\"tokens\":2,\"text\":\"" + long + "\"}\n\n" + end, long, garnetworks.PhaseDone},
		"escapes":                 {"id: a.1\ndata: {\"index\":0,\"tokens\":2,\"text\":\"a\\nb\\u00f6\"}\n\n" + end, "a\nbö", garnetworks.PhaseDone},
		"bytes after the end":     {one + two + end + "rubbish", "one two", garnetworks.PhaseDone},
		"empty":                   {"", "", garnetworks.PhaseBody},
		"no end":                  {one + two, "one two", garnetworks.PhaseBody},
		"end without blank line":  {one + two + strings.TrimSuffix(end, "\n"), "one two", garnetworks.PhaseBody},
		"breaks off in an event":  {one + two[:20], "one ", garnetworks.PhaseBody},
		"token twice":             {one + one + two + end, "one ", garnetworks.PhaseBody},
		"token missing":           {one + end, "one ", garnetworks.PhaseBody},
		"negative tokens":         {"id: a.1\ndata: {\"index\":0,\"tokens\":-1}\n\n", "", garnetworks.PhaseBody},
		"not JSON":                {one + "id: a.1\ndata: two\n\n" + end, "one ", garnetworks.PhaseBody},
		"two values in one event": {"id: a.1\ndata: {\"index\":0,\"tokens\":1}{\"index\":1}\n\n" + end, "", garnetworks.PhaseBody},
		"half a value":            {"id: a.1\ndata: {\"index\":0,\n\nid: a.1\ndata: \"tokens\":2}\n\n" + end, "", garnetworks.PhaseBody},
		"too large":               {"id: a.1\ndata: {\"text\":\"" + strings.Repeat("x", maxEventBytes+eventBufferBytes) + "\"}\n\n", "", garnetworks.PhaseBody},
		"another attempt's":       {one + strings.ReplaceAll(two, "a.1", "b.1") + end, "one ", garnetworks.PhaseMismatched},
		"end of another attempt":  {one + two + strings.ReplaceAll(end, "a.1", "b.1"), "one two", garnetworks.PhaseMismatched},
		"no identifier":           {one + strings.ReplaceAll(two, "id: a.1\n", "") + end, "one ", garnetworks.PhaseMismatched},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text, chunk, err := readTestStream(newTestStream(strings.NewReader(test.body)))
			phase := garnetworks.PhaseDone
			var attempt *garnetworks.AttemptError
			if errors.As(err, &attempt) {
				phase = attempt.Phase
			} else if err != io.EOF {
				t.Fatalf("got error %v of another type", err)
			}
			if text != test.text || phase != test.phase {
				t.Errorf("got text %.40q and phase %s (%v), want %.40q and %s", text, phase, err, test.text, test.phase)
			}
			if chunk.End != (test.phase == garnetworks.PhaseDone) {
				t.Errorf("got end %v with phase %s", chunk.End, phase)
			}
		})
	}
}

// FuzzEngineStream checks that a stream ends on any input, and that it is complete only
// with an identifier and an end marker, however the bytes are split into reads.
func FuzzEngineStream(f *testing.F) {
	const whole = "id: a.1\ndata: {\"index\":0,\"tokens\":1,\"text\":\"one\"}\n\nid: a.1\nevent: end\ndata: {\"index\":1}\n\n"
	f.Add([]byte(whole), uint16(20))
	f.Add([]byte(strings.ReplaceAll(whole, "\n", "\r\n")), uint16(70))
	f.Add([]byte(strings.Replace(whole, "a.1", "b.1", 1)), uint16(1))
	f.Add([]byte(": c\n\ndata\nid\nevent\n\ndata:\n\n"), uint16(3))
	f.Add([]byte("id: a.1\ndata: {\"index\":0,\"tokens\":9223372036854775807}\n\nid: a.1\ndata: {\"index\":1}\n\n"), uint16(3))
	f.Fuzz(func(t *testing.T, body []byte, cut uint16) {
		text, last, err := readTestStream(newTestStream(bytes.NewReader(body)))
		if err == io.EOF && !last.End {
			t.Fatal("the response ended without its end marker")
		}
		if err != io.EOF {
			return
		}
		if !bytes.Contains(body, []byte("a.1")) {
			t.Fatal("a response without its identifier was complete")
		}
		// Splitting the same bytes into small reads must not change the result.
		pieces, _, err := readTestStream(newTestStream(&slowReader{bytes.NewReader(body), int(cut%13) + 1}))
		if err != io.EOF || pieces != text {
			t.Fatalf("in pieces: got %q and error %v, want %q", pieces, err, text)
		}
	})
}

// slowReader returns at most size bytes per read.
type slowReader struct {
	r    io.Reader
	size int
}

func (s *slowReader) Read(p []byte) (int, error) { return s.r.Read(p[:min(len(p), s.size)]) }

// loopedEvents repeats the same events endlessly.
type loopedEvents struct{ bytes.Reader }

const loopedCount = 1000

func newLoopedEvents() *loopedEvents {
	var body []byte
	for i := range loopedCount {
		body = fmt.Appendf(body, "id: a.1\ndata: {\"index\":%d,\"tokens\":1,\"text\":\" pump\\n\"}\n\n", i)
	}
	l := &loopedEvents{}
	l.Reset(body)
	return l
}

func (l *loopedEvents) Read(p []byte) (int, error) {
	n, err := l.Reader.Read(p)
	if err == io.EOF {
		_, _ = l.Seek(0, io.SeekStart)
		return l.Reader.Read(p)
	}
	return n, err
}

// nextLooped reads the next event of loopedEvents.
func nextLooped(tb testing.TB, s *engineStream, chunk *garnetworks.Chunk) {
	if s.next == loopedCount {
		s.next = 0
	}
	if err := s.Next(chunk); err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkNext measures decoding one token from the body to the chunk.
func BenchmarkNext(b *testing.B) {
	s := newTestStream(newLoopedEvents())
	defer s.Close()
	var chunk garnetworks.Chunk
	b.ReportAllocs()
	for b.Loop() {
		nextLooped(b, s, &chunk)
	}
}

// Decoding a token must cost less than one allocation on average, also if its text has an
// escape sequence.
func TestNextAllocations(t *testing.T) {
	s := newTestStream(newLoopedEvents())
	defer s.Close()
	var chunk garnetworks.Chunk
	got := testing.AllocsPerRun(2*loopedCount, func() { nextLooped(t, s, &chunk) })
	if got > 0 {
		t.Errorf("got %.0f allocations for each token, want less than 1", got)
	}
}

// FuzzEventDecoder checks that the decoder agrees with encoding/json on any input, and
// that no state carries over from one event to the next.
func FuzzEventDecoder(f *testing.F) {
	for _, text := range []string{"", " pump\n", "a\"b\\c/\b\f\r\t\x00\x7f", "<&>\u2028", "ö 日本 🛠"} {
		usual, _ := json.Marshal(EventBody{Index: 7, Tokens: 1, Text: text, FinishReason: "stop"})
		f.Add(usual)
		f.Add([]byte(strings.NewReplacer(":", ": ", ",", ", ").Replace(string(usual))))
	}
	for _, seed := range []string{
		`{"text":"\u00f6\u65E5\ud83d\udee0"}`, `{"text":"\ud83d"}`, `{"text":"\udee0\ud83d"}`, `{"text":"\ud83d\u0041"}`,
		`{"text":"\ud83dx"}`, `{"text":"\u00g0"}`, `{"text":"\u00"}`, `{"text":"\x"}`, `{"text":"\`, `{"text":"`, "{\"text\":\"a\nb\"}",
		"{\"text\":\"\xff\"}", "{\"text\":\"\xc3\\u0041\"}", "{\"text\":\"\\u00c3\x83\"}", `{"index":01}`, `{"index":-1}`, `{"index":-0}`,
		`{"index":1.0}`, `{"index":1e2}`, `{"index":999999999}`, `{"index":9223372036854775808}`, `{"index":"1"}`, `{"index":null}`,
		`{"index":1,"index":2}`, `{"index":1,"Index":2}`, `{"inde\u0078":1}`, `{"index":1,}`, `{"index":1}}`, `{"index":1} `, `{"index":1}{}`,
		` { "index" : 1 , "tokens" : 2 } `, "{\t\"index\":1}", `{}`, `{`, ``, `null`, `{"index"`, `{"index`, `{"other":1,"index":2}`,
		`{"index":2,"load":{"running":3,"at":"2026-01-02T03:04:05Z"}}`,
	} {
		f.Add([]byte(seed))
	}
	d := &eventDecoder{}
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want EventBody
		wantErr := json.Unmarshal(data, &want)
		parsed := d.parse(data, &got)
		if parsed && (wantErr != nil || !reflect.DeepEqual(got, want)) {
			t.Fatalf("parsed %+v, want %+v, %v", got, want, wantErr)
		}
		if usual, _ := json.Marshal(want); !parsed && want.Load == nil && string(usual) == string(data) && want.Index|want.Tokens >= 0 && max(want.Index, want.Tokens) < 1e9 {
			t.Fatalf("%s was left to encoding/json", data)
		}
		if err := d.decode(data, &got); (err == nil) != (wantErr == nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("decoded %+v, %v, want %+v, %v", got, err, want, wantErr)
		}
	})
}
