package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks/evictor"
)

// served is a server over pipes that counts the requests that its handler gets.
type served struct {
	pipes    *pipeListener
	listener *Listener
	requests atomic.Int32
	end      func()
}

func serve(limits func() Limits, change func(*Listener)) *served {
	s := &served{pipes: &pipeListener{conns: make(chan net.Conn, 1)}}
	s.listener = &Listener{Listener: s.pipes, Limits: limits}
	if change != nil {
		change(s.listener)
	}
	server := &http.Server{
		IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, ConnState: Track, ConnContext: WithConn,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.requests.Add(1)
			BeginBody(r.Context())
			_, err := io.Copy(io.Discard, r.Body)
			EndBody(r.Context(), err == nil)
			if err != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(s.listener) // ends with the test
	}()
	s.end = func() {
		close(s.pipes.conns)
		<-ended
		_ = server.Close()      // the test ends
		time.Sleep(time.Second) // net/http keeps connections for 0.5 s whose bodies it did not read
	}
	return s
}

func (s *served) dial() net.Conn {
	near, far := net.Pipe()
	s.pipes.conns <- far
	return near
}

// status sends a text and returns the status of the answer, 0 if the connection ends without one.
func status(c net.Conn, text string) int {
	go func() { _, _ = io.WriteString(c, text) }() // a refusal ends it
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close() // the status is all that counts
	return response.StatusCode
}

// Guards against heads that pass the limit in effect, also after it has changed.
func TestHeadsAreBoundedByTheLimitInEffect(t *testing.T) {
	fill := func(bytes int) string {
		const begin, end = "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
		return begin + strings.Repeat("x", bytes-len(begin)-len(end)) + end
	}
	cases := map[string]struct {
		first, second int64
		texts         []string
		want          []int
	}{
		"at the limit":            {100, 100, []string{fill(100)}, []int{200}},
		"beyond the limit":        {100, 100, []string{fill(101)}, []int{431}},
		"a kept connection":       {100, 100, []string{fill(100), fill(100), fill(101)}, []int{200, 200, 431}},
		"a lower limit":           {200, 100, []string{fill(101), fill(101)}, []int{200, 431}},
		"a higher limit":          {100, 200, []string{fill(100), fill(200)}, []int{200, 200}},
		"no limit":                {0, 0, []string{fill(20000)}, []int{200}},
		"lines that end in LF":    {40, 40, []string{"GET / HTTP/1.1\nHost: a\n\n"}, []int{200}},
		"no line at all":          {100, 100, []string{strings.Repeat("x", 101)}, []int{431}},
		"a body beyond the limit": {100, 100, []string{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("\n", 200)}, []int{200}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var limit atomic.Int64
				limit.Store(tt.first)
				s := serve(func() Limits { return Limits{HeadBytes: limit.Load()} }, nil)
				defer s.end()
				c := s.dial()
				defer c.Close()
				for i, text := range tt.texts {
					if got := status(c, text); got != tt.want[i] {
						t.Errorf("request %d got status %d, want %d", i, got, tt.want[i])
					}
					limit.Store(tt.second)
				}
			})
		})
	}
}

// Guards against connections that are kept for longer than a head may take.
func TestConnectionsWithoutAHeadEndInTime(t *testing.T) {
	const limit = 3 * time.Second
	request := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	cases := map[string]struct {
		prefix int
		// texts are sent a second apart; want is the status of the answer to the last one.
		texts []string
		after time.Duration
		want  int
	}{
		"nothing":                       {0, nil, limit, 0},
		"part of a head":                {0, []string{"GET"}, limit, http.StatusRequestTimeout},
		"a head byte by byte":           {0, []string{"G", "E", "T"}, limit - 2*time.Second, http.StatusRequestTimeout},
		"part of a next head":           {0, []string{request, "G"}, limit, http.StatusRequestTimeout},
		"nothing before a prefix":       {8, nil, limit, 0},
		"part of a prefix":              {8, []string{"GNC"}, limit, 0},
		"another protocol goes on":      {0, []string{request}, 0, http.StatusOK},
		"a next head behind the first":  {0, []string{request + "GET"}, 0, http.StatusOK},
		"a next head sent with a first": {0, []string{request + request[:20], "x"}, limit - time.Second, 0},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := serve(func() Limits { return Limits{HeadTime: limit} }, func(l *Listener) { l.PrefixBytes = tt.prefix })
				defer s.end()
				c := s.dial()
				defer c.Close()
				reader := bufio.NewReader(c)
				for i, text := range tt.texts {
					if i > 0 {
						time.Sleep(time.Second)
					}
					if _, err := io.WriteString(c, text); err != nil {
						t.Fatal(err)
					}
					if strings.HasPrefix(text, request) && (i < len(tt.texts)-1 || tt.after == 0) {
						if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
							t.Fatalf("%v, %v", response, err)
						}
					}
				}
				if tt.after == 0 {
					return
				}
				began, status := time.Now(), 0
				if response, err := http.ReadResponse(reader, nil); err == nil {
					status = response.StatusCode
					_, _ = reader.ReadByte() // the end
				}
				if took := time.Since(began); tt.want != 0 && (status != tt.want || took != tt.after) || tt.want == 0 && took != tt.after {
					t.Errorf("status %d after %v, want %d after %v", status, took, tt.want, tt.after)
				}
			})
		})
	}
}

// Guards against a connection that holds its answer for ever, and against ending a slow reader.
func TestAnswerThatIsNotReadEnds(t *testing.T) {
	const limit = 20 * time.Second
	for name, reads := range map[string]bool{"reads nothing": false, "reads slowly": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer near.Close()
				ended := 0
				c := &conn{Conn: far, listener: &Listener{WriteTime: limit, Ended: func(End) { ended++ }}}
				Track(c, http.StateNew)
				if reads {
					go func() {
						for p := make([]byte, 1000); ; time.Sleep(limit - time.Second) {
							if _, err := near.Read(p); err != nil {
								return
							}
						}
					}()
				}
				began := time.Now()
				n, err := c.Write(make([]byte, 5000))
				switch took := time.Since(began); {
				case reads && (err != nil || n != 5000 || ended != 0):
					t.Errorf("%d bytes, %v, after %v", n, err, took)
				case !reads && (err == nil || n != 0 || took != limit || ended != 1):
					t.Errorf("%d bytes, %v, after %v", n, err, took)
				}
				_ = far.Close() // ends the reader
				time.Sleep(limit)
			})
		})
	}
}

// Guards against a write deadline of another protocol that the listener replaces by a longer one.
func TestOtherProtocolsSetTheirWriteDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		c := &conn{Conn: far, listener: &Listener{WriteTime: time.Minute}}
		defer far.Close()
		began := time.Now()
		if err := c.SetWriteDeadline(began.Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(make([]byte, 10)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) != time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}

// Guards against a crowd without requests that keeps new callers out, and against ending what is served.
func TestConnectionsMakeRoomForNewOnes(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	upload := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
	cases := map[string]struct {
		// sent is what the connections that are open have sent.
		sent string
		// want is the status that the first of them gets, 0 if it is closed.
		want int
	}{
		"nothing sent":      {"", 0},
		"part of a head":    {"GET", http.StatusServiceUnavailable},
		"unused":            {request, http.StatusOK},
		"part of an upload": {upload, http.StatusServiceUnavailable},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := evictor.New(evictor.Limits{Connections: 2})
				s := serve(func() Limits { return Limits{HeadTime: time.Minute} }, func(l *Listener) { l.Evictor, l.Pool = e, e.Pool(0) })
				defer s.end()
				first := make(chan int, 2)
				for range 2 {
					c := s.dial()
					defer c.Close()
					go func() { first <- status(c, tt.sent) }()
					synctest.Wait()
				}
				c := s.dial()
				defer c.Close()
				if got := status(c, request); got != http.StatusOK {
					t.Errorf("the new connection got status %d", got)
				}
				if got := <-first; got != tt.want {
					t.Errorf("the oldest connection got status %d, want %d", got, tt.want)
				}
			})
		})
	}
}

// Guards against ending a connection whose request has arrived since it was named.
func TestConnectionThatIsServedIsNotEnded(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	e := evictor.New(evictor.Limits{Connections: 1})
	pool := e.Pool(0)
	c := &conn{Conn: far, listener: &Listener{}}
	c.entry, _, _ = pool.Open(c, time.Now())
	defer c.Close()
	_, victim, ok := pool.Open(nil, time.Now())
	if !ok || victim != c {
		t.Fatalf("%v, %t", victim, ok)
	}
	Track(c, http.StateActive)
	victim.Evict()
	if c.isEvicted() {
		t.Error("a connection that is being served is to end")
	}
}

// Guards against a caller who waits for an answer that never comes where no connection can be ended.
func TestConnectionIsRefusedAtOnceIfAllAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := evictor.New(evictor.Limits{Connections: 1})
		pool := e.Pool(0)
		entry, _, _ := pool.Open(nil, time.Now())
		entry.Enter(evictor.Serving, time.Now())
		var ends []End
		s := serve(func() Limits { return Limits{} }, func(l *Listener) { l.Evictor, l.Pool, l.Ended = e, pool, func(end End) { ends = append(ends, end) } })
		defer s.end()
		c := s.dial()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("the connection is open: %v", err)
		}
		synctest.Wait()
		if len(ends) != 1 || ends[0] != EndNoRoom {
			t.Errorf("%q", ends)
		}
	})
}

// Guards against a head for which there is no memory that reaches a handler.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 1 << 20
		e := evictor.New(evictor.Limits{HeadBytes: limit})
		pool := e.Pool(0)
		for range 2 {
			entry, _, _ := pool.Open(nil, time.Now())
			entry.Enter(evictor.Serving, time.Now())
			entry.Reserve(limit*7/16, time.Now())
		}
		s := serve(func() Limits { return Limits{} }, func(l *Listener) { l.Evictor, l.Pool = e, pool })
		defer s.end()
		long := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n"
		for text, want := range map[string]int{long: http.StatusServiceUnavailable, "GET / HTTP/1.1\r\nHost: a\r\n\r\n": http.StatusOK} {
			c := s.dial()
			if got := status(c, text); got != want {
				t.Errorf("%d bytes got status %d, want %d", len(text), got, want)
			}
			_ = c.Close() // ends the connection's goroutines
		}
		if got := s.requests.Load(); got != 1 {
			t.Errorf("%d requests reached the handler", got)
		}
	})
}

// Guards against heads that are counted in encrypted bytes, which would refuse sound requests.
func TestSealedConnectionsAreServed(t *testing.T) {
	for name, http2 := range map[string]bool{"HTTP/1.1": false, "HTTP/2": true} {
		t.Run(name, func(t *testing.T) {
			e := evictor.New(evictor.Limits{Connections: 1})
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the client's status shows a failure
			}))
			s.Listener = &Listener{
				Listener: s.Listener, Sealed: true, Evictor: e, Pool: e.Pool(0),
				Limits: func() Limits { return Limits{HeadBytes: 200, HeadTime: time.Millisecond} },
			}
			s.Config.ConnState, s.Config.ConnContext, s.EnableHTTP2 = Track, WithConn, http2
			s.StartTLS()
			defer s.Close()
			for range 3 {
				response, err := s.Client().Post(s.URL, "text/plain", strings.NewReader(strings.Repeat("body\n", 10000)))
				if err != nil || response.StatusCode != http.StatusOK || (response.ProtoMajor == 2) != http2 {
					t.Fatalf("%+v, %v", response, err)
				}
				_ = response.Body.Close() // it is empty
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}
