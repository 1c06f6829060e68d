package connector_test

import (
	"strings"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/checker"
	"github.com/garnetworks/garnetworks/connector"
)

// Guards against an answer without an end marker that counts as whole, as its connection ended while the
// request was still being written.
func TestAnswersBesideLongRequestsAreNotCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	body := strings.Repeat("b", 4<<20)
	answers := map[string]checker.EarlyAnswers{
		"services": {
			Whole: ok + connector.HeaderCall + ": c\r\nContent-Length: 4\r\n\r\npart", Unframed: ok + connector.HeaderCall + ": c\r\n\r\npart",
			NewSender: func(t *testing.T, address string) func() error {
				caller := connector.NewServiceCaller(connector.Options{})
				t.Cleanup(caller.Close)
				return func() error {
					_, err := caller.Call(t.Context(), address, &garnetworks.ServiceCall{ID: "c", Method: "POST", Path: "/", Body: []byte(body)})
					return err
				}
			},
		},
		"engines": {
			Whole:    ok + connector.HeaderAttempt + ": a\r\nContent-Length: 36\r\n\r\nid: a\nevent: end\ndata: {\"index\":0}\n\n",
			Unframed: ok + connector.HeaderAttempt + ": a\r\n\r\nid: a\ndata: {\"index\":0,\"tokens\":1,\"text\":\"x\"}\n\n",
			NewSender: func(t *testing.T, address string) func() error {
				caller := connector.NewEngineCaller(connector.Options{})
				t.Cleanup(caller.Close)
				return func() error {
					stream, err := caller.Generate(t.Context(), address, &garnetworks.EngineCall{Attempt: "a", Delivered: body})
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
			},
		},
		"the object API": {
			Whole: ok + connector.HeaderRevision + ": 2\r\nContent-Length: 2\r\n\r\n{}", Unframed: ok + connector.HeaderRevision + ": 2\r\n\r\n{}",
			NewSender: func(t *testing.T, address string) func() error {
				api := connector.NewObjectAPI(address, connector.Options{})
				t.Cleanup(api.Close)
				return func() error {
					_, err := api.Put(t.Context(), "key", []byte(body[:garnetworks.MaxObjectBytes]), 1)
					return err
				}
			},
		},
	}
	for name, c := range answers {
		t.Run(name, c.Run)
	}
}
