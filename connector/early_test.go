package connector_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/checker"
	"github.com/garnetworks/garnetworks/connector"
	"github.com/garnetworks/garnetworks/faker/impersonator"
)

// newSender returns what sends requests to an address and reads each answer to its end.
type newSender func(t *testing.T, address string) func() error

func callService(body string) newSender {
	return func(t *testing.T, address string) func() error {
		caller := connector.NewServiceCaller(connector.Options{})
		t.Cleanup(caller.Close)
		return func() error {
			_, err := caller.Call(t.Context(), address, &garnetworks.ServiceCall{ID: "c", Method: "POST", Path: "/", Body: []byte(body)})
			return err
		}
	}
}

func callEngine(delivered string) newSender {
	return func(t *testing.T, address string) func() error {
		caller := connector.NewEngineCaller(connector.Options{})
		t.Cleanup(caller.Close)
		return func() error {
			stream, err := caller.Generate(t.Context(), address, &garnetworks.EngineCall{Attempt: "a", Delivered: delivered})
			if err != nil {
				return err
			}
			defer stream.Close()
			for chunk := (garnetworks.Chunk{}); !chunk.End; {
				if err := stream.Next(&chunk); err != nil {
					return err
				}
			}
			return nil
		}
	}
}

func writeObject(value string) newSender {
	return func(t *testing.T, address string) func() error {
		api := connector.NewObjectAPI(address, connector.Options{})
		t.Cleanup(api.Close)
		return func() error {
			_, err := api.Put(t.Context(), "key", []byte(value), 1)
			return err
		}
	}
}

// Answers of the servers of the own interface.
const (
	serviceFields = connector.HeaderCall + ": c\r\n"
	engineFields  = connector.HeaderAttempt + ": a\r\n"
	objectFields  = connector.HeaderRevision + ": 2\r\n"
	lastEvent     = "id: a\nevent: end\ndata: {\"index\":0}\n\n"
)

// Guards against an answer without an end marker that counts as whole because its connection has ended.
func TestAnswersBesideLongRequestsAreNotCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	body := strings.Repeat("b", 4<<20)
	answers := map[string]checker.EarlyAnswers{
		"services": {
			Whole: ok + serviceFields + "Content-Length: 4\r\n\r\npart", Unframed: ok + serviceFields + "\r\npart",
			NewSender: callService(body),
		},
		"engines": {
			Whole:     ok + engineFields + "Content-Length: 36\r\n\r\n" + lastEvent,
			Unframed:  ok + engineFields + "\r\nid: a\ndata: {\"index\":0,\"tokens\":1,\"text\":\"x\"}\n\n",
			NewSender: callEngine(body),
		},
		"the object API": {
			Whole: ok + objectFields + "Content-Length: 2\r\n\r\n{}", Unframed: ok + objectFields + "\r\n{}",
			NewSender: writeObject(body[:garnetworks.MaxObjectBytes]),
		},
	}
	for name, c := range answers {
		t.Run(name, c.Run)
	}
}

// Guards against a malformed answer that is accepted.
func TestMalformedAnswersAreNotTaken(t *testing.T) {
	answers := map[string]checker.MalformedAnswers{
		"services":       {Fields: serviceFields, Body: "part", Names: []string{connector.HeaderOutcome}, Unfolds: true, NewSender: callService("")},
		"engines":        {Fields: engineFields, Body: lastEvent, Names: []string{connector.HeaderOutcome}, Unfolds: true, IgnoresTrailer: true, NewSender: callEngine("")},
		"the object API": {Fields: objectFields, Body: "{}", Names: []string{connector.HeaderRevision}, Unfolds: true, NewSender: writeObject("v")},
	}
	for name, c := range answers {
		t.Run(name, c.Run)
	}
}

// Guards against a call that fails because its connection had an answer that is not well-formed before.
func TestConnectionOfAMalformedAnswerIsNotUsedAgain(t *testing.T) {
	var requests atomic.Int32
	server := &impersonator.RawServer{Answer: func(*http.Request, int) impersonator.RawAnswer {
		if requests.Add(1) == 1 {
			return impersonator.RawAnswer{Text: "HTTP/1.1 200 OK\r\n" + engineFields + "X Name: v\r\nContent-Length: 0\r\n\r\n"}
		}
		return impersonator.RawAnswer{Text: "HTTP/1.1 200 OK\r\n" + engineFields + "Content-Length: 36\r\n\r\n" + lastEvent}
	}}
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	call := callEngine("")(t, server.Address())
	if err := call(); err == nil {
		t.Error("an answer with a space in the name of a field is taken")
	}
	if err := call(); err != nil {
		t.Errorf("the next call: %v", err)
	}
}
