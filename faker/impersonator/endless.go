package impersonator

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// EndlessKind is where bytes without end begin.
type EndlessKind string

// Kinds of answers without end.
const (
	// EndlessNoise begins with bytes of no protocol.
	EndlessNoise EndlessKind = "noise"
	// EndlessHead sends header lines, EndlessHeaderLine one header line.
	EndlessHead       EndlessKind = "head"
	EndlessHeaderLine EndlessKind = "header line"
	// EndlessBody sends the body of a stamped answer, EndlessForeign that of an answer without a
	// stamp, EndlessRefusal that of a refusal, EndlessStale that of an answer to another call.
	EndlessBody    EndlessKind = "body"
	EndlessForeign EndlessKind = "foreign body"
	EndlessRefusal EndlessKind = "refusal"
	EndlessStale   EndlessKind = "stale answer"
	// EndlessEvent sends one event of a stamped stream.
	EndlessEvent EndlessKind = "event"
)

// maxEndlessBytes bounds what a test that fails may take.
const maxEndlessBytes = 256 << 20

// EndlessBytes returns the number of bytes that callers took of answers without end.
func (b *Backend) EndlessBytes() int64 { return b.endlessBytes.Load() }

// EndlessCalls returns the number of calls that got answers without end.
func (b *Backend) EndlessCalls() uint64 { return b.endlessCalls.Load() }

// sendEndless answers a call with bytes without end.
func (b *Backend) sendEndless(w http.ResponseWriter, r *http.Request, f *BackendFaults) {
	b.endlessCalls.Add(1)
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Garnetworks-Request-Id")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	const size = 4 << 10
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size)))
	const chunked = "Transfer-Encoding: chunked\r\n"
	stamp := "Garnetworks-Request-Id: " + id + "\r\nGarnetworks-Response-Stamp: stamp\r\n"
	var head string
	piece := chunk
	switch f.Endless {
	case EndlessNoise:
		piece = bytes.Repeat([]byte{0x16, 'z', 0xff, 0}, size/4)
	case EndlessHead:
		head, piece = "HTTP/1.1 200 OK\r\n"+stamp, bytes.Repeat([]byte("X-More: 1\r\n"), size/11)
	case EndlessHeaderLine:
		head, piece = "HTTP/1.1 200 OK\r\n"+stamp+"X-More: ", bytes.Repeat([]byte("y"), size)
	case EndlessBody:
		head = "HTTP/1.1 200 OK\r\n" + stamp + chunked + "\r\n"
	case EndlessForeign:
		head = "HTTP/1.1 200 OK\r\nGarnetworks-Request-Id: " + id + "\r\n" + chunked + "\r\n"
	case EndlessRefusal:
		head = "HTTP/1.1 503 Service Unavailable\r\nGarnetworks-Not-Run: 1\r\nGarnetworks-Request-Id: " + id + "\r\n" + chunked + "\r\n"
	case EndlessStale:
		head = "HTTP/1.1 200 OK\r\nGarnetworks-Request-Id: other\r\n" + chunked + "\r\n"
	case EndlessEvent:
		head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + stamp + chunked + "\r\n"
	}
	sent := int64(0)
	for next := []byte(head); sent < maxEndlessBytes; next = piece {
		n, err := conn.Write(next)
		sent += int64(n)
		b.endlessBytes.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(f.EndlessPause)
	}
}
