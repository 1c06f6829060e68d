package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/measurer"
	"github.com/garnetworks/garnetworks/placer"
)

const (
	lossDetectionTime = garnetworks.ConfirmationBound
	powerOffTime      = 2 * time.Second
	readmitTime       = time.Second
	drainTime         = 15 * time.Second
	repairTime        = 10 * time.Minute
)

// engine is the simulated state of an instance; the domain's object holds what the
// controller knows of it.
type engine struct {
	instance *garnetworks.Instance
	alive    bool
	// repaired is the earliest time at which a failed engine answers again.
	repaired time.Time
	// epoch counts the changes that invalidate earlier events of the engine.
	epoch   int
	loading garnetworks.WeightID
	loaded  float64
	rate    int64
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// policy computes plans; the baseline is one.
type policy func(placer.Input) placer.Output

// simulator lets instances boot, load, fail, return and straggle under virtual
// time and executes a policy's decisions.
type simulator struct {
	*testZone
	policy         policy
	engines        map[garnetworks.InstanceID]*engine
	enginesInOrder []*engine
	queue          events
	seq            int
	bootTime       time.Duration
	account        measurer.Account
	// announced holds the announced stops.
	announced map[garnetworks.InstanceID]placer.InstanceObservation
	replanAt  time.Time
	// slow sums the time for which groups served with a straggler.
	slow time.Duration
	err  error
}

func newSimulator(w *testZone, p policy) *simulator {
	s := &simulator{testZone: w, policy: p, engines: map[garnetworks.InstanceID]*engine{}, bootTime: 3 * time.Minute}
	for i := range w.Domains {
		for j := range w.Domains[i].Instances {
			e := &engine{instance: &w.Domains[i].Instances[j], alive: true}
			s.engines[e.instance.ID] = e
			s.enginesInOrder = append(s.enginesInOrder, e)
		}
	}
	return s
}

func (s *simulator) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.Now.Add(d), seq: s.seq, do: do})
}

// run advances to the given time.
func (s *simulator) run(until time.Time) {
	s.decide()
	for s.err == nil {
		next := s.nextTime(until)
		s.advance(next)
		for len(s.queue) > 0 && !s.queue[0].at.After(s.Now) {
			heap.Pop(&s.queue).(event).do()
		}
		s.decide()
		if !next.Before(until) {
			return
		}
	}
}

func (s *simulator) nextTime(until time.Time) time.Time {
	next := until
	if len(s.queue) > 0 && s.queue[0].at.Before(next) {
		next = s.queue[0].at
	}
	if s.replanAt.After(s.Now) && s.replanAt.Before(next) {
		next = s.replanAt
	}
	for _, e := range s.enginesInOrder {
		if rate := s.effectiveRate(e); rate > 0 {
			left := float64(s.bytes(e.loading)) - e.loaded
			end := s.Now.Add(time.Duration(left/rate*float64(time.Second)) + time.Millisecond)
			if end.Before(next) {
				next = end
			}
		}
	}
	return next
}

func (s *simulator) bytes(w garnetworks.WeightID) int64 {
	for _, m := range s.Models {
		if m.Name == w.Model {
			return m.WeightBytes
		}
	}
	return 0
}

func (e *engine) requestedRate(most int64) float64 {
	if e.loading == (garnetworks.WeightID{}) || !e.alive {
		return 0
	}
	if e.rate == 0 {
		return float64(most)
	}
	return float64(min(e.rate, most))
}

// effectiveRate is the rate that the engine gets: the requested one, scaled down if
// all engines together request more than the store's rate.
func (s *simulator) effectiveRate(e *engine) float64 {
	asked := e.requestedRate(s.InstanceRate)
	if asked == 0 {
		return 0
	}
	total := 0.0
	for _, o := range s.enginesInOrder {
		total += o.requestedRate(s.InstanceRate)
	}
	return asked * min(1, float64(s.StoreRate)/total)
}

func (s *simulator) advance(to time.Time) {
	elapsed := to.Sub(s.Now).Seconds()
	rates := make([]float64, len(s.enginesInOrder))
	for n, e := range s.enginesInOrder {
		rates[n] = s.effectiveRate(e)
	}
	for _, g := range s.allGroups() {
		slow := func(id garnetworks.InstanceID) bool {
			return s.instance(id).Condition == garnetworks.ConditionStraggler
		}
		if s.serves(g) && slices.ContainsFunc(g.Members, slow) {
			s.slow += to.Sub(s.Now)
		}
	}
	s.Now = to
	for n, e := range s.enginesInOrder {
		if rates[n] == 0 {
			continue
		}
		e.loaded += rates[n] * elapsed
		if e.loaded >= float64(s.bytes(e.loading)) {
			e.instance.Weights = []garnetworks.WeightID{e.loading}
			e.loading, e.loaded = garnetworks.WeightID{}, 0
		}
	}
	s.progressGroups()
}

// progressGroups starts the forming of groups whose members have the weights.
func (s *simulator) progressGroups() {
	for _, g := range s.allGroups() {
		if g.State != garnetworks.GroupForming {
			continue
		}
		w := garnetworks.WeightID{Model: g.Model, Version: g.Version}
		loaded := true
		for _, id := range g.Members {
			e := s.engines[id]
			loaded = loaded && e.alive && slices.Contains(e.instance.Weights, w)
		}
		if loaded {
			g.State = garnetworks.GroupLoading
			id := g.ID
			s.after(placer.FormTime, func() { s.serve(id) })
		}
	}
}

func (s *simulator) serve(id garnetworks.GroupID) {
	if g := s.group(id); g != nil && g.State == garnetworks.GroupLoading {
		g.State = garnetworks.GroupServing
	}
}

func (s *simulator) serves(g *garnetworks.Group) bool {
	if g.State != garnetworks.GroupServing {
		return false
	}
	for _, id := range g.Members {
		if e := s.engines[id]; !e.alive || e.instance.Condition == garnetworks.ConditionLeaving {
			return false
		}
	}
	return true
}

func (s *simulator) observe() {
	s.Instances = map[garnetworks.InstanceID]placer.InstanceObservation{}
	for _, e := range s.enginesInOrder {
		o := s.announced[e.instance.ID]
		if e.loading != (garnetworks.WeightID{}) {
			o.Loading, o.LoadedBytes = e.loading, int64(e.loaded)
		}
		if e.instance.Condition == garnetworks.ConditionStraggler {
			o.Slowdown = 2
		}
		s.Instances[e.instance.ID] = o
	}
}

// decide plans until a plan has no decisions, then records the measures.
func (s *simulator) decide() {
	for range 20 {
		s.observe()
		out := s.policy(s.Input)
		s.replanAt = out.ReplanAt
		if err := s.apply(out); err != nil {
			s.err = err
			return
		}
		for _, d := range out.Decisions {
			s.execute(d)
		}
		if len(out.Decisions) == 0 {
			break
		}
	}
	s.account.Add(measurer.Observe(measurer.Snapshot{
		At: s.Now, Domains: s.Domains, Classes: s.Classes, Wanted: placer.Wanted(s.Input), Limit: s.Limit,
		Confirmed: func(id garnetworks.GroupID) bool { return s.serves(s.group(id)) },
	}))
}

func (s *simulator) execute(decision placer.Decision) {
	switch d := decision.(type) {
	case placer.FormGroup:
		for _, id := range d.Members {
			s.startLoad(s.engines[id], garnetworks.WeightID{Model: d.Model, Version: d.Version}, d.LoadRate)
		}
		s.progressGroups()
	case placer.DrainGroup:
		s.after(min(d.Grace, drainTime), func() { s.Groups[d.Group] = placer.GroupObservation{Idle: true} })
	case placer.PowerOn:
		s.powerUp(s.engines[d.Instance])
	case placer.PowerOff:
		s.powerDown(s.engines[d.Instance])
	case placer.Preload:
		s.startLoad(s.engines[d.Instance], d.Weights, d.LoadRate)
	case placer.SetLoadRate:
		s.engines[d.Instance].rate = d.LoadRate
	}
}

func (s *simulator) startLoad(e *engine, w garnetworks.WeightID, rate int64) {
	if slices.Contains(e.instance.Weights, w) {
		e.loading = garnetworks.WeightID{}
		return
	}
	if e.loading != w {
		e.loading, e.loaded = w, 0
	}
	e.rate = rate
}

func (s *simulator) powerUp(e *engine) {
	e.epoch++
	epoch, boot := e.epoch, s.bootTime
	boot = max(boot, e.repaired.Sub(s.Now))
	s.after(boot, func() {
		if e.epoch != epoch {
			return
		}
		e.alive = true
		e.instance.Power, e.instance.Condition = garnetworks.PowerOn, garnetworks.ConditionReturned
		s.readmit(e)
	})
}

func (s *simulator) powerDown(e *engine) {
	e.epoch++
	e.alive = false
	e.loading, e.loaded, e.instance.Weights = garnetworks.WeightID{}, 0, nil
	epoch := e.epoch
	s.after(powerOffTime, func() {
		if e.epoch == epoch {
			e.instance.Power, e.instance.Condition = garnetworks.PowerOff, garnetworks.ConditionHealthy
		}
	})
}

// fail ends the engine. If its power is left on, it returns after the outage, with
// or without its weights.
func (s *simulator) fail(e *engine, outage time.Duration, keepsWeights bool) {
	if !e.alive {
		return
	}
	e.epoch++
	epoch := e.epoch
	weights := e.instance.Weights
	e.alive, e.repaired = false, s.Now.Add(outage)
	e.loading, e.loaded, e.instance.Weights = garnetworks.WeightID{}, 0, nil
	s.after(lossDetectionTime, func() {
		if e.epoch == epoch && !e.alive {
			e.instance.Condition = garnetworks.ConditionLost
		}
	})
	s.after(outage, func() {
		if e.epoch != epoch {
			return
		}
		e.alive = true
		e.instance.Condition = garnetworks.ConditionReturned
		if keepsWeights {
			e.instance.Weights = weights
		}
		s.readmit(e)
	})
}

// readmit makes a returned engine healthy after readmitTime.
func (s *simulator) readmit(e *engine) {
	epoch := e.epoch
	s.after(readmitTime, func() {
		if e.epoch == epoch {
			e.instance.Condition = garnetworks.ConditionHealthy
		}
	})
}

// restart stops the engine after a notice of one minute, as the platform does; a
// longer announcement may precede it.
func (s *simulator) restart(e *engine, announced time.Duration) {
	id := e.instance.ID
	s.announced[id] = placer.InstanceObservation{}
	if announced > 0 {
		s.announced[id] = placer.InstanceObservation{LeaveBy: s.Now.Add(announced)}
	}
	s.after(max(0, announced-time.Minute), func() {
		if e.alive {
			e.instance.Condition = garnetworks.ConditionLeaving
		}
		s.after(time.Minute, func() {
			delete(s.announced, id)
			s.fail(e, s.bootTime, false)
		})
	})
}

// member returns the n-th member of the first serving group of a model.
func (s *simulator) member(model garnetworks.ModelName, n int) *engine {
	for _, g := range s.allGroups() {
		if g.Model == model && g.State == garnetworks.GroupServing {
			return s.engines[g.Members[n]]
		}
	}
	panic(fmt.Sprintf("no serving group of %s", model))
}

// ordinaryDay spreads a day's failures and restarts over engines and hours, the
// same for every policy.
func (s *simulator) ordinaryDay(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	count := float64(len(s.enginesInOrder))
	class := s.Classes[0]
	for range int(class.FailuresPerDay*count + 0.5) {
		e := s.enginesInOrder[random.IntN(len(s.enginesInOrder))]
		s.after(time.Duration(random.Int64N(int64(24*time.Hour))), func() { s.fail(e, repairTime, false) })
	}
	for range int(class.RestartsPerDay*count + 0.5) {
		e := s.enginesInOrder[random.IntN(len(s.enginesInOrder))]
		s.after(time.Duration(random.Int64N(int64(24*time.Hour))), func() {
			if e.alive {
				s.restart(e, 0)
			}
		})
	}
}
