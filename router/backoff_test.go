package router

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Guards against calls to a group during the backoff that it requested.
func TestNodeBacksOffFromAGroup(t *testing.T) {
	const backoff = 3 * time.Second
	refused := garnetworks.AttemptResult{Phase: garnetworks.PhaseRefused, RetryAfter: backoff}
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
		t.Errorf("while both backoff: %+v", err)
	}
	later := testStart.Add(backoff)
	r.RefreshView(later, "z1")
	if got, err := r.Choose(later, call, nil); err != nil || got.ID != first.ID {
		t.Errorf("after the first backoff chose %s, %v", got.ID, err)
	}
}

// Guards against calls to a plain server during the backoff that it requested.
func TestNodeBacksOffFromAServer(t *testing.T) {
	const backoff = 3 * time.Second
	r := New(Options{Node: "n1", Zone: "z1"})
	r.SetView(testStart, garnetworks.ZoneView{Zone: "z1", Servers: []garnetworks.ServerView{{Instance: "s1", Service: "ledger", Zone: "z1", Address: "a"}}})
	r.ServerCallStarted(testStart, "ledger", "s1")
	r.ServerCallFinished(testStart, "ledger", "s1", garnetworks.AttemptResult{Phase: garnetworks.PhaseRefused, RetryAfter: backoff})
	for at, want := range map[time.Duration]bool{0: false, backoff - 1: false, backoff: true} {
		_, err := r.ChooseServer(testStart.Add(at), "ledger", nil)
		if got := err == nil; got != want {
			t.Errorf("after %s it is chosen: %t", at, got)
		}
		if e, ok := err.(*garnetworks.Error); ok && e.RetryAfter != backoff-at {
			t.Errorf("after %s callers may come back after %s", at, e.RetryAfter)
		}
	}
}
