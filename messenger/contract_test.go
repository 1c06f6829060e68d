package messenger_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/checker"
	"github.com/garnetworks/garnetworks/messenger"
)

func TestContract(t *testing.T) {
	checker.Peer(t, func(t *testing.T) checker.PeerFixture {
		client := messenger.NewClient(messenger.ClientOptions{})
		t.Cleanup(client.Close)
		return checker.PeerFixture{
			Caller: client,
			Serve:  func(handler garnetworks.PeerHandler) (string, func()) { return serve(t, handler) },
			Unused: unused(t),
		}
	})
}

func serve(t *testing.T, handler garnetworks.PeerHandler) (string, func()) {
	server, err := messenger.NewServer(messenger.ServerOptions{Handler: handler})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := messenger.Listen("127.0.0.1:0", nil, false)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, listener) })
	return listener.Addr().String(), func() {
		cancel()
		group.Wait()
	}
}

func unused(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against records that nodes of another version can't decode because of a field that isn't sent.
func TestContentRecordIsSentWithoutItsTrial(t *testing.T) {
	record := garnetworks.ContentRecord{Digest: "x", LastCompletedAgeMS: 7, TrialAgeMS: 9}
	sent, err := messenger.EncodeBody(&record)
	if err != nil {
		t.Fatal(err)
	}
	var fields []any
	if err := messenger.DecodeBody(sent, &fields); err != nil || len(fields) != 3 {
		t.Fatalf("%d fields (%v), want 3", len(fields), err)
	}
	var received garnetworks.ContentRecord
	if err := messenger.DecodeBody(sent, &received); err != nil || received.TrialAgeMS != 0 || received.LastCompletedAgeMS != 7 {
		t.Errorf("received %+v (%v)", received, err)
	}
}
