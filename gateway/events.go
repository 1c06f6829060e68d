package gateway

import (
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/splicer"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

var errIncompleteStream = errors.New("the stream's connection ended within an event or before the first one")

// relayed is what of a stream of events was sent to the client.
type relayed struct {
	splicer splicer.Splicer
	// headersSent says that the response headers were sent to the client.
	headersSent bool
}

// resumeAfter returns the identifier of the last event that the client has, empty if it has none.
func (x *exchange) resumeAfter() string {
	if x.headersSent {
		return x.splicer.LastID
	}
	return x.call.LastEvent
}

// resumable reports whether another attempt can go on where the client's answer ends: nothing was sent, or
// the last event has an identifier.
func (x *exchange) resumable() bool { return !x.headersSent || x.splicer.LastID != "" }

// streamsEvents reports whether an answer of a plain service is a stream of events (rule W10).
func (x *exchange) streamsEvents(answer *garnetworks.ProxiedResponse) bool {
	if x.route.Kind != garnetworks.RouteStreaming || answer.Status != http.StatusOK || !answer.FromServer || answer.Header.Get("Content-Encoding") != "" {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return err == nil && mediaType == eventStreamType
}

// relayEvents sends the events of a plain service's answer to the client as they arrive. first is called
// with the first one.
func (x *exchange) relayEvents(answer *garnetworks.ProxiedResponse, first func()) *garnetworks.AttemptError {
	defer answer.Body.Close()
	buffer := make([]byte, readBufferBytes)
	var events []byte
	received := false
	x.splicer.Resume()
	for {
		n, err := answer.Body.Read(buffer)
		var gap error
		if events, gap = x.splicer.Feed(events[:0], buffer[:n]); gap != nil {
			return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: gap}
		}
		if len(events) > 0 {
			if !received {
				first()
			}
			received = true
			if err := x.send(answer, events); err != nil {
				return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err}
			}
		}
		switch {
		case err == io.EOF && x.endsWhole(answer, received):
			x.sendHeaders(answer)
			return nil
		case err == io.EOF:
			return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: errIncompleteStream}
		case err != nil:
			return &garnetworks.AttemptError{Phase: garnetworks.PhaseBody, Cause: err}
		}
	}
}

// endsWhole reports whether an answer whose body has ended is whole; received says that it had an
// event. A server that crashes after sending the headers ends its connection before the first event.
func (x *exchange) endsWhole(answer *garnetworks.ProxiedResponse, received bool) bool {
	return !x.splicer.Pending() && (!answer.EndsWithConnection || received)
}

// sendHeaders sends the response headers; those of later attempts are ignored.
func (x *exchange) sendHeaders(answer *garnetworks.ProxiedResponse) {
	if x.headersSent {
		return
	}
	x.headersSent = true
	x.copyHeader(answer.Header).Del("Content-Length")
	x.w.WriteHeader(answer.Status)
}

func (x *exchange) send(answer *garnetworks.ProxiedResponse, events []byte) error {
	x.sendHeaders(answer)
	started := time.Now()
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "the client has disconnected")
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errors.Wrap(err, "the client has disconnected")
	}
	x.recordEvent(x.call.Received, started)
	return nil
}

// interrupt ends an answer of which a part was sent (rule W1). It does not return.
func (x *exchange) interrupt(cause error) {
	kind := garnetworks.KindStreamBroken
	if x.ctx.Err() != nil {
		kind = garnetworks.KindCancelled
	}
	x.recordEnd(0, garnetworks.OutcomeUnknown, garnetworks.WrapError(kind, cause, "the stream was interrupted"))
	panic(http.ErrAbortHandler)
}
