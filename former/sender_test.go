package former

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// reportingEngine answers each request for its report alike, and counts the orders that it is sent.
type reportingEngine struct {
	garnetworks.GroupOrders
	report garnetworks.EngineReport
	err    error
	orders []garnetworks.GroupOrder
}

func (e *reportingEngine) Report(context.Context, string, garnetworks.Incarnation) (garnetworks.EngineReport, error) {
	return e.report, e.err
}

func (e *reportingEngine) SendOrder(_ context.Context, o garnetworks.GroupOrder) error {
	e.orders = append(e.orders, o)
	return nil
}

// Guards against a conditional join that reaches an engine without a condition.
func TestConditionalJoinNeedsAReport(t *testing.T) {
	one := garnetworks.Some(uint64(1))
	cases := map[string]struct {
		report garnetworks.EngineReport
		err    error
		sent   bool
	}{
		"in no group":             {report: garnetworks.EngineReport{Accepted: one}, sent: true},
		"in the group":            {report: garnetworks.EngineReport{Accepted: one, Membership: garnetworks.Membership{Group: "m.1", Epoch: 7}}, sent: true},
		"in another group":        {report: garnetworks.EngineReport{Accepted: one, Membership: garnetworks.Membership{Group: "m.0", Epoch: 6}}},
		"in an earlier epoch":     {report: garnetworks.EngineReport{Accepted: one, Membership: garnetworks.Membership{Group: "m.1", Epoch: 6}}},
		"no count of orders":      {report: garnetworks.EngineReport{}},
		"in it, no count":         {report: garnetworks.EngineReport{Membership: garnetworks.Membership{Group: "m.1", Epoch: 7}}},
		"no report":               {err: garnetworks.WrapError(garnetworks.KindUnreachable, errors.New("reset"), "no report")},
		"another process answers": {err: garnetworks.Errorf(garnetworks.KindNotFound, "started later")},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := &reportingEngine{report: c.report, err: c.err}
			err := sendOrder(t.Context(), e, garnetworks.GroupOrder{Kind: garnetworks.GroupJoin, Group: "m.1", Epoch: 7, Conditional: true})
			if sent := len(e.orders) == 1; sent != c.sent || sent != (err == nil) {
				t.Errorf("%d orders sent, %v", len(e.orders), err)
			}
			for _, o := range e.orders {
				if o.Expect != one {
					t.Errorf("sent on the condition %+v", o.Expect)
				}
			}
		})
	}
}
