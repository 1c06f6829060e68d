package messenger

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// waitingHandler lets follow requests wait until released is closed.
type waitingHandler struct {
	handler
	released chan struct{}
}

func (h *waitingHandler) Follow(ctx context.Context, _ *garnetworks.FollowRequest) (*garnetworks.FollowResponse, error) {
	select {
	case <-h.released:
	case <-ctx.Done():
	}
	return &garnetworks.FollowResponse{}, nil
}

// Guards against a node that refuses its followers' requests, and all other calls, once more of
// them wait for a change than it may work on.
func TestWaitingRequestsDoNotTakeTheSlotsOfCalls(t *testing.T) {
	for name, waiting := range map[string]int{"a large zone": 2 * MaxConcurrentCalls, "twice as large": 4 * MaxConcurrentCalls} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := faker.NewPipes()
				h := &waitingHandler{released: make(chan struct{})}
				server, err := NewServer(ServerOptions{Handler: h})
				if err != nil {
					t.Fatal(err)
				}
				ctx, stop := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = server.Serve(ctx, network) })
				clients := make([]*Client, waiting)
				var follows sync.WaitGroup
				failed := make([]error, waiting)
				for i := range clients {
					clients[i] = NewClient(ClientOptions{Dial: network.Dial})
					follows.Go(func() { _, failed[i] = clients[i].Follow(ctx, "relay", &garnetworks.FollowRequest{Prefix: "p/"}) })
				}
				time.Sleep(100 * time.Millisecond)
				if _, err := clients[0].Heartbeat(ctx, "relay", &garnetworks.HeartbeatRequest{}); err != nil {
					t.Errorf("a heartbeat while %d requests wait: %v", waiting, err)
				}
				close(h.released)
				follows.Wait()
				for _, err := range failed {
					if err != nil {
						t.Fatalf("a waiting request: %v", err)
					}
				}
				for _, c := range clients {
					c.Close()
				}
				stop()
				running.Wait()
			})
		})
	}
}
