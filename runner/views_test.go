package runner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/controller"
	"github.com/garnetworks/garnetworks/pulser"
)

// Guards against a PulseTimeout shorter than a pulse can take: nodes would then take a late
// pulse for a lost controller and probe all engines of their zone alone.
func TestPulseTimeoutExceedsPulseInterval(t *testing.T) {
	longest := pulser.Interval + controller.DefaultTimes().Tick
	if PulseTimeout <= longest {
		t.Errorf("PulseTimeout is %v, but a pulse can take %v", PulseTimeout, longest)
	}
	if PulseTimeout+garnetworks.ProbeInterval >= garnetworks.ConfirmationBound {
		t.Errorf("PulseTimeout of %v plus one round of probes exceeds the bound %v", PulseTimeout, garnetworks.ConfirmationBound)
	}
}

// Guards against each node of a zone probing all engines alone while no pulse comes because
// the controller is being replaced: probes would multiply with the nodes.
func TestControllerReplacementDoesNotMultiplyProbes(t *testing.T) {
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
