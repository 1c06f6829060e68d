package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/server"
)

// Guards against heads that together take more memory than they may at one of the listeners.
func TestHeadsAreBoundedAtEachListener(t *testing.T) {
	const connections, total, limit, patience = 60, 1 << 20, 16 << 10, 20 * time.Second
	cases := map[string]struct {
		serve  func(r *Runner, ctx context.Context) error
		listen func(r *Runner) *net.Listener
	}{
		"callers": {(*Runner).serveCallers, func(r *Runner) *net.Listener { return &r.callers }},
		"admin":   {(*Runner).serveAdmin, func(r *Runner) *net.Listener { return &r.admin }},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Runner{
				settings: configurer.Settings{Limits: configurer.Limits{HeaderBytes: limit, TotalHeaderBytes: total, HeaderTime: time.Minute, Connections: 1000}},
				log:      hclog.NewNullLogger(), meter: meter.New(), server: server.New(server.Options{}),
			}
			r.evictor = r.newEvictor()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			*tt.listen(r) = listener
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = tt.serve(r, ctx) // ends with the test
			}()
			defer func() { stop(); <-ended }()
			head := "GET /livez HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", 4000)
			closed := make(chan struct{}, connections)
			counted := int64(0)
			for range connections {
				conn, err := net.Dial("tcp4", listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				go func() {
					_, _ = io.Copy(io.Discard, conn) // ends with the connection
					closed <- struct{}{}
				}()
				if _, err := io.WriteString(conn, head); err != nil {
					t.Fatal(err)
				}
				held := r.evictor.Count().HeadBytes
				if held > 2*total {
					t.Fatalf("heads take %d bytes of %d", held, total)
				}
				counted = max(counted, held)
			}
			// There is memory for one of these heads. That of the others is free when their connections have ended.
			for n := range connections - 1 {
				select {
				case <-closed:
					counted = max(counted, r.evictor.Count().HeadBytes)
				case <-time.After(patience):
					t.Fatalf("%d of %d connections have ended", n, connections)
				}
			}
			for fields, want := range map[int]bool{0: true, limit: false} {
				request, err := http.NewRequest(http.MethodGet, "http://"+listener.Addr().String()+"/livez", nil)
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("X-Fill", strings.Repeat("x", fields))
				response, err := http.DefaultTransport.RoundTrip(request)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close() // the status is all that counts
				if passed := response.StatusCode != http.StatusRequestHeaderFieldsTooLarge; passed != want {
					t.Errorf("a head with a field of %d bytes got status %d", fields, response.StatusCode)
				}
			}
			if counted == 0 {
				t.Error("no head was counted")
			}
		})
	}
}
