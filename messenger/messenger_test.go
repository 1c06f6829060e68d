package messenger

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// handler returns what the test sets; most other methods return fixed errors.
type handler struct {
	heartbeat func(*garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error)
	fetch     func(*garnetworks.FetchRequest) (*garnetworks.FetchResponse, error)
}

var errNotFound = garnetworks.Errorf(garnetworks.KindNotFound, "not in this test")

func (h *handler) Heartbeat(_ context.Context, q *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	if h.heartbeat == nil {
		return &garnetworks.HeartbeatResponse{From: q.From}, nil
	}
	return h.heartbeat(q)
}

func (h *handler) Fetch(_ context.Context, q *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	if h.fetch == nil {
		return nil, errNotFound
	}
	return h.fetch(q)
}

func (h *handler) Distribute(context.Context, *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	return nil, errNotFound
}

func (h *handler) Verdicts(_ context.Context, q *garnetworks.VerdictRequest) (*garnetworks.VerdictResponse, error) {
	response := &garnetworks.VerdictResponse{}
	for _, s := range q.Groups {
		verdict := garnetworks.VerdictHealthy
		if s.Group == "lost" && s.SilentMS == 120 {
			verdict = garnetworks.VerdictLost
		}
		response.Verdicts = append(response.Verdicts, verdict)
	}
	return response, nil
}

func (h *handler) Events(context.Context, *garnetworks.EventsRequest) (*garnetworks.EventsResponse, error) {
	return &garnetworks.EventsResponse{Node: "entry-1"}, nil
}

func (h *handler) Status(context.Context, *garnetworks.StatusRequest) (*garnetworks.StatusResponse, error) {
	return nil, io.ErrUnexpectedEOF
}

func (h *handler) Propose(context.Context, *garnetworks.ProposeRequest) (*garnetworks.ProposeResponse, error) {
	return nil, &garnetworks.Error{Kind: garnetworks.KindStaleGeneration, Detail: "generation 7 won", RetryAfter: time.Second, Cause: io.EOF}
}

func (h *handler) Progress(context.Context, *garnetworks.ProgressRequest) (*garnetworks.ProgressResponse, error) {
	return nil, errNotFound
}

func (h *handler) Report(context.Context, *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	return nil, errNotFound
}

// serveTest serves on a loopback address until the test ends, and returns the address.
func serveTest(t *testing.T, options ServerOptions) string {
	t.Helper()
	server, err := NewServer(options)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := Listen("127.0.0.1:0", options.Keys, false)
	if err != nil {
		t.Fatal(err)
	}
	var done sync.WaitGroup
	done.Go(func() {
		if err := server.Serve(t.Context(), listener); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(done.Wait)
	return listener.Addr().String()
}

func newTestClient(t *testing.T, options ClientOptions) *Client {
	c := NewClient(options)
	t.Cleanup(c.Close)
	return c
}

func TestCallsKeepMessagesAndKinds(t *testing.T) {
	large := garnetworks.Update{Topic: garnetworks.TopicManifest, Body: []byte(strings.Repeat("key: value\n", 40_000))}
	address := serveTest(t, ServerOptions{Handler: &handler{
		fetch: func(q *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
			if len(q.Topics) == 1 {
				return &garnetworks.FetchResponse{Updates: []garnetworks.Update{large}}, nil
			}
			body := make([]byte, MaxMessageBytes)
			_, _ = rand.Read(body)
			return &garnetworks.FetchResponse{Updates: []garnetworks.Update{{Body: body}}}, nil
		},
	}})
	traffic := new(Traffic)
	c := newTestClient(t, ClientOptions{Traffic: traffic})
	ctx := t.Context()

	q := &garnetworks.HeartbeatRequest{
		From:     garnetworks.NodeInfo{ID: "entry-1", Incarnation: 7, Zone: "zone-a", Ready: true},
		Versions: map[garnetworks.Topic]garnetworks.UpdateVersion{"roster/zone-a": {Term: 2, Sequence: 9}},
	}
	response, err := c.Heartbeat(ctx, address, q)
	if err != nil || response.From != q.From {
		t.Fatalf("heartbeat returned %+v, %v", response, err)
	}
	got, err := c.Fetch(ctx, address, &garnetworks.FetchRequest{Topics: []garnetworks.Topic{"manifest"}})
	if err != nil || string(got.Updates[0].Body) != string(large.Body) {
		t.Fatalf("fetching a large message failed: %v", err)
	}
	if n := traffic.Count().BytesReceived; n > uint64(len(large.Body))/10 {
		t.Errorf("a repetitive message of %d bytes took %d bytes", len(large.Body), n)
	}

	verdicts, err := c.Verdicts(ctx, address, &garnetworks.VerdictRequest{Groups: []garnetworks.Suspicion{{Group: "lost", SilentMS: 120}, {Group: "well", SilentMS: 120}}})
	if err != nil || len(verdicts.Verdicts) != 2 || verdicts.Verdicts[0] != garnetworks.VerdictLost || verdicts.Verdicts[1] != garnetworks.VerdictHealthy {
		t.Fatalf("got verdicts %+v, %v", verdicts, err)
	}

	kinds := map[string]struct {
		call func() error
		want garnetworks.Kind
	}{
		"handler's kind":       {func() error { _, err := c.Propose(ctx, address, &garnetworks.ProposeRequest{}); return err }, garnetworks.KindStaleGeneration},
		"error without a kind": {func() error { _, err := c.Status(ctx, address, &garnetworks.StatusRequest{}); return err }, garnetworks.KindInternal},
		"answer above bound":   {func() error { _, err := c.Fetch(ctx, address, &garnetworks.FetchRequest{}); return err }, garnetworks.KindTooLarge},
		"request above bound": {func() error {
			_, err := c.Propose(ctx, address, &garnetworks.ProposeRequest{Text: make([]byte, MaxMessageBytes+1)})
			return err
		}, garnetworks.KindTooLarge},
		"nobody listens": {func() error { _, err := c.Status(ctx, "127.0.0.1:1", &garnetworks.StatusRequest{}); return err }, garnetworks.KindUnreachable},
	}
	for name, test := range kinds {
		if err := test.call(); !garnetworks.IsKind(err, test.want) {
			t.Errorf("%s: got %v, want %s", name, err, test.want)
		}
	}
	_, err = c.Propose(ctx, address, &garnetworks.ProposeRequest{})
	if e, ok := err.(*garnetworks.Error); !ok || e.Detail != "generation 7 won" || e.RetryAfter != time.Second {
		t.Errorf("detail and retry time were lost: %+v", err)
	}
	if n := traffic.Count().Dials; n > 3 {
		t.Errorf("%d connections were opened for sequential calls", n)
	}
}

// A middlebox drops the state of idle connections without closing them. Calls must detect
// this and use new connections within their deadlines, or healthy nodes look dead.
func TestStalledConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := faker.NewPipes()
		server := must(NewServer(ServerOptions{Handler: &handler{
			heartbeat: func(*garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
				time.Sleep(50 * time.Millisecond)
				return &garnetworks.HeartbeatResponse{}, nil
			},
		}}))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = server.Serve(ctx, network) }()
		traffic := new(Traffic)
		c := NewClient(ClientOptions{Traffic: traffic, Dial: network.Dial})
		defer c.Close()

		// The deadline of a heartbeat, within which each call must succeed.
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := c.Heartbeat(ctx, "10.0.0.1:7000", &garnetworks.HeartbeatRequest{})
			return err
		}
		var group sync.WaitGroup
		for range 3 {
			group.Go(func() {
				if err := call(); err != nil {
					t.Error(err)
				}
			})
		}
		group.Wait()
		network.Stall()
		for range 3 {
			if err := call(); err != nil {
				t.Fatalf("call after the connections stalled: %v", err)
			}
		}
		want := TrafficCount{Dials: 4, Stalled: 1, Retries: 1}
		if got := traffic.Count(); got.Dials != want.Dials || got.Stalled != want.Stalled || got.Retries != want.Retries {
			t.Errorf("opened %d connections, found %d stalled, sent %d calls again; want %+v", got.Dials, got.Stalled, got.Retries, want)
		}
	})
}

// Peers reject the messages of a node whose clock is ahead. The rejections must carry the
// peers' timestamps, because the node can correct its clock only by them.
func TestClockIsCarriedBothWays(t *testing.T) {
	now := time.Now()
	accurate, ahead := &fixedClock{at: now}, &fixedClock{at: now.Add(time.Hour)}
	handled := 0
	address := serveTest(t, ServerOptions{Clock: accurate, Handler: &handler{
		heartbeat: func(*garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
			handled++
			return &garnetworks.HeartbeatResponse{}, nil
		},
	}})
	c := newTestClient(t, ClientOptions{Clock: ahead})
	_, err := c.Heartbeat(t.Context(), address, &garnetworks.HeartbeatRequest{})
	if !garnetworks.IsKind(err, garnetworks.KindInvalidRequest) || handled != 0 {
		t.Errorf("a message from an hour ahead was handled %d times and answered with %v", handled, err)
	}
	ahead.at = now.Add(time.Second)
	if _, err := c.Heartbeat(t.Context(), address, &garnetworks.HeartbeatRequest{}); err != nil || handled != 1 {
		t.Errorf("the corrected node's message was handled %d times and answered with %v", handled, err)
	}
	want := garnetworks.Timestamp{Wall: now.UnixMilli()}
	if len(ahead.sampled) != 2 || ahead.sampled[0] != want || ahead.sampled[1] != want {
		t.Errorf("sampled %v, want %v from the refusal and from the answer", ahead.sampled, want)
	}
	if len(accurate.observed) != 1 || len(ahead.observed) != 1 {
		t.Errorf("the server accepted %v, the client %v", accurate.observed, ahead.observed)
	}
}

// fixedClock does not advance, and rejects timestamps more than a minute ahead.
type fixedClock struct {
	at                time.Time
	observed, sampled []garnetworks.Timestamp
}

func (c *fixedClock) Now() garnetworks.Timestamp {
	return garnetworks.Timestamp{Wall: c.at.UnixMilli()}
}

func (c *fixedClock) Observe(t garnetworks.Timestamp) error {
	if t.Time().Sub(c.at) > time.Minute {
		return garnetworks.Errorf(garnetworks.KindInvalidRequest, "ahead")
	}
	c.observed = append(c.observed, t)
	return nil
}

func (c *fixedClock) Sample(_ string, t garnetworks.Timestamp) { c.sampled = append(c.sampled, t) }

// If the peer address belongs to another service, the call must fail in time with a kind
// that callers know, and must not crash the process.
func TestForeignServer(t *testing.T) {
	tests := map[string]func(net.Conn){
		"closes at once": func(net.Conn) {},
		"greets":         func(c net.Conn) { _, _ = c.Write([]byte("SSH-2.0-Server_9.7\r\n" + strings.Repeat("x", 300))) },
		"answers HTTP": func(c net.Conn) {
			_, _ = c.Read(make([]byte, 512))
			_, _ = c.Write([]byte("HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n400 Bad Request"))
		},
		"sends without end": func(c net.Conn) {
			for {
				if _, err := c.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		},
		"says nothing": func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			listener := must(Listen("127.0.0.1:0", nil, false))
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						answer(conn)
					}()
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := newTestClient(t, ClientOptions{}).Heartbeat(ctx, listener.Addr().String(), &garnetworks.HeartbeatRequest{})
			if !garnetworks.IsKind(err, garnetworks.KindResponseLost, garnetworks.KindUnreachable) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// A client that speaks another protocol or sends invalid frames must not keep the server
// from serving nodes.
func TestForeignClient(t *testing.T) {
	address := serveTest(t, ServerOptions{Handler: &handler{}})
	frames := map[string][]byte{
		"HTTP":             []byte("GET / HTTP/1.1\r\nHost: entry\r\n\r\n"),
		"message first":    {0x05, 0x01, 0x01, 0x02, 0x00, 0xa0},
		"close first":      {0x0b, 0x01, 0x01, 0x00},
		"unknown method":   append([]byte{0x03, 0x01, 0x01, 0x04}, "stop"...),
		"empty message":    append(append([]byte{0x03, 0x01, 0x01, 0x09}, "heartbeat"...), 0x05, 0x01, 0x02, 0x00),
		"message too long": append([]byte{0x04, 0x01, 0x01, 0xff, 0xff, 0xff, 0x7f}, make([]byte, MaxMessageBytes+8192)...),
		"frames backwards": {0x03, 0x09, 0x09, 0x00, 0x03, 0x01, 0x01, 0x00},
	}
	for name, frame := range frames {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = conn.Write(frame)
			_, _ = conn.Read(make([]byte, 512))
			if _, err := newTestClient(t, ClientOptions{}).Heartbeat(t.Context(), address, &garnetworks.HeartbeatRequest{}); err != nil {
				t.Errorf("a node's call failed afterwards: %v", err)
			}
		})
	}
}

func TestCheckAddress(t *testing.T) {
	tests := map[string]struct {
		address           string
		secured, insecure bool
		ok                bool
	}{
		"loopback":                 {address: "127.0.0.1:7000", ok: true},
		"loopback, version 6":      {address: "[::1]:7000", ok: true},
		"open":                     {address: "10.0.0.1:7000"},
		"all addresses":            {address: ":7000"},
		"name":                     {address: "localhost:7000"},
		"open with certificates":   {address: "10.0.0.1:7000", secured: true, ok: true},
		"open, allowed outright":   {address: "10.0.0.1:7000", insecure: true, ok: true},
		"no port":                  {address: "127.0.0.1", insecure: true},
		"all with certificates":    {address: "0.0.0.0:7000", secured: true, ok: true},
		"all addresses, version 6": {address: "[::]:7000"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			err := CheckAddress(test.address, test.secured, test.insecure)
			if (err == nil) != test.ok {
				t.Errorf("got %v", err)
			}
			if err != nil && !garnetworks.IsKind(err, garnetworks.KindInvalidSettings) {
				t.Errorf("kind of %v", err)
			}
		})
	}
}

func FuzzUnmarshal(f *testing.F) {
	for _, m := range []any{
		&garnetworks.HeartbeatRequest{From: garnetworks.NodeInfo{ID: "entry-1"}},
		&garnetworks.HeartbeatRequest{From: garnetworks.NodeInfo{Program: strings.Repeat("x", 4096)}},
	} {
		f.Add(must(Encoding{}.Marshal(m)))
	}
	f.Add([]byte{formatCompressed, 0x9b, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m garnetworks.HeartbeatRequest
		_ = Encoding{}.Unmarshal(data, &m)
	})
}

// Distribution trees connect a node to different peers over time; the connections left
// idle must not exhaust its memory and file descriptors.
func TestIdleConnectionsAreBounded(t *testing.T) {
	c := newTestClient(t, ClientOptions{})
	for range MaxIdleConnections + 6 {
		address := serveTest(t, ServerOptions{Handler: &handler{}})
		if _, err := c.Heartbeat(t.Context(), address, &garnetworks.HeartbeatRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	idle := 0
	for _, p := range c.pools {
		idle += len(p.idle)
	}
	if idle != MaxIdleConnections {
		t.Errorf("%d idle connections, want %d", idle, MaxIdleConnections)
	}
}

func BenchmarkHeartbeat(b *testing.B) {
	site := newAuthority(b)
	for name, keys := range map[string]*Keys{"open": nil, "mutual-tls": site.keys(NodeName)} {
		b.Run(name, func(b *testing.B) { benchmarkHeartbeat(b, keys) })
	}
}

func benchmarkHeartbeat(b *testing.B, keys *Keys) {
	server := must(NewServer(ServerOptions{Handler: &handler{}, Keys: keys}))
	listener := must(Listen("127.0.0.1:0", keys, false))
	go func() { _ = server.Serve(b.Context(), listener) }()
	traffic := new(Traffic)
	c := NewClient(ClientOptions{Traffic: traffic, Keys: keys})
	defer c.Close()
	q := &garnetworks.HeartbeatRequest{
		From:   garnetworks.NodeInfo{ID: "entry-017", Incarnation: 1 << 60, Address: "10.12.140.17:7070", Zone: "zone-c", Region: "region-2", Ready: true, Program: "0.1.0"},
		At:     garnetworks.Timestamp{Wall: time.Now().UnixMilli(), Logical: 3},
		Digest: 1 << 63,
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Heartbeat(b.Context(), listener.Addr().String(), q); err != nil {
			b.Fatal(err)
		}
	}
	count := traffic.Count()
	b.ReportMetric(float64(count.BytesSent)/float64(count.MessagesSent), "B-request")
	b.ReportMetric(float64(count.BytesReceived)/float64(count.MessagesReceived), "B-answer")
}
