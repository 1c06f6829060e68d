package connector_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/connector"
)

// Connections of complete responses and of refusals must return to the pool, or each call
// under load pays for a connect.
func TestConnectionsAreReused(t *testing.T) {
	answers := map[string]http.HandlerFunc{
		"whole": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(connector.HeaderAttempt, r.Header.Get(connector.HeaderAttempt))
			_, _ = w.Write([]byte("id: a\nevent: end\ndata: {\"index\":0}\n\n"))
			_ = http.NewResponseController(w).Flush()
			// The body ends some time after the end marker.
			time.Sleep(5 * time.Millisecond)
		},
		"refused": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(connector.HeaderAttempt, r.Header.Get(connector.HeaderAttempt))
			w.Header().Set(connector.HeaderOutcome, string(garnetworks.OutcomeNotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"kind":"overloaded"}`))
		},
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			var connections atomic.Int64
			server := httptest.NewUnstartedServer(answer)
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					connections.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			caller := connector.NewEngineCaller(connector.Options{})
			defer caller.Close()
			const calls = 20
			for range calls {
				stream, err := caller.Generate(t.Context(), server.Listener.Addr().String(), &garnetworks.EngineCall{Attempt: "a"})
				if err != nil {
					continue
				}
				var chunk garnetworks.Chunk
				if err := stream.Next(&chunk); err != nil || !chunk.End {
					t.Fatalf("got chunk %+v and error %v", chunk, err)
				}
				_ = stream.Close()
			}
			// A connection whose body ends late is closed, so some reconnects are allowed.
			if got := connections.Load(); got > calls/4 {
				t.Errorf("%d calls opened %d connections", calls, got)
			}
		})
	}
}
