package server_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/connector"
	"github.com/garnetworks/garnetworks/forwarder"
	"github.com/garnetworks/garnetworks/server"
)

const benchTokens = 1000

// benchEngine generates tokens at negligible cost. If flushed is set, each token waits until
// the previous one was flushed to the caller, so that each has a flush of its own.
type benchEngine struct {
	*node
	flushed chan struct{}
}

func (e *benchEngine) Generate(ctx context.Context, _ string, call *garnetworks.EngineCall) (garnetworks.EngineStream, error) {
	return &benchStream{ctx: ctx, engine: e, attempt: call.Attempt}, nil
}

type benchStream struct {
	ctx     context.Context
	engine  *benchEngine
	attempt garnetworks.CallID
	index   int
}

func (s *benchStream) Next(c *garnetworks.Chunk) error {
	if s.engine.flushed != nil && s.index > 0 {
		<-s.engine.flushed
	}
	*c = garnetworks.Chunk{Attempt: s.attempt, Index: s.index, Text: " pump\n", Tokens: 1}
	s.index++
	c.End = s.index == benchTokens
	if c.End {
		c.FinishReason = "length"
	}
	return nil
}

func (s *benchStream) Close() error { return nil }

// discardWriter is a response writer that discards what is written.
type discardWriter struct {
	header  http.Header
	flushed chan struct{}
	bytes   int
}

func (d *discardWriter) Header() http.Header                { return d.header }
func (d *discardWriter) WriteHeader(int)                    {}
func (d *discardWriter) SetWriteDeadline(_ time.Time) error { return nil }
func (d *discardWriter) SetReadDeadline(_ time.Time) error  { return nil }
func (d *discardWriter) Write(b []byte) (int, error)        { d.bytes += len(b); return len(b), nil }

func (d *discardWriter) Flush() {
	if d.flushed != nil {
		select {
		case d.flushed <- struct{}{}:
		default:
		}
	}
}

func benchServer(flushed chan struct{}) *server.Server {
	n := newEnvironment().newNode()
	return serverFor(&benchEngine{node: n, flushed: flushed}, n)
}

// fixedAddress is a GroupChooser with one group, at the given address.
type fixedAddress struct {
	*node
	address string
}

func (a fixedAddress) Choose(time.Time, *garnetworks.CallRequest, []garnetworks.GroupID) (garnetworks.GroupView, error) {
	return garnetworks.GroupView{ID: "g1", Address: a.address}, nil
}

// eventTemplate holds the events of an engine's response, with "@" for the attempt.
var eventTemplate = func() []byte {
	var events []byte
	for i := range benchTokens {
		end, reason := "", ""
		if i == benchTokens-1 {
			end, reason = "event: end\n", `,"finish-reason":"length"`
		}
		events = fmt.Appendf(events, "id: @\n%sdata: {\"index\":%d,\"tokens\":1,\"text\":\" pump\\n\"%s}\n\n", end, i, reason)
	}
	return events
}()

// writeEvents is the handler of an engine that sends its response at once.
func writeEvents(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(connector.HeaderAttempt)
	w.Header().Set(connector.HeaderAttempt, attempt)
	_, _ = w.Write(bytes.ReplaceAll(eventTemplate, []byte("@"), []byte(attempt)))
}

func serverFor(engines garnetworks.EngineCaller, groups garnetworks.GroupChooser) *server.Server {
	calls := forwarder.New(forwarder.Options{Engines: engines, Groups: groups, Manifest: newManifestSource()})
	s := server.New(server.Options{
		Calls: calls, Manifest: newManifestSource(),
		NewKeyIndex: func(*garnetworks.Manifest) server.KeyIndex { return fakeKeyIndex{} },
	})
	s.SetReady(true)
	return s
}

func benchRequest(url string) *http.Request {
	body := `{"model":"brief","prompt":"p","max_tokens":1000,"stream":true}`
	request := httptest.NewRequest("POST", url, strings.NewReader(body))
	request.RequestURI = ""
	request.Header.Set("Authorization", bearer)
	return request
}

// measurePerToken runs b.N calls of benchTokens tokens and reports the cost per token.
func measurePerToken(b *testing.B, run func()) {
	var before, after runtime.MemStats
	var cpuBefore, cpuAfter syscall.Rusage
	run()
	runtime.ReadMemStats(&before)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &cpuBefore)
	b.ResetTimer()
	for range b.N {
		run()
	}
	b.StopTimer()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &cpuAfter)
	runtime.ReadMemStats(&after)
	tokens := float64(b.N * benchTokens)
	cpu := cpuAfter.Utime.Nano() + cpuAfter.Stime.Nano() - cpuBefore.Utime.Nano() - cpuBefore.Stime.Nano()
	b.ReportMetric(float64(cpu)/tokens, "cpu-ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tokens, "allocs/token")
}

// BenchmarkToken measures the server's cost of a streamed token, from the engine's stream to
// the response writer.
func BenchmarkToken(b *testing.B) {
	variants := map[string]chan struct{}{"as-fast-as-possible": nil, "one-token-per-flush": make(chan struct{}, 1)}
	for name, flushed := range variants {
		b.Run(name, func(b *testing.B) {
			handler := benchServer(flushed).Handler()
			measurePerToken(b, func() {
				w := &discardWriter{header: http.Header{}, flushed: flushed}
				handler.ServeHTTP(w, benchRequest("/v1/completions"))
			})
		})
	}
	// The results below include the client and the loopback interface, the second one also the
	// connector and an engine that sends prepared events.
	b.Run("over-loopback", func(b *testing.B) { overLoopback(b, benchServer(nil)) })
	b.Run("over-loopback-with-adapter", func(b *testing.B) {
		engine := httptest.NewServer(http.HandlerFunc(writeEvents))
		defer engine.Close()
		caller := connector.NewEngineCaller(connector.Options{})
		defer caller.Close()
		groups := fixedAddress{newEnvironment().newNode(), engine.Listener.Addr().String()}
		overLoopback(b, serverFor(caller, groups))
	})
}

func overLoopback(b *testing.B, s *server.Server) {
	listener := httptest.NewServer(s.Handler())
	defer listener.Close()
	var body bytes.Buffer
	measurePerToken(b, func() {
		response, err := listener.Client().Do(benchRequest(listener.URL + "/v1/completions"))
		if err != nil {
			b.Fatal(err)
		}
		body.Reset()
		_, _ = body.ReadFrom(response.Body)
		response.Body.Close()
		if !bytes.HasSuffix(body.Bytes(), []byte("data: [DONE]\n\n")) {
			b.Fatalf("incomplete response of %d bytes", body.Len())
		}
	})
}
