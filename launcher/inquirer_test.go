package launcher

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
)

// fakeHolder answers requests for verdicts in a test.
type fakeHolder struct {
	after    time.Duration
	err      error
	requests atomic.Int64
}

func (h *fakeHolder) Verdicts(ctx context.Context, _ string, request *garnetworks.VerdictRequest) (*garnetworks.VerdictResponse, error) {
	h.requests.Add(1)
	select {
	case <-time.After(h.after):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	response := &garnetworks.VerdictResponse{}
	for range request.Groups {
		response.Verdicts = append(response.Verdicts, garnetworks.VerdictLost)
	}
	return response, h.err
}

// Guards against a request for each of many lost groups, and questions to a silent or unknown holder.
func TestInquirer(t *testing.T) {
	const groups = 18
	cases := map[string]struct {
		holder   *fakeHolder
		name     garnetworks.NodeID
		leading  bool
		want     garnetworks.Verdict
		requests int64
		within   time.Duration
	}{
		"holder answers":     {holder: &fakeHolder{after: 95 * time.Millisecond}, name: "h", want: garnetworks.VerdictLost, requests: 6, within: 250 * time.Millisecond},
		"holder is silent":   {holder: &fakeHolder{after: time.Hour}, name: "h", want: garnetworks.VerdictUnknown, requests: 6, within: 2 * inquiryTimeout},
		"holder of old code": {holder: &fakeHolder{err: garnetworks.Errorf(garnetworks.KindInvalidRequest, "no such method")}, name: "h", want: garnetworks.VerdictUnknown, requests: 3, within: time.Millisecond},
		"holder is unknown":  {holder: &fakeHolder{}, want: garnetworks.VerdictUnknown},
		"holder has left":    {holder: &fakeHolder{}, name: "gone", want: garnetworks.VerdictUnknown, within: time.Millisecond},
		"this node holds":    {holder: &fakeHolder{}, name: "h", leading: true, want: garnetworks.VerdictHealthy, within: time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newInquirer("n", c.holder, func() []garnetworks.NodeInfo { return []garnetworks.NodeInfo{{ID: "h", Address: "a"}} },
					func(context.Context, garnetworks.NodeID, garnetworks.GroupID, time.Duration) garnetworks.Verdict {
						return garnetworks.VerdictHealthy
					},
					func() bool { return c.leading })
				q.setHolder(c.name)
				verdicts := make(chan garnetworks.Verdict, groups)
				began := time.Now()
				for i := range groups {
					q.ask(garnetworks.GroupID(fmt.Sprint(i)), 100*time.Millisecond, func(v garnetworks.Verdict) { verdicts <- v })
					time.Sleep(time.Millisecond)
				}
				last := time.Now()
				for range groups {
					if v := <-verdicts; v != c.want {
						t.Errorf("got verdict %s, want %s", v, c.want)
					}
				}
				if took := time.Since(last); took > c.within {
					t.Errorf("the last verdict came after %s", time.Since(began))
				}
				if c.holder.requests.Load() > c.requests {
					t.Errorf("%d requests for %d groups", c.holder.requests.Load(), groups)
				}
			})
		})
	}
}
