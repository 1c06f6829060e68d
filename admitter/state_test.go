package admitter

import (
	"flag"
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
)

func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "500"}
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// ledger is the oracle's account of one workspace: the most that the limits allow,
// and what was charged for calls that run, wait or have run.
type ledger struct {
	earnedRequests, earnedTokens   float64
	chargedRequests, chargedTokens int
	inFlight                       int
}

// charge checks and charges a call that was admitted or waits (A4). Calls are admitted
// without debt and charged in full.
func (l *ledger) charge(t *rapid.T, share float64, s garnetworks.WorkspaceSpec, tokens int) {
	limit := l.earnedTokens + share*s.Limits.TokensPerSecond
	if s.Limits.TokensPerSecond > 0 && tokens > 0 && float64(l.chargedTokens) > limit+1e-6 {
		t.Fatalf("%s: a call was taken after %d tokens, want at most %.2f", s.Name, l.chargedTokens, limit)
	}
	l.chargedRequests++
	l.chargedTokens += tokens
	limit = l.earnedRequests + max(BurstCalls, share*s.Limits.RequestsPerSecond)
	if s.Limits.RequestsPerSecond > 0 && float64(l.chargedRequests) > limit+1e-6 {
		t.Fatalf("%s: %d requests were taken, want at most %.2f", s.Name, l.chargedRequests, limit)
	}
}

// refund refunds a charge.
func (l *ledger) refund(tokens int) {
	l.chargedRequests--
	l.chargedTokens -= tokens
}

// gateMachine drives a gate and checks it against the rules.
type gateMachine struct {
	gate       *gate
	now        time.Time
	share      float64
	maxWaiting int
	specs      []garnetworks.WorkspaceSpec
	ledgers    map[garnetworks.WorkspaceName]*ledger
	// tooLate is a call that was admitted after its first token was due.
	tooLate *waiter
	// waiting and running are the calls by their last decision.
	waiting, running []*waiter
	decisions        map[*waiter]int
}

func newGateMachine() *gateMachine {
	m := &gateMachine{
		now: testStart, share: 0.5, maxWaiting: 4,
		ledgers: map[garnetworks.WorkspaceName]*ledger{}, decisions: map[*waiter]int{},
	}
	limits := []garnetworks.LimitsSpec{
		{RequestsPerSecond: 8, TokensPerSecond: 20_000, Concurrency: 12},
		{RequestsPerSecond: 80, TokensPerSecond: 400, Concurrency: 12},
		{Concurrency: 30},
	}
	for i, l := range limits {
		m.specs = append(m.specs, garnetworks.WorkspaceSpec{
			Name: garnetworks.WorkspaceName(fmt.Sprintf("w%d", i)), Priority: i % 2, Limits: l,
		})
		m.ledgers[m.specs[i].Name] = &ledger{}
	}
	m.gate = newGate(Options{Node: "n1", MaxWaiting: m.maxWaiting})
	m.gate.setNodes(m.now, 2)
	m.gate.setManifest(m.now, &garnetworks.Manifest{Models: []garnetworks.ModelSpec{{Name: "m"}}, Workspaces: m.specs})
	m.capacity(3)
	return m
}

func (m *gateMachine) capacity(slots int) {
	m.gate.setCapacity(m.now, []garnetworks.ModelCapacity{{Model: "m", Slots: 2 * slots, InUse: float64(slots), FirstToken: 50 * time.Millisecond}})
	m.collect()
}

// collect processes the decisions on calls that waited.
func (m *gateMachine) collect() {
	decided := m.gate.decided
	m.gate.decided = nil
	for _, w := range decided {
		m.decisions[w]++
		m.waiting = slices.DeleteFunc(m.waiting, func(x *waiter) bool { return x == w })
		if w.state == admitted {
			m.enter(w)
			if by := w.request.FirstTokenBy; !by.IsZero() && m.now.After(by) {
				m.tooLate = w
			}
		} else {
			m.ledgers[w.request.Workspace].refund(w.request.Tokens)
		}
	}
}

func (m *gateMachine) enter(w *waiter) {
	m.ledgers[w.request.Workspace].inFlight++
	m.running = append(m.running, w)
}

func (m *gateMachine) advance(t *rapid.T) {
	elapsed := time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond
	m.now = m.now.Add(elapsed)
	for _, s := range m.specs {
		l := m.ledgers[s.Name]
		l.earnedRequests += m.share * s.Limits.RequestsPerSecond * elapsed.Seconds()
		l.earnedTokens += m.share * s.Limits.TokensPerSecond * elapsed.Seconds()
	}
}

func (m *gateMachine) arrive(t *rapid.T) {
	spec := rapid.SampledFrom(m.specs).Draw(t, "workspace")
	request := garnetworks.AdmitRequest{
		Workspace: spec.Name, Model: "m", Priority: spec.Priority,
		Tokens: rapid.IntRange(1, 800).Draw(t, "tokens"), Received: m.now,
		FirstTokenBy: m.now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "allowance")) * time.Millisecond),
	}
	if rapid.IntRange(0, 2).Draw(t, "patient") == 0 {
		request.FirstTokenBy = time.Time{}
	}
	if rapid.IntRange(0, 9).Draw(t, "plain") == 0 {
		request.Model, request.Tokens = "", 0
	}
	ahead := slices.ContainsFunc(m.waiting, func(w *waiter) bool { return w.request.Priority >= request.Priority })
	w := m.gate.arrive(m.now, request)
	if w.state == admitted && request.Model != "" && ahead {
		t.Fatalf("a call of priority %d overtook one that waits", request.Priority)
	}
	if w.state != refused {
		m.ledgers[spec.Name].charge(t, m.share, spec, request.Tokens)
	}
	switch w.state {
	case waiting:
		m.waiting = append(m.waiting, w)
	case admitted:
		m.decisions[w]++
		m.enter(w)
	case refused:
		m.decisions[w]++
		m.checkRefusal(t, w)
	}
	m.collect()
}

func (m *gateMachine) checkRefusal(t *rapid.T, w *waiter) {
	if !garnetworks.IsKind(w.err, garnetworks.KindOverLimit, garnetworks.KindOverloaded, garnetworks.KindDeadlineUnreachable, garnetworks.KindShuttingDown) {
		t.Fatalf("refused with %v", w.err)
	}
	if e := w.err.(*garnetworks.Error); e.Kind != garnetworks.KindShuttingDown && e.RetryAfter <= 0 {
		t.Fatalf("refused without RetryAfter: %v", w.err)
	}
}

func (m *gateMachine) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "call")
	w := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	l := m.ledgers[w.request.Workspace]
	l.inFlight--
	used := rapid.IntRange(0, 1000).Draw(t, "used")
	if w.request.Model == "" {
		used = 0
	}
	l.chargedTokens += used - w.request.Tokens
	m.gate.done(m.now, w, used)
	m.gate.done(m.now, w, used)
	m.collect()
}

func (m *gateMachine) cancel(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "call")
	w := m.waiting[i]
	if !m.gate.cancel(m.now, w) {
		t.Fatal("a waiting call could not be cancelled")
	}
	m.decisions[w]++
	m.ledgers[w.request.Workspace].refund(w.request.Tokens)
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.collect()
}

func (m *gateMachine) poll(t *rapid.T) {
	if len(m.waiting) == 0 {
		return
	}
	m.gate.poll(m.now, rapid.SampledFrom(m.waiting).Draw(t, "call"))
	m.collect()
	if p := m.gate.pools["m"]; p.waiting > 0 && p.slotAvailable(m.now, p.next()) {
		t.Fatal("a call waits although a slot is free for it")
	}
}

func (m *gateMachine) resize(t *rapid.T) { m.capacity(rapid.IntRange(0, 5).Draw(t, "slots")) }

func (m *gateMachine) check(t *rapid.T) {
	if m.tooLate != nil {
		t.Fatalf("a call of %s was admitted after its first token was due", m.tooLate.request.Workspace)
	}
	p := m.gate.pools["m"]
	if p.waiting != len(m.waiting) || p.waiting > m.maxWaiting {
		t.Fatalf("%d calls wait, want %d, at most %d", p.waiting, len(m.waiting), m.maxWaiting)
	}
	for _, w := range m.waiting {
		if w.state != waiting || m.decisions[w] != 0 {
			t.Fatalf("a call that waits has state %v and %d decisions", w.state, m.decisions[w])
		}
	}
	for w, n := range m.decisions {
		if n != 1 {
			t.Fatalf("a call of %s got %d decisions", w.request.Workspace, n)
		}
	}
	if first := p.next(); first != nil {
		for _, w := range m.waiting {
			if w.class.priority > first.class.priority {
				t.Fatalf("priority %d is next, but %d waits", first.class.priority, w.class.priority)
			}
		}
		if p.running == 0 {
			t.Fatal("a call waits although nothing runs")
		}
	}
	for _, s := range m.specs {
		m.checkLimits(t, s)
	}
}

// checkLimits checks the calls in flight against the bound of A5.
func (m *gateMachine) checkLimits(t *rapid.T, s garnetworks.WorkspaceSpec) {
	l, w := m.ledgers[s.Name], m.gate.workspaces[s.Name]
	limit := int(math.Ceil(max(1, m.share*float64(s.Limits.Concurrency))))
	if l.inFlight > limit {
		t.Fatalf("%s: %d calls in flight, want at most %d", s.Name, l.inFlight, limit)
	}
	waiting := 0
	for _, x := range m.waiting {
		if x.request.Workspace == s.Name {
			waiting++
		}
	}
	if w.inFlight != l.inFlight+waiting {
		t.Fatalf("%s: the gate counts %d calls, want %d running and %d waiting", s.Name, w.inFlight, l.inFlight, waiting)
	}
}

// drain ends all calls and checks that no state is left.
func (m *gateMachine) drain(t *rapid.T) {
	for len(m.running)+len(m.waiting) > 0 {
		if len(m.running) > 0 {
			w := m.running[0]
			m.running = m.running[1:]
			m.ledgers[w.request.Workspace].inFlight--
			m.gate.done(m.now, w, 0)
		} else {
			w := m.waiting[0]
			m.waiting = m.waiting[1:]
			m.gate.cancel(m.now, w)
		}
		m.collect()
	}
	for name, p := range m.gate.pools {
		if p.running != 0 || p.waiting != 0 || math.Abs(p.startSum) > 1e-6 {
			t.Fatalf("pool %q: %d running, %d waiting, start sum %g after all calls ended", name, p.running, p.waiting, p.startSum)
		}
		for _, c := range p.classes {
			if c.running != 0 || c.waiting != 0 {
				t.Fatalf("priority %d: %d running, %d waiting after all calls ended", c.priority, c.running, c.waiting)
			}
		}
	}
	for name, w := range m.gate.workspaces {
		if w.inFlight != 0 {
			t.Fatalf("%s: %d calls in flight after all ended", name, w.inFlight)
		}
	}
}

func TestGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGateMachine()
		t.Repeat(map[string]func(*rapid.T){
			"advance": m.advance, "arrive": m.arrive, "arrive-again": m.arrive, "arrive-more": m.arrive,
			"done": m.done, "cancel": m.cancel, "look": m.poll, "resize": m.resize, "": m.check,
		})
		m.drain(t)
	})
}

func TestSmallWorkspaceIsNotStarved(t *testing.T) {
	// A large workspace's queue delays a small one by one call, not by the whole queue;
	// idle time earns the large one nothing.
	rapid.Check(t, func(t *rapid.T) {
		g := newGate(Options{Node: "n1", MaxWaiting: 64})
		g.setManifest(testStart, testManifest())
		g.setCapacity(testStart, []garnetworks.ModelCapacity{{Model: "m", Slots: 1}})
		ask := func(workspace garnetworks.WorkspaceName, tokens int) *waiter {
			return g.arrive(testStart, garnetworks.AdmitRequest{Workspace: workspace, Model: "m", Priority: 1, Tokens: tokens})
		}
		var running *waiter
		for range rapid.IntRange(0, 20).Draw(t, "history") {
			g.done(testStart, ask("small", 1000), 1000)
			g.done(testStart, ask("small", 1), 1)
		}
		running = ask("large", 100)
		for range rapid.IntRange(1, 100).Draw(t, "flood") {
			ask("large", rapid.IntRange(1, 2000).Draw(t, "tokens"))
		}
		small := ask("small", rapid.IntRange(1, 2000).Draw(t, "small tokens"))
		if small.state != waiting {
			t.Fatalf("the small workspace's call was refused: %v", small.err)
		}
		for served := 0; small.state == waiting; served++ {
			if served > 1 {
				t.Fatalf("%d calls of the large workspace went before", served)
			}
			g.decided = nil
			g.done(testStart, running, 0)
			running = g.decided[0]
		}
	})
}
