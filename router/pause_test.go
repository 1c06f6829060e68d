package router

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Guards against a node that goes on sending calls to a group that refused one and asked for a
// pause, and against callers that are told another time to come back.
func TestGroupIsLeftAloneForThePauseItAskedFor(t *testing.T) {
	const pause = 3 * time.Second
	refused := garnetworks.AttemptResult{Phase: garnetworks.PhaseRefused, RetryAfter: pause}
	r := New(Options{Node: "n1", Zone: "z1"})
	r.SetView(testStart, testView("z1", 2))
	call := testCall("prefix", 4)
	first, err := r.Choose(testStart, call, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.AttemptStarted(testStart, call, first.ID)
	r.AttemptFinished(testStart, call, first.ID, refused)
	second, err := r.Choose(testStart, call, nil)
	if err != nil || second.ID == first.ID {
		t.Fatalf("chose %s, %v", second.ID, err)
	}
	r.AttemptStarted(testStart, call, second.ID)
	r.AttemptFinished(testStart.Add(time.Second), call, second.ID, refused)
	_, err = r.Choose(testStart.Add(time.Second), call, nil)
	if e, ok := err.(*garnetworks.Error); !ok || e.Kind != garnetworks.KindNoGroup || e.RetryAfter != 2*time.Second {
		t.Errorf("while both pause: %+v", err)
	}
	later := testStart.Add(pause)
	r.RefreshView(later, "z1")
	if got, err := r.Choose(later, call, nil); err != nil || got.ID != first.ID {
		t.Errorf("after the first pause chose %s, %v", got.ID, err)
	}
}

// Guards against the same for the servers of a plain service.
func TestServerIsLeftAloneForThePauseItAskedFor(t *testing.T) {
	const pause = 3 * time.Second
	r := New(Options{Node: "n1", Zone: "z1"})
	r.SetView(testStart, garnetworks.ZoneView{Zone: "z1", Servers: []garnetworks.ServerView{{Instance: "s1", Service: "ledger", Zone: "z1", Address: "a"}}})
	r.ServerCallStarted(testStart, "ledger", "s1")
	r.ServerCallFinished(testStart, "ledger", "s1", garnetworks.AttemptResult{Phase: garnetworks.PhaseRefused, RetryAfter: pause})
	for at, want := range map[time.Duration]bool{0: false, pause - 1: false, pause: true} {
		_, err := r.ChooseServer(testStart.Add(at), "ledger", nil)
		if got := err == nil; got != want {
			t.Errorf("after %s it is chosen: %t", at, got)
		}
		if e, ok := err.(*garnetworks.Error); ok && e.RetryAfter != pause-at {
			t.Errorf("after %s callers may come back after %s", at, e.RetryAfter)
		}
	}
}
