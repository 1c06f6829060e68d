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

// benchEngine brings tokens without a cost of its own. With a pace, a token comes
// only after the one before it was flushed to the caller, so that no two of them
// share a flush.
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

// discard is a caller that takes everything at once.
type discardWriter struct {
	header  http.Header
	flushed chan struct{}
	bytes   int
}

func (d *discardWriter) Header() http.Header                { return d.header }
func (d *discardWriter) WriteHeader(int)                    {}
func (d *discardWriter) SetWriteDeadline(_ time.Time) error { return nil }
func (d *discardWriter) SetReadDeadline(_ time.Time) error  { return nil }
func (d *discardWriter) Write(b []byte) (int, error) { d.bytes += len(b); return len(b), nil }

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

// toAddress is a chooser with one group at a real address.
type fixedAddress struct {
	*node
	address string
}

func (a fixedAddress) Choose(time.Time, *garnetworks.CallRequest, []garnetworks.GroupID) (garnetworks.GroupView, error) {
	return garnetworks.GroupView{ID: "g1", Address: a.address}, nil
}

// events1000 are the events of an answer with a place for the attempt.
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

// writeEvents answers as an engine does, as fast as the connection takes it.
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

// measure runs one call of benchTokens for each b.N and reports cost by token.
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

// BenchmarkToken measures what the gateway spends on a streamed token, from the
// engine's adapter to the response writer.
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
	// The caller and the kernel's loopback are in the figures below, and in the
	// second one the engine's adapter and an engine that writes prepared events.
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
			b.Fatalf("%d bytes, not whole", body.Len())
		}
	})
}
