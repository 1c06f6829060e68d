package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// connectTime is how long clients wait for a new connection.
const connectTime = time.Second

// sequence numbers the requests.
var sequence atomic.Uint64

// request is a client attempt.
type request struct {
	method, path, body string
	// key is the client's key; empty for apiKey.
	key      string
	model    bool
	deadline time.Duration
}

// answer is what a client got for an attempt.
type answer struct {
	id      string
	status  int
	stamp   string
	header  http.Header
	body    []byte
	sent    time.Time
	ended   time.Time
	dialErr error
	err     error
}

// begun reports whether any byte of an answer arrived.
func (a *answer) begun() bool { return a.status != 0 }

func (a *answer) String() string {
	switch {
	case a.dialErr != nil:
		return fmt.Sprintf("%s got no connection: %v", a.id, a.dialErr)
	case !a.begun():
		return fmt.Sprintf("%s got no answer after %s: %v", a.id, a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
	case a.err != nil:
		return fmt.Sprintf("%s got %d and %d bytes of an answer that broke off after %s: %v", a.id, a.status, len(a.body), a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%s got %d with %d bytes, stamp %q, after %s", a.id, a.status, len(a.body), a.stamp, a.ended.Sub(a.sent).Round(time.Millisecond))
}

// connection is a client's connection to an entry node.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp4", address, connectTime)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send sends one request and reads its answer to the end.
func (c *connection) send(q request) *answer {
	a := &answer{id: fmt.Sprintf("%016x", sequence.Add(1)), sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	key := cmp.Or(q.key, apiKey)
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nGarnetworks-Request-Id: %s\r\nGarnetworks-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		q.method, q.path, host, a.id, q.deadline.Milliseconds(), key)
	if q.model {
		text += "Garnetworks-Model: " + modelName + "\r\nGarnetworks-Token-Usage: 1460,80\r\nGarnetworks-Prompt-Prefix: 5c1e07a2:40,e4402b7d:1420\r\n"
	}
	text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	if a.err = c.SetDeadline(a.sent.Add(q.deadline)); a.err != nil {
		return a
	}
	if _, a.err = io.WriteString(c, text); a.err != nil {
		return a
	}
	var response *http.Response
	if response, a.err = http.ReadResponse(c.reader, nil); a.err != nil {
		return a
	}
	defer response.Body.Close()
	a.status, a.header, a.stamp = response.StatusCode, response.Header, response.Header.Get("Garnetworks-Response-Stamp")
	a.body, a.err = io.ReadAll(response.Body)
	return a
}

// once sends a request on a new connection and closes it.
func once(address string, q request) *answer {
	c, err := dial(address)
	if err != nil {
		return &answer{dialErr: err}
	}
	defer c.Close()
	return c.send(q)
}

// awaitServing waits until the node serves the request.
func awaitServing(address string, q request, limit time.Duration) error {
	end := time.Now().Add(limit)
	var last *answer
	for time.Now().Before(end) {
		if last = once(address, q); last.status == http.StatusOK && last.err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the node does not serve: " + last.String())
}
