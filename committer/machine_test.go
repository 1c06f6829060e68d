package committer_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/committer"
	"github.com/garnetworks/garnetworks/faker"
)

// commit is what the oracle knows about one commit identifier.
type commit struct {
	request *garnetworks.ProposeRequest
	// excluded are the zones that the manifest excludes.
	excluded garnetworks.Set[garnetworks.ZoneID]
	// mayBeAccepted says that a request returned success or "unknown"; only then may the
	// commit be accepted.
	mayBeAccepted bool
	// finalRefusal is a response after which the commit must never be accepted.
	finalRefusal string
	// cutThroughout are the zones that have been cut off since the first request.
	cutThroughout garnetworks.Set[garnetworks.ZoneID]
}

// machine runs random commits and faults on a site and compares it with the oracle: the
// sequence of heads in the object API, which it reads without faults. The oracle's rules:
//
//	O1  A process never applies a lower generation than before.
//	O2  Each generation is the same commit at every process, and heads advance
//	    by one generation at a time.
//	O3  A commit is accepted at most once. It is never accepted after a final
//	    refusal, or if each of its requests returned "nothing was written".
//	O4  Only the commit that has the generation is reported as accepted or in
//	    force.
//	O5  When a generation is reported as in force, every ready process of a zone
//	    that is not excluded has applied it or a higher one.
//	O6  No commit is accepted while a zone that it does not exclude has been cut
//	    off since the first request for it.
//	O7  After all faults have ended, every process applies the newest generation,
//	    and no commit stays pending.
type machine struct {
	*site
	t       *testing.T
	once    *sync.Once
	commits map[string]*commit
	// accepted is the commit of each generation according to the heads.
	accepted map[garnetworks.Generation]string
	// highest is the highest generation applied by each process.
	highest map[*node]garnetworks.Generation
	// inForce is the highest generation that each process has reported as in force.
	inForce map[*node]garnetworks.Generation
	dead    []*node
}

// Random commits, restarts, partitions and object API faults must keep the rules O1 to O7
// of machine.
func TestOperatorsNodesAndFaults(outer *testing.T) {
	var once sync.Once
	rapid.Check(outer, func(rt *rapid.T) {
		inBubble(outer, func(t *testing.T) {
			s, _ := threeZones(t)
			m := &machine{
				site:     s,
				t:        outer,
				once:     &once,
				commits:  map[string]*commit{},
				accepted: map[garnetworks.Generation]string{},
				highest:  map[*node]garnetworks.Generation{},
				inForce:  map[*node]garnetworks.Generation{},
			}
			defer m.haltAll()
			rt.Repeat(m.actions())
			m.settle(rt)
		})
	})
}

// inBubble runs a case of a property in a synctest bubble. A failing property panics; the
// panic is passed on outside of the bubble, whose goroutine it must not end.
func inBubble(t *testing.T, run func(*testing.T)) {
	var failure any
	synctest.Test(t, func(t *testing.T) {
		defer func() { failure = recover() }()
		run(t)
	})
	if failure != nil {
		panic(failure)
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"commit":      m.commit,
		"commit too":  m.commit,
		"ask again":   m.resendCommit,
		"wait":        m.wait,
		"wait more":   m.wait,
		"restart":     m.restart,
		"kill":        m.kill,
		"evict":       m.evictDead,
		"cut off":     m.cutOffZone,
		"join":        m.reconnectZones,
		"object API":  m.objectFaults,
		"stale reads": m.staleReads,
		"outage":      m.outageAfterWrite,
		"lose":        m.loseUpdates,
		"old update":  m.oldUpdate,
		"":            m.check,
	}
}

// fail ends the case and logs the first failure: if a case fails differently when rapid
// repeats it, rapid reports it without the reason.
func (m *machine) fail(rt *rapid.T, format string, args ...any) {
	m.once.Do(func() { m.t.Logf("first failure: "+format, args...) })
	rt.Fatalf(format, args...)
}

func (m *machine) pickNode(rt *rapid.T) *node {
	nodes := m.running()
	if len(nodes) == 0 {
		rt.Skip("no node runs")
	}
	return nodes[rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")]
}

// commit sends the commits of one or two operators to nodes concurrently.
func (m *machine) commit(rt *rapid.T) {
	n := rapid.IntRange(1, 2).Draw(rt, "operators")
	done := make(chan struct{})
	for range n {
		c := m.drawCommit(rt)
		at := m.pickNode(rt)
		go func() {
			m.sendCommit(rt, at, c)
			done <- struct{}{}
		}()
	}
	for range n {
		<-done
	}
}

// drawCommit returns a new commit on the newest generation or another base.
func (m *machine) drawCommit(rt *rapid.T) *commit {
	number := len(m.commits) + 1
	heads := m.heads(rt)
	var head committer.Head
	if len(heads) > 0 {
		head = heads[len(heads)-1]
	}
	base := head.Accepted.Generation
	if rapid.IntRange(0, 5).Draw(rt, "wrong base") == 0 {
		base = garnetworks.Generation(rapid.IntRange(0, int(base)+1).Draw(rt, "base"))
	}
	excluded := garnetworks.NewSet[garnetworks.ZoneID]()
	var words []string
	if rapid.Bool().Draw(rt, "leave out") {
		for _, zone := range garnetworks.Sorted(m.partitioned)[:min(len(m.partitioned), len(zoneNames)-1)] {
			excluded.Add(zone)
		}
	}
	for _, zone := range garnetworks.Sorted(excluded) {
		words = append(words, string(zone))
	}
	id := fmt.Sprintf("c%d", number)
	c := &commit{request: proposeRequest(id, base, manifestText(80000+number, words...)), excluded: excluded, cutThroughout: garnetworks.NewSet(garnetworks.Sorted(m.partitioned)...)}
	if head.Pending != nil && rapid.Bool().Draw(rt, "supersede") {
		c.request.Supersedes = head.Pending.CommitID
	}
	m.commits[id] = c
	return c
}

// sendCommit sends a commit's request and records the response.
func (m *machine) sendCommit(rt *rapid.T, at *node, c *commit) {
	response, err := at.Propose(m.ctx, c.request)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		c.mayBeAccepted = true
	case garnetworks.IsKind(err, garnetworks.KindOutcomeUnknown):
		c.mayBeAccepted = true
	case garnetworks.IsKind(err, garnetworks.KindStaleGeneration) && !strings.Contains(err.Error(), "went back"):
		c.finalRefusal = err.Error()
	case garnetworks.IsKind(err, garnetworks.KindConflict, garnetworks.KindObjectAPIDown, garnetworks.KindThrottled,
		garnetworks.KindInvalidRequest, garnetworks.KindStaleGeneration):
	default:
		rt.Errorf("commit %s was answered %v", c.request.CommitID, err)
	}
	_ = response
}

func (m *machine) resendCommit(rt *rapid.T) {
	if len(m.commits) == 0 {
		rt.Skip("no commits")
	}
	id := fmt.Sprintf("c%d", rapid.IntRange(1, len(m.commits)).Draw(rt, "commit"))
	m.sendCommit(rt, m.pickNode(rt), m.commits[id])
}

func (m *machine) wait(rt *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "milliseconds")) * time.Millisecond)
	m.gossip()
}

func (m *machine) restart(rt *rapid.T) {
	n := m.pickNode(rt)
	n.halt()
	if rapid.Bool().Draw(rt, "slowly") {
		time.Sleep(time.Second)
	}
	m.start(n.info.ID, n.info.Zone)
}

func (m *machine) kill(rt *rapid.T) {
	if len(m.running()) < 4 {
		rt.Skip("few nodes left")
	}
	n := m.pickNode(rt)
	n.halt()
	m.dead = append(m.dead, n)
}

func (m *machine) evictDead(rt *rapid.T) {
	if len(m.dead) == 0 {
		rt.Skip("no dead nodes")
	}
	m.evict(m.dead[0])
	m.dead = m.dead[1:]
}

func (m *machine) cutOffZone(rt *rapid.T) {
	m.cutOff(rapid.SampledFrom(zoneNames).Draw(rt, "zone"), true)
}

func (m *machine) reconnectZones(*rapid.T) {
	for _, zone := range zoneNames {
		m.reconnectZone(zone)
	}
}

func (m *machine) reconnectZone(zone garnetworks.ZoneID) {
	m.cutOff(zone, false)
	for _, c := range m.commits {
		c.cutThroughout.Remove(zone)
	}
}

// objectFaults changes the faults of one node's access to the object API.
func (m *machine) objectFaults(rt *rapid.T) {
	n := m.pickNode(rt)
	if m.partitioned.Has(n.info.Zone) {
		rt.Skip("the node is cut off")
	}
	plans := []faker.FaultPlan{
		{},
		{Down: true},
		{Unavailable: true},
		{LoseAnswers: 1, Methods: []string{faker.MethodPut}},
		{LoseAnswers: 20, Methods: []string{faker.MethodPut}},
		{LoseAnswers: 3},
		{LateAnswers: 2, LateBy: 4 * time.Second},
		{Delay: 500 * time.Millisecond},
	}
	n.view.SetFaults(plans[rapid.IntRange(0, len(plans)-1).Draw(rt, "plan")])
}

func (m *machine) staleReads(rt *rapid.T) {
	n := m.pickNode(rt)
	n.api.mu.Lock()
	defer n.api.mu.Unlock()
	n.api.staleReads = rapid.IntRange(1, 12).Draw(rt, "reads")
	n.api.staleBy = rapid.IntRange(1, 4).Draw(rt, "back")
}

// outageAfterWrite starts an outage for a node after its next write of the head.
func (m *machine) outageAfterWrite(rt *rapid.T) {
	n := m.pickNode(rt)
	n.api.mu.Lock()
	defer n.api.mu.Unlock()
	n.api.outage = time.Duration(rapid.IntRange(1, 5).Draw(rt, "seconds")) * time.Second
}

func (m *machine) loseUpdates(rt *rapid.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dropping = rapid.IntRange(1, 10).Draw(rt, "updates")
}

// oldUpdate passes one node's updates to another without the version check of receive.
func (m *machine) oldUpdate(rt *rapid.T) {
	from, to := m.pickNode(rt), m.pickNode(rt)
	for _, u := range from.updates() {
		to.OnUpdate(u)
	}
}

// check compares all processes with the oracle.
func (m *machine) check(rt *rapid.T) {
	synctest.Wait()
	m.checkHeads(rt)
	for _, n := range m.running() {
		m.checkNode(rt, n)
	}
	m.checkProgress(rt)
}

// checkHeads checks O2, O3 and O6.
func (m *machine) checkHeads(rt *rapid.T) {
	newest := garnetworks.Generation(0)
	seen := map[string]garnetworks.Generation{}
	for _, h := range m.heads(rt) {
		a := h.Accepted
		if a.Generation == newest {
			continue
		}
		if a.Generation != newest+1 {
			m.fail(rt, "O2: the head goes from generation %d to %d", newest, a.Generation)
		}
		newest = a.Generation
		if before, twice := seen[a.CommitID]; twice {
			m.fail(rt, "O3: commit %s is generation %d and %d", a.CommitID, before, a.Generation)
		}
		seen[a.CommitID] = a.Generation
		m.checkAccepted(rt, a)
	}
}

func (m *machine) checkAccepted(rt *rapid.T, a garnetworks.CommitRecord) {
	c := m.commits[a.CommitID]
	if _, known := m.accepted[a.Generation]; !known {
		m.accepted[a.Generation] = a.CommitID
		for zone := range c.cutThroughout {
			if !c.excluded.Has(zone) {
				m.fail(rt, "O6: commit %s was accepted without zone %s", a.CommitID, zone)
			}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.finalRefusal != "" {
		m.fail(rt, "O3: commit %s was accepted as generation %d after the answer: %s", a.CommitID, a.Generation, c.finalRefusal)
	}
	if !c.mayBeAccepted {
		m.fail(rt, "O3: commit %s was accepted, but every answer said that nothing was written", a.CommitID)
	}
}

// checkNode checks O1, O2 and O5.
func (m *machine) checkNode(rt *rapid.T, n *node) {
	generation := garnetworks.Generation(0)
	if manifest, ok := n.Manifest(); ok {
		generation = manifest.Generation
		if m.accepted[generation] != manifest.CommitID {
			m.fail(rt, "O2: node %s has commit %s as generation %d, the head %q", n.info.ID, manifest.CommitID, generation, m.accepted[generation])
		}
	}
	if generation < m.highest[n] {
		m.fail(rt, "O1: node %s went from generation %d to %d", n.info.ID, m.highest[n], generation)
	}
	m.highest[n] = generation
	if claim := n.Status().InForce; claim > m.inForce[n] {
		m.inForce[n] = claim
		m.checkInForce(rt, n, claim)
	}
}

func (m *machine) checkInForce(rt *rapid.T, n *node, claim garnetworks.Generation) {
	excluded := m.commits[m.accepted[claim]].excluded
	for _, other := range m.running() {
		status := other.Status()
		if status.Synced && status.Applied < claim && !excluded.Has(other.info.Zone) {
			m.fail(rt, "O5: node %s reports generation %d as in force, but %s (process %d) is ready with %d",
				n.info.ID, claim, other.info.ID, other.info.Incarnation, status.Applied)
		}
	}
}

// checkProgress checks O4 and records final refusals.
func (m *machine) checkProgress(rt *rapid.T) {
	nodes := m.running()
	for i, id := range m.ids() {
		c := m.commits[id]
		response, err := nodes[i%len(nodes)].Progress(m.ctx, &garnetworks.ProgressRequest{CommitID: id})
		if err != nil {
			rt.Fatalf("progress of %s: %v", id, err)
		}
		p := response.Progress
		switch p.State {
		case garnetworks.CommitAccepted, garnetworks.CommitInForce:
			m.checkHeads(rt)
			if m.accepted[p.Generation] != id {
				m.fail(rt, "O4: commit %s is reported as %s with generation %d, which is %q", id, p.State, p.Generation, m.accepted[p.Generation])
			}
		case garnetworks.CommitRefused, garnetworks.CommitSuperseded:
			m.mu.Lock()
			c.finalRefusal = string(p.State) + ": " + p.Reason
			m.mu.Unlock()
		}
	}
}

// ids returns the latest commits; earlier ones no longer change.
func (m *machine) ids() []string {
	var ids []string
	for i := max(1, len(m.commits)-5); i <= len(m.commits); i++ {
		ids = append(ids, fmt.Sprintf("c%d", i))
	}
	return ids
}

// settle ends all faults and checks O7.
func (m *machine) settle(rt *rapid.T) {
	for _, n := range m.dead {
		m.evict(n)
	}
	m.reconnectZones(rt)
	m.mu.Lock()
	m.dropping = 0
	m.mu.Unlock()
	for i, zone := range zoneNames {
		m.start(garnetworks.NodeID(fmt.Sprintf("fresh-%d", i)), zone)
	}
	for _, n := range m.running() {
		n.view.SetFaults(faker.FaultPlan{})
		n.api.mu.Lock()
		n.api.staleReads, n.api.outage = 0, 0
		n.api.mu.Unlock()
	}
	for range 30 {
		time.Sleep(time.Second)
		m.gossip()
		m.check(rt)
	}
	heads := m.heads(rt)
	if len(heads) == 0 {
		return
	}
	head := heads[len(heads)-1]
	if head.Pending != nil {
		response, _ := m.running()[0].Progress(m.ctx, &garnetworks.ProgressRequest{})
		m.fail(rt, "O7: commit %s is still pending: %+v", head.Pending.CommitID, response.Progress)
	}
	for _, n := range m.running() {
		if status := n.Status(); status.Applied != head.Accepted.Generation || !status.Synced || status.InForce != head.Accepted.Generation {
			m.fail(rt, "O7: node %s has %+v, the head generation %d", n.info.ID, status, head.Accepted.Generation)
		}
	}
}
