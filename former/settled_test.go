package former

import (
	"testing"
	"testing/synctest"
	"time"
)

// Story: the 162 engines of a site register one after the other within 4.1 s of the
// nodes' start. Groups were formed after 4.0 s, of domains that were not whole yet: 16
// of the small model and 4 of the large one in place of 12 and 6, for the whole day.
func TestGroupsWaitForTheLastRegistration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, all = 162, 4100 * time.Millisecond
		f := &Former{options: Options{FirstStart: true}, started: time.Now()}
		for i := range engines {
			time.Sleep(all / engines)
			if f.settled(time.Now(), i+1) {
				t.Fatalf("groups are formed of %d of %d engines", i+1, engines)
			}
		}
		time.Sleep(settleTime)
		if !f.settled(time.Now(), engines) {
			t.Errorf("no groups are formed %s after the last registration", settleTime)
		}
	})
}

// Story: engines that crash and start again register without end. The site still gets
// groups before its first calls.
func TestGroupsWaitNoLongerThanTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &Former{options: Options{FirstStart: true}, started: time.Now()}
		for count := 1; !f.settled(time.Now(), count); count++ {
			time.Sleep(settleTime / 2)
		}
		if waited := time.Since(f.started); waited > maxSettleTime+settleTime {
			t.Errorf("groups are formed after %s", waited)
		}
	})
}
