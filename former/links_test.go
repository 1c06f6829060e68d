package former

import (
	"errors"
	"testing"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/follower"
)

// idleFormer returns a former that holds no lease.
func idleFormer() *Former {
	return &Former{options: Options{Recorder: &eventCounter{}}, prober: newProber(100)}
}

// Guards against a node that reaches no engine itself and finds all of them unresponsive.
func TestNodeWithoutLinksFindsNoEngineUnresponsive(t *testing.T) {
	cases := map[string]struct {
		controls []garnetworks.Incarnation
		answer   bool
		want     bool
	}{
		"no control answers":     {controls: []garnetworks.Incarnation{{Instance: "c1"}, {Instance: "c2"}, {Instance: "c3"}}, want: false},
		"a control answers":      {controls: []garnetworks.Incarnation{{Instance: "c1"}, {Instance: "c2"}, {Instance: "c3"}}, answer: true, want: true},
		"there are no controls":  {want: true},
		"one control of the few": {controls: []garnetworks.Incarnation{{Instance: "c1"}}, want: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := idleFormer()
			failed := errors.New("no answer")
			for _, id := range c.controls {
				f.controlsSent.Add(id)
			}
			for i, id := range c.controls {
				result := probeResult{incarnation: id, err: failed, took: probeTimeout, last: true, control: true}
				if c.answer && i == 1 {
					result.err = nil
				}
				f.handleProbeResult(result)
			}
			member := garnetworks.Incarnation{Instance: "m"}
			for range probeAttempts {
				f.handleProbeResult(probeResult{incarnation: member, zone: "z", err: failed, took: probeTimeout, last: true})
			}
			if got := f.unresponsive.Has(member); got != c.want {
				t.Errorf("unresponsive: %t, want %t", got, c.want)
			}
			for _, id := range c.controls {
				if f.unresponsive.Has(id) {
					t.Errorf("control %s counts as unresponsive", id.Instance)
				}
			}
		})
	}
}

// Guards against control probes within the suspected group, which fail with it.
func TestControlsAreOutsideTheSuspectedGroup(t *testing.T) {
	f := idleFormer()
	server := func(id garnetworks.InstanceID, domain garnetworks.DomainID, group garnetworks.GroupID) garnetworks.RegisteredServer {
		s := garnetworks.RegisteredServer{ListedInstance: garnetworks.ListedInstance{ID: id, State: garnetworks.ListedLive, Domain: domain}}
		s.Membership.Group = group
		return s
	}
	servers := follower.Servers{
		"a": server("a", "d1", "lost"), "b": server("b", "d1", "lost"), "c": server("c", "d1", "other"), "d": server("d", "d2", "third"), "p": server("p", "", ""),
	}
	f.probeControls(time.Now(), controlInterval, "lost", servers)
	var got []garnetworks.InstanceID
	for _, p := range f.probeQueue {
		got = append(got, p.server.ID)
	}
	if len(got) != 2 || got[0] != "d" || got[1] != "c" {
		t.Errorf("got controls %v, want [d c]", got)
	}
}

// Guards against the late failure of a control probe that counts for a later round.
func TestLateControlFailureDoesNotCount(t *testing.T) {
	f := idleFormer()
	early, late := garnetworks.Incarnation{Instance: "early"}, garnetworks.Incarnation{Instance: "late"}
	f.controlsSent.Add(early)
	f.controlsSent.Add(late)
	f.handleProbeResult(probeResult{incarnation: early, last: true, control: true})
	f.handleProbeResult(probeResult{incarnation: late, err: errors.New("no answer"), took: probeTimeout, last: true, control: true})
	f.controlsSent.Add(garnetworks.Incarnation{Instance: "next"})
	if f.reachesNoEngine() {
		t.Error("no engine is reached before any control of the round has failed")
	}
}
