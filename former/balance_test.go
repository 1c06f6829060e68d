package former_test

import (
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Story: two members of large groups are lost in one domain. The first one's place is
// taken by the spare that was prepared for the large model; the second spare held the
// small model only, and the group waited 16 s for its load.
func TestSpareReplacesEitherModel(t *testing.T) {
	w := newSimulation(1, 11)
	w.run(60 * time.Second)
	for range 2 {
		w.member("large", 1).dead = true
		w.run(3 * time.Second)
	}
	checkRules(t, w)
	if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
		t.Errorf("serving %v three seconds after the second loss", got)
	}
}

// grownWorld has domains with a large group, two small ones and three spares each.
func newLargeSimulation(domains int) *simulation {
	w := newSimulation(domains, 27)
	w.profile.Models = []garnetworks.ModelProfile{
		{Name: "large", GroupSize: 12, InitialShare: 0.5, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
		{Name: "small", GroupSize: 6, InitialShare: 0.5, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
	}
	w.run(60 * time.Second)
	return w
}

// Story: engines are lost for good, one after the other, until a domain has 23 of its
// 27. Its large group lacked one member, and the eleven others became a small group
// and five spares; the large model lost a group in each domain, and the small one,
// which had enough, gained them.
func TestLargeGroupIsCompletedByASmallOne(t *testing.T) {
	w := newLargeSimulation(2)
	for range 4 {
		w.memberOf("d0", "large", 1).dead = true
		w.run(10 * time.Second)
	}
	w.run(10 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 || got["small"] != 3 {
		t.Errorf("serving %v, want 2 large groups and 3 small ones", got)
	}
}

// Story: a holder of the lease begins to exchange a group and is replaced. The closed
// group must not stay closed.
func TestReallocationSurvivesLeaseChange(t *testing.T) {
	w := newLargeSimulation(2)
	for range 4 {
		w.memberOf("d0", "large", 1).dead = true
		w.run(5 * time.Second)
	}
	for range 20 {
		w.run(300 * time.Millisecond)
		w.term++
		w.refreshView()
	}
	w.run(60 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 || got["small"] != 3 {
		t.Errorf("serving %v, want 2 large groups and 3 small ones", got)
	}
}

// Story: a group is closed for the sake of another model, and its members leave it.
// Their entries tell that some hundred milliseconds later. The holder of the lease took
// the group for one that an earlier holder had left unopened, and ordered its old head
// to open and to join the other group by turns, 200 times.
func TestReallocatedGroupIsNotReopened(t *testing.T) {
	w := newLargeSimulation(2)
	for range 4 {
		w.memberOf("d0", "large", 1).dead = true
		for i := range 100 {
			if i%5 == 0 {
				w.refreshView()
			}
			w.step(100 * time.Millisecond)
		}
	}
	w.run(10 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] != 2 {
		t.Errorf("serving %v, want 2 large groups", got)
	}
	if w.invalidOpens > 0 {
		t.Errorf("%d orders to open did not fit", w.invalidOpens)
	}
}

// Story: a large group needs one more instance, and the only free one is new and has
// no weights. The eleven others were ordered into a group with it and waited for its
// load of 16 s, while a small group of the domain lost a member that any of them could
// have replaced.
func TestMembersDoNotWaitForALoad(t *testing.T) {
	w := newLargeSimulation(1)
	for range 3 {
		w.memberOf("d0", "large", 1).dead = true
		w.run(5 * time.Second)
	}
	w.memberOf("d0", "large", 1).dead = true
	w.add("i-new", "d0")
	w.run(3 * time.Second)
	w.memberOf("d0", "small", 1).dead = true
	w.run(4 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["small"] < 1 {
		t.Errorf("serving %v four seconds after the loss", got)
	}
	if w.joinsWithLoad > 0 {
		t.Errorf("%d joins waited for a load", w.joinsWithLoad)
	}
	w.run(30 * time.Second)
	if got := w.serving(); got["large"] != 1 || got["small"] != 1 {
		t.Errorf("serving %v in the end", got)
	}
}

// unevenWorld has domains of eight for groups of four and of two, without a spare.
func newUnevenSimulation(domains int) *simulation {
	w := newSimulation(domains, 8)
	w.profile.Models[0].GroupSize, w.profile.Models[1].GroupSize = 4, 2
	w.run(40 * time.Second)
	return w
}

// restart lets the engines of a domain begin anew with what their hosts hold.
func (w *simulation) restartDomain(domain garnetworks.DomainID) {
	for _, e := range w.engines {
		if e.Domain == domain && !e.dead {
			e.Membership, e.Model, e.epoch = garnetworks.Membership{}, "", 0
			e.unresponsive = false
		}
	}
}

// Story: a domain goes dark for some seconds and its engines start anew. Their hosts
// hold the small model, which was loaded last, so all of them became small groups, as
// these need no load. There they stayed: no single one of them has enough members for a
// large group. In the end the small model had 15 groups and the large one, with two
// thirds of the work, 3 of its 8: 280 of its calls were turned away beside free places.
func TestLargeModelRecoversAfterDomainRestart(t *testing.T) {
	w := newUnevenSimulation(6)
	before := w.serving()
	for _, domain := range []garnetworks.DomainID{"d0", "d1"} {
		for _, e := range w.engines {
			if e.Domain == domain {
				e.unresponsive = true
				e.Staged = []garnetworks.ModelName{"small"}
			}
		}
		w.run(5 * time.Second)
		w.restartDomain(domain)
		w.run(5 * time.Second)
	}
	w.run(40 * time.Second)
	checkRules(t, w)
	if got := w.serving(); got["large"] < before["large"] {
		t.Errorf("serving %v, at the start %v", got, before)
	}
}
