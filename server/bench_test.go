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
	pace chan struct{}
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
	if s.engine.pace != nil && s.index > 0 {
		<-s.engine.pace
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
type discard struct {
	header http.Header
	pace   chan struct{}
	bytes  int
}

func (d *discard) Header() http.Header                { return d.header }
func (d *discard) WriteHeader(int)                    {}
func (d *discard) SetWriteDeadline(_ time.Time) error { return nil }
func (d *discard) SetReadDeadline(_ time.Time) error  { return nil }
func (d *discard) Write(b []byte) (int, error)        { d.bytes += len(b); return len(b), nil }
func (d *discard) Flush() {
	if d.pace != nil {
		select {
		case d.pace <- struct{}{}:
		default:
		}
	}
}

func benchServer(pace chan struct{}) *server.Server {
	n := newWorld().newNode()
	return serverFor(&benchEngine{node: n, pace: pace}, n)
}

// toAddress is a chooser with one group at a real address.
type toAddress struct {
	*node
	address string
}

func (a toAddress) Choose(time.Time, *garnetworks.CallRequest, []garnetworks.GroupID) (garnetworks.GroupView, error) {
	return garnetworks.GroupView{ID: "g1", Address: a.address}, nil
}

// events1000 are the events of an answer with a place for the attempt.
var events1000 = func() []byte {
	var answer []byte
	for i := range benchTokens {
		end, reason := "", ""
		if i == benchTokens-1 {
			end, reason = "event: end\n", `,"finish-reason":"length"`
		}
		answer = fmt.Appendf(answer, "id: @\n%sdata: {\"index\":%d,\"tokens\":1,\"text\":\" pump\\n\"%s}\n\n", end, i, reason)
	}
	return answer
}()

// writeEvents answers as an engine does, as fast as the connection takes it.
func writeEvents(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(connector.HeaderAttempt)
	w.Header().Set(connector.HeaderAttempt, attempt)
	_, _ = w.Write(bytes.ReplaceAll(events1000, []byte("@"), []byte(attempt)))
}

func serverFor(engines garnetworks.EngineCaller, groups garnetworks.GroupChooser) *server.Server {
	calls := forwarder.New(forwarder.Options{Engines: engines, Groups: groups, Manifest: newManifests()})
	s := server.New(server.Options{
		Calls: calls, Manifest: newManifests(),
		NewKeyIndex: func(*garnetworks.Manifest) server.KeyIndex { return keys{} },
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
func measure(b *testing.B, run func()) {
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
	memory := map[string]chan struct{}{"as-fast-as-possible": nil, "one-token-per-flush": make(chan struct{}, 1)}
	for name, pace := range memory {
		b.Run(name, func(b *testing.B) {
			handler := benchServer(pace).Handler()
			measure(b, func() {
				w := &discard{header: http.Header{}, pace: pace}
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
		groups := toAddress{newWorld().newNode(), engine.Listener.Addr().String()}
		overLoopback(b, serverFor(caller, groups))
	})
}

func overLoopback(b *testing.B, s *server.Server) {
	listener := httptest.NewServer(s.Handler())
	defer listener.Close()
	var body bytes.Buffer
	measure(b, func() {
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
