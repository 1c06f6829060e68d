package main

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxCrowd bounds the connections of all crowds together.
	maxCrowd = 20_000
	// crowdPieces is the number of parts in which a paced connection sends its text.
	crowdPieces = 16
	// crowdDialTime bounds opening a connection, and crowdRestTime is the time to the next try.
	crowdDialTime = time.Second
	crowdRestTime = 100 * time.Millisecond
)

// crowdTexts return what a connection of each kind of crowd sends before it falls silent; number is that
// of the connection.
var crowdTexts = map[string]func(f flags, host string, number int) string{
	"silent": func(flags, string, int) string { return "" },
	"byte":   func(flags, string, int) string { return "P" },
	"head":   func(f flags, host string, number int) string { return crowdHead(f, host, number, "") },
	"body": func(f flags, host string, number int) string {
		return crowdHead(f, host, number, "Content-Length: 1000\r\n") + "\r\n"
	},
	"field": func(f flags, host string, _ int) string {
		return "POST / HTTP/1.1\r\nHost: " + host + "\r\nX-Fill: " + strings.Repeat("x", f.CrowdBytes)
	},
	"unread": func(f flags, host string, _ int) string {
		request := "GET /v1/models HTTP/1.1\r\nHost: " + host + "\r\n\r\n"
		return strings.Repeat(request, 1+f.CrowdBytes/len(request))
	},
}

// crowdHead returns a head without its end, of --crowd-bytes in fields of --crowd-field-bytes each.
func crowdHead(f flags, host string, number int, fields string) string {
	var b strings.Builder
	b.WriteString("POST /v1/completions HTTP/1.1\r\nHost: " + host + "\r\n" + fields)
	for i := 0; b.Len() < f.CrowdBytes; i++ {
		name := "x" + strconv.FormatInt(int64(number)<<20|int64(i), 36) + ":"
		b.WriteString(name + strings.Repeat("y", max(0, f.CrowdFieldBytes-len(name)-1)) + "\n")
	}
	return b.String()
}

// crowd is a number of connections that send the same and then nothing.
type crowd struct {
	kind        string
	connections int
}

// parseCrowds reads the values of --crowd.
func parseCrowds(values []string) (crowds []crowd, err error) {
	all := 0
	for _, value := range values {
		kind, number, _ := strings.Cut(value, "=")
		n, err := strconv.Atoi(number)
		if _, known := crowdTexts[kind]; !known || err != nil || n < 1 {
			return nil, errors.Errorf("--crowd: bad value %q; allowed: KIND=CONNECTIONS with one of %s", value, strings.Join(slices.Sorted(maps.Keys(crowdTexts)), ", "))
		}
		all += n
		crowds = append(crowds, crowd{kind, n})
	}
	if all > maxCrowd {
		return nil, errors.Errorf("--crowd: %d connections; allowed: %d at most", all, maxCrowd)
	}
	return crowds, nil
}

// crowdBody counts what became of the crowds' connections.
type crowdBody struct {
	// Opened connections were accepted, Refused ones were not; Ended ones were closed by the node before
	// --crowd-hold had passed, after an answer if they are Answered.
	Opened   int64 `json:"opened"`
	Refused  int64 `json:"refused"`
	Ended    int64 `json:"ended"`
	Answered int64 `json:"answered"`
}

// crowdRun holds the connections of the crowds.
type crowdRun struct {
	flags
	opened, refused, ended, answered atomic.Int64
}

// gather keeps the crowds' connections open until ctx ends. Each stays for --crowd-hold at most, and another
// one is opened then.
func (r *crowdRun) gather(ctx context.Context, crowds []crowd) {
	var connections sync.WaitGroup
	random, number := rand.New(rand.NewPCG(r.Seed, uint64(len(crowds)))), 0
	for _, c := range crowds {
		for range c.connections {
			hosts := r.crowdHosts()
			host, begins := hosts[number%len(hosts)], time.Duration(random.Int64N(int64(r.CrowdHold)))
			text := r.CrowdPrefix + crowdTexts[c.kind](r.flags, host, number)
			number++
			connections.Go(func() { r.keepOpen(ctx, host, text, begins) })
		}
	}
	connections.Wait()
}

// crowdHosts returns the addresses that the crowds connect to.
func (f flags) crowdHosts() []string {
	if len(f.CrowdAddress) > 0 {
		return f.CrowdAddress
	}
	var hosts []string
	for _, address := range f.URL {
		u, err := url.Parse(address)
		if err != nil {
			continue // check has refused it
		}
		hosts = append(hosts, u.Host)
	}
	return hosts
}

// keepOpen opens connections one after the other, the first one after a while.
func (r *crowdRun) keepOpen(ctx context.Context, host, text string, begins time.Duration) {
	dialer := net.Dialer{Timeout: crowdDialTime}
	for wait := begins; sleep(ctx, wait); wait = crowdRestTime {
		conn, err := dialer.DialContext(ctx, "tcp", host)
		if err != nil {
			r.refused.Add(1)
			continue
		}
		r.opened.Add(1)
		r.hold(ctx, conn, text)
		_ = conn.Close() // the node may have closed it
	}
}

// hold sends the text and waits until the node closes the connection or --crowd-hold has passed. It reads nothing
// before then.
func (r *crowdRun) hold(ctx context.Context, conn net.Conn, text string) {
	end := time.Now().Add(r.CrowdHold)
	if conn.SetDeadline(end) != nil || !r.send(ctx, conn, text) {
		r.ended.Add(1)
		return
	}
	if strings.Count(text, "\r\n\r\n") > 1 { // the answers are to stay unread
		sleep(ctx, time.Until(end))
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	n, err := io.Copy(io.Discard, conn)
	if err == nil || !errors.Is(err, context.Canceled) && time.Now().Before(end) && ctx.Err() == nil {
		r.ended.Add(1)
		if n > 0 {
			r.answered.Add(1)
		}
	}
}

// send writes the text at once, or in pieces over --crowd-pace; false if the node has closed the connection.
func (r *crowdRun) send(ctx context.Context, conn net.Conn, text string) bool {
	pieces := 1
	if r.CrowdPace > 0 {
		pieces = crowdPieces
	}
	size := (len(text) + pieces - 1) / pieces
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			var timeout net.Error
			return errors.As(err, &timeout) && timeout.Timeout()
		}
		if text = text[n:]; len(text) > 0 && !sleep(ctx, r.CrowdPace/time.Duration(pieces)) {
			return true
		}
	}
	return true
}

// body returns the counts.
func (r *crowdRun) body() crowdBody {
	return crowdBody{r.opened.Load(), r.refused.Load(), r.ended.Load(), r.answered.Load()}
}

// sleep waits, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
