package faker

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

// Fault methods of the instance list, the power switch and the weight store.
const (
	MethodInstances = "instances"
	MethodSetPower  = "set-power"
	MethodPower     = "power"
	MethodRate      = "rate"
	MethodSize      = "size"
)

// InstanceList is an instance list that shows changes with a delay.
type InstanceList struct {
	Faults
	mu  sync.Mutex
	lag time.Duration
	// changes are pending in order of time; visible holds the rows after the applied ones.
	changes []listChange
	visible map[garnetworks.InstanceID]garnetworks.ListedInstance
}

type listChange struct {
	at      time.Time
	row     garnetworks.ListedInstance
	removed bool
}

// NewInstanceList returns an empty list that shows each change after lag.
func NewInstanceList(lag time.Duration) *InstanceList {
	return &InstanceList{
		lag:     lag,
		visible: make(map[garnetworks.InstanceID]garnetworks.ListedInstance),
	}
}

// Report adds or updates a row.
func (l *InstanceList) Report(row garnetworks.ListedInstance) { l.addChange(listChange{row: row}) }

// Remove deletes a row.
func (l *InstanceList) Remove(id garnetworks.InstanceID) {
	l.addChange(listChange{row: garnetworks.ListedInstance{ID: id}, removed: true})
}

func (l *InstanceList) addChange(change listChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change.at = time.Now()
	l.changes = append(l.changes, change)
}

// Instances implements garnetworks.InstanceList.
func (l *InstanceList) Instances(ctx context.Context, zone garnetworks.ZoneID) ([]garnetworks.ListedInstance, error) {
	return withFaults(ctx, &l.Faults, MethodInstances, failedRead(garnetworks.KindUnreachable), func() ([]garnetworks.ListedInstance, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.applyChanges(time.Now().Add(-l.lag))
		var rows []garnetworks.ListedInstance
		for _, row := range l.visible {
			if row.Zone == zone {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b garnetworks.ListedInstance) int { return cmp.Compare(a.ID, b.ID) })
		return rows, nil
	})
}

func (l *InstanceList) applyChanges(until time.Time) {
	for len(l.changes) > 0 && !l.changes[0].at.After(until) {
		c := l.changes[0]
		l.changes = l.changes[1:]
		if c.removed {
			delete(l.visible, c.row.ID)
		} else {
			l.visible[c.row.ID] = c.row
		}
	}
}

// Power is the power switch for the engines of a fleet.
type Power struct {
	Faults
	fleet *Fleet
	mu    sync.Mutex
	// tokens holds the highest fencing token seen for each instance, lastOrders the
	// identifier of its last order.
	tokens     map[garnetworks.InstanceID]garnetworks.FencingToken
	lastOrders map[garnetworks.InstanceID]string
	orders     int
}

// NewPower returns a power switch for the fleet's engines.
func NewPower(fleet *Fleet) *Power {
	return &Power{
		fleet:      fleet,
		tokens:     make(map[garnetworks.InstanceID]garnetworks.FencingToken),
		lastOrders: make(map[garnetworks.InstanceID]string),
	}
}

// Orders returns the number of orders executed, without repeated ones.
func (p *Power) Orders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.orders
}

// SetPower implements garnetworks.PowerSwitch.
func (p *Power) SetPower(ctx context.Context, order garnetworks.PowerOrder) error {
	_, err := withFaults(ctx, &p.Faults, MethodSetPower, failedWrite(garnetworks.KindUnreachable), func() (struct{}, error) {
		return struct{}{}, p.set(order)
	})
	return err
}

func (p *Power) set(order garnetworks.PowerOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.fleet.Engine(order.Instance)
	if e == nil {
		return garnetworks.Errorf(garnetworks.KindNotFound, "no instance %q", order.Instance)
	}
	if seen := p.tokens[order.Instance]; order.Token < seen {
		return garnetworks.Errorf(garnetworks.KindStaleToken, "token %v is lower than %v", order.Token, seen)
	}
	p.tokens[order.Instance] = order.Token
	if p.lastOrders[order.Instance] == order.ID {
		return nil
	}
	p.lastOrders[order.Instance] = order.ID
	p.orders++
	if order.On {
		e.PowerOn()
	} else {
		e.PowerOff()
	}
	return nil
}

// Power implements garnetworks.PowerSwitch.
func (p *Power) Power(ctx context.Context, instance garnetworks.InstanceID) (garnetworks.PowerState, error) {
	return withFaults(ctx, &p.Faults, MethodPower, failedRead(garnetworks.KindUnreachable), func() (garnetworks.PowerState, error) {
		e := p.fleet.Engine(instance)
		if e == nil {
			return garnetworks.PowerUnknown, garnetworks.Errorf(garnetworks.KindNotFound, "no instance %q", instance)
		}
		return e.PowerState(), nil
	})
}

// WeightStore is a weight store whose bandwidth is shared by all loads.
type WeightStore struct {
	Faults
	mu    sync.Mutex
	rate  int64
	sizes map[garnetworks.WeightID]int64
	// loads are the running loads.
	loads    map[*load]struct{}
	peakRate int64
}

// load is a running load. requestedRate is in bytes per second, 0 requests a fair share;
// the store's mu guards it.
type load struct {
	requestedRate int64
	cancel        context.CancelFunc
}

// NewWeightStore returns a store with a rate in bytes per second and the sizes of its
// weights in bytes.
func NewWeightStore(rate int64, sizes map[garnetworks.WeightID]int64) *WeightStore {
	return &WeightStore{
		rate:  rate,
		sizes: maps.Clone(sizes),
		loads: make(map[*load]struct{}),
	}
}

// SetSize adds weights or changes their size in bytes.
func (w *WeightStore) SetSize(id garnetworks.WeightID, size int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sizes == nil {
		w.sizes = make(map[garnetworks.WeightID]int64)
	}
	w.sizes[id] = size
}

// PeakRequestedRate returns the highest sum of the rates that concurrent loads requested,
// in bytes per second.
func (w *WeightStore) PeakRequestedRate() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peakRate
}

// Rate implements garnetworks.WeightStore.
func (w *WeightStore) Rate(ctx context.Context) (int64, error) {
	return withFaults(ctx, &w.Faults, MethodRate, failedRead(garnetworks.KindUnreachable), func() (int64, error) {
		return w.rate, nil
	})
}

// Size implements garnetworks.WeightStore.
func (w *WeightStore) Size(ctx context.Context, id garnetworks.WeightID) (int64, error) {
	return withFaults(ctx, &w.Faults, MethodSize, failedRead(garnetworks.KindUnreachable), func() (int64, error) {
		return w.size(id)
	})
}

func (w *WeightStore) size(id garnetworks.WeightID) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, ok := w.sizes[id]
	if !ok {
		return 0, garnetworks.Errorf(garnetworks.KindNotFound, "no weights %v", id)
	}
	return size, nil
}

// loadStep is how often a running load recomputes its rate.
const loadStep = 50 * time.Millisecond

// read simulates loading the weights at the rate allocated to l. It makes no progress
// while the store is down or frozen.
func (w *WeightStore) read(ctx context.Context, id garnetworks.WeightID, l *load) error {
	size, err := w.size(id)
	if err != nil {
		return err
	}
	w.addLoad(l)
	defer w.removeLoad(l)
	for remaining := float64(size); remaining > 0; {
		if err := w.waitUnfrozen(ctx); err != nil {
			return err
		}
		rate := w.allocatedRate(l)
		step := loadStep
		if need := time.Duration(remaining / rate * float64(time.Second)); need < step {
			step = max(need, time.Microsecond)
		}
		if err := sleep(ctx, step); err != nil {
			return err
		}
		if !w.CurrentFaults().Down {
			remaining -= rate * step.Seconds()
		}
	}
	return nil
}

func (w *WeightStore) addLoad(l *load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads[l] = struct{}{}
	w.updatePeak()
}

func (w *WeightStore) updatePeak() {
	var sum int64
	for l := range w.loads {
		sum += l.requestedRate
	}
	w.peakRate = max(w.peakRate, sum)
}

// setRate changes the requested rate of a load.
func (w *WeightStore) setRate(l *load, requested int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.requestedRate = requested
	w.updatePeak()
}

func (w *WeightStore) removeLoad(l *load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.loads, l)
}

// allocatedRate returns the current rate of l in bytes per second: its requested rate,
// scaled down if all requests together exceed the store's rate.
func (w *WeightStore) allocatedRate(l *load) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	fair := float64(w.rate) / float64(len(w.loads))
	want := func(l *load) float64 {
		if l.requestedRate == 0 {
			return fair
		}
		return float64(l.requestedRate)
	}
	var sum float64
	for other := range w.loads {
		sum += want(other)
	}
	return max(1, want(l)*min(1, float64(w.rate)/sum))
}
