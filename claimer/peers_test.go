package claimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
	"github.com/garnetworks/garnetworks/messenger"
)

// commitHandler handles only CommitClaims.
type commitHandler struct {
	garnetworks.PeerHandler
	*Claimer
}

// A node that forwards its claims over the peer protocol must get the same results as one that
// writes them itself, also after the committing node has stopped.
func TestClaimsOverThePeerProtocol(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store, network := newStore(faults{}, 1), faker.NewPipes()
		client := messenger.NewClient(messenger.ClientOptions{Dial: network.Dial})
		defer client.Close()
		// Only the node that listens is ready, so it commits every shard.
		roster := []garnetworks.NodeInfo{{ID: "a", Address: network.Addr().String(), Ready: true}, {ID: "b"}}
		var nodes []*Claimer
		for _, n := range roster {
			c := New(Options{Node: n, API: store, Forwarder: garnetworks.Some[Forwarder](PeerForwarder{client})})
			c.SetRoster(roster)
			go func() { _ = c.Run(ctx) }()
			nodes = append(nodes, c)
		}
		server, err := messenger.NewServer(messenger.ServerOptions{Handler: commitHandler{Claimer: nodes[0]}})
		if err != nil {
			t.Fatal(err)
		}
		serving, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = server.Serve(serving, network)
		}()
		claimAndComplete(ctx, t, nodes[1], 1)
		if nodes[1].worker(KeyDigest("delta", "ledger", "visit-1")).shard != nil {
			t.Error("the node has read the shard itself")
		}
		stop()
		<-ended
		claimAndComplete(ctx, t, nodes[1], 2)
	})
}

func claimAndComplete(ctx context.Context, t *testing.T, c *Claimer, key int) {
	t.Helper()
	r := request(key, key)
	r.Until = time.Now().Add(time.Minute)
	claim, err := c.Claim(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	if err = c.Complete(ctx, claim.Claim, &garnetworks.ServiceResponse{ID: r.Call, Status: 200, Body: []byte("stored")}); err != nil {
		t.Fatal(err)
	}
	replay, err := c.Claim(ctx, request(key, 100+key))
	if recorded, _ := replay.Recorded.Get(); err != nil || string(recorded.Body) != "stored" {
		t.Fatalf("replay: %q, %v", recorded.Body, err)
	}
}
