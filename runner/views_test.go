package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/controller"
	"github.com/garnetworks/garnetworks/pulser"
)

// Pulses come when the controller's tick after their interval lets them. A node
// that fears silence sooner takes each late tick for a lost controller: in a
// calm site its log says so every few seconds, and it probes all of its zone's
// engines alone each time.
func TestPulseTimeoutExceedsPulseInterval(t *testing.T) {
	longest := pulser.Interval + controller.DefaultTimes().Tick
	if PulseTimeout <= longest {
		t.Errorf("silence is feared after %v, and a pulse can take %v", PulseTimeout, longest)
	}
	if PulseTimeout+garnetworks.ProbeInterval >= garnetworks.ConfirmationBound {
		t.Errorf("silence of %v and one round of probes outlast the bound %v", PulseTimeout, garnetworks.ConfirmationBound)
	}
}

// TestNewControllerCausesNoStormOfProbes: a zone's controller dies, and for ten
// seconds no pulse comes. The zone's other nodes go on sharing their probes; were
// each to probe all engines alone, the probes would multiply with the nodes.
func TestNewControllerCausesNoStormOfProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		size := smallShape
		size.nodes, size.engines, size.on = 6, 12, 12
		size.cap = engineWatts * 40
		s := newVirtualSite(t, size)
		defer s.close()
		s.begin()
		time.Sleep(10 * time.Second)
		const window = 8 * time.Second
		probes := func() (sum int64) {
			for _, id := range s.names() {
				if s.node(id).self.Zone == "zone-a" {
					sum += s.node(id).probes.Load()
				}
			}
			return sum
		}
		before := probes()
		time.Sleep(window)
		baseline := probes() - before
		s.crash(s.holder("zone-a"))
		before = probes()
		time.Sleep(window)
		if after := probes() - before; after > baseline*3/2 {
			t.Errorf("%d probes in %v after the loss, %d before it", after, window, baseline)
		}
	})
}
