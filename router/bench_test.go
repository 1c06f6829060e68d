package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// benchCalls returns calls of the mixed workload.
func benchCalls(n int) []*garnetworks.CallRequest {
	w := newSimWorkload(simShapes["mixed"], 3)
	calls := make([]*garnetworks.CallRequest, n)
	for i := range calls {
		calls[i] = &w.next().request
	}
	return calls
}

func BenchmarkChoose(b *testing.B) {
	calls := benchCalls(256)
	for _, groups := range []int{18, 38, 75, 150, 300} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			r := New(Options{Node: "n1", Zone: "z1"})
			r.SetView(testStart, testView("z1", groups))
			now := testStart
			for i := range 4096 {
				r.AttemptStarted(now, calls[i%len(calls)], garnetworks.GroupID(fmt.Sprintf("z1-g%d", i%groups)))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(100 * time.Microsecond)
				if i%10000 == 0 {
					r.RefreshView(now, "z1")
				}
				if _, err := r.Choose(now, calls[i%len(calls)], nil); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

func BenchmarkSetView(b *testing.B) {
	for _, groups := range []int{18, 150, 300} {
		view := testView("z1", groups)
		fewer := testView("z1", groups-1)
		b.Run(fmt.Sprintf("loads-only/groups=%d", groups), func(b *testing.B) {
			r := New(Options{Node: "n1", Zone: "z1"})
			b.ReportAllocs()
			for b.Loop() {
				r.SetView(testStart, view)
			}
		})
		b.Run(fmt.Sprintf("group-gone-and-back/groups=%d", groups), func(b *testing.B) {
			r := New(Options{Node: "n1", Zone: "z1"})
			b.ReportAllocs()
			for b.Loop() {
				r.SetView(testStart, view)
				r.SetView(testStart, fewer)
			}
		})
	}
}

func BenchmarkNewWithView(b *testing.B) {
	// B/op approximates the memory that a router holds.
	view := testView("z1", 150)
	b.ReportAllocs()
	for b.Loop() {
		New(Options{Node: "n1", Zone: "z1"}).SetView(testStart, view)
	}
}
