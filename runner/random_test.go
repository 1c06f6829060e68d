package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/faker"
)

// machine is a rapid state machine that injects failures into a site.
type machine struct {
	*virtualSite
	commits int
}

// TestSiteUnderRandomFailures checks that the site's invariants hold during random failures
// and that it recovers by itself afterwards.
func TestSiteUnderRandomFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds for each check")
	}
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() { randomFailures(rt) })
	})
}

// inBubble runs a check in a synctest bubble. It passes the panic of a failed check on to
// rapid's goroutine.
func inBubble(t *testing.T, check func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		check()
	})
	if failure != nil {
		panic(failure)
	}
}

func randomFailures(t *rapid.T) {
	size := smallShape
	size.ignoresTokens = rapid.Bool().Draw(t, "engines ignore tokens")
	m := &machine{virtualSite: newVirtualSite(t, size)}
	defer m.close()
	m.begin()
	m.startLoad()
	t.Repeat(map[string]func(*rapid.T){
		"wait":             m.wait,
		"wait longer":      m.wait,
		"cut a zone":       m.cutOrJoin,
		"object API":       m.objectAPI,
		"lose answers":     m.loseAnswers,
		"freeze an engine": m.freeze,
		"restart engine":   m.restart,
		"engine dies":      m.toggleDown,
		"domain goes dark": m.domainDown,
		"power answers":    m.powerAnswers,
		"crash a node":     m.crashNode,
		"stop a node":      m.stopNode,
		"forget conns":     m.blackholeConns,
		"commit":           m.commit,
	})
	m.clearFaults()
	m.awaitRecovery()
	m.finishLoad()
}

func (m *machine) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 12000).Draw(t, "milliseconds")) * time.Millisecond)
}

func (m *machine) zoneOf(t *rapid.T) garnetworks.ZoneID {
	return rapid.SampledFrom(m.size.zones).Draw(t, "zone")
}

func (m *machine) engineOf(t *rapid.T) *faker.Engine {
	return rapid.SampledFrom(m.fleet.Engines()).Draw(t, "engine")
}

func (m *machine) nodeOf(t *rapid.T) garnetworks.NodeID {
	return rapid.SampledFrom(m.names()).Draw(t, "node")
}

func (m *machine) cutOrJoin(t *rapid.T) {
	zone := m.zoneOf(t)
	m.cutZone(zone, !m.isCut[zone])
}

func (m *machine) objectAPI(t *rapid.T) {
	m.objects.SetFaults(faker.FaultPlan{Down: rapid.Bool().Draw(t, "down")})
}

func (m *machine) loseAnswers(t *rapid.T) {
	n := rapid.IntRange(1, 30).Draw(t, "answers")
	m.objects.SetFaults(faker.FaultPlan{LoseAnswers: n, Methods: []string{faker.MethodPut}})
}

func (m *machine) freeze(t *rapid.T) {
	e := m.engineOf(t)
	e.SetFaults(faker.FaultPlan{Frozen: !e.CurrentFaults().Frozen})
}

func (m *machine) restart(t *rapid.T) { m.engineOf(t).Restart() }

func (m *machine) toggleDown(t *rapid.T) {
	e := m.engineOf(t)
	e.SetFaults(faker.FaultPlan{Down: !e.CurrentFaults().Down})
}

func (m *machine) domainDown(t *rapid.T) {
	zone, down := m.zoneOf(t), rapid.Bool().Draw(t, "down")
	for _, e := range m.fleet.Engines() {
		if e.Spec().Zone == zone {
			e.SetFaults(faker.FaultPlan{Down: down})
		}
	}
}

func (m *machine) powerAnswers(t *rapid.T) {
	m.power.SetFaults(faker.FaultPlan{LoseAnswers: rapid.IntRange(0, 5).Draw(t, "answers")})
}

func (m *machine) crashNode(t *rapid.T) {
	id := m.nodeOf(t)
	m.crash(id)
	m.replace(id)
}

func (m *machine) stopNode(t *rapid.T) { m.replace(m.nodeOf(t)) }

func (m *machine) blackholeConns(t *rapid.T) { m.network.blackholeOpen(m.nodeOf(t)) }

// commit proposes a manifest based on the generation that a node has applied; whether it is
// accepted depends on the failures.
func (m *machine) commit(t *rapid.T) {
	id := m.nodeOf(t)
	m.commits++
	version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	base := m.node(id).committer.Status().Applied
	_, _ = m.propose(id, fmt.Sprintf("random-%d", m.commits), base, m.manifestText(virtualCap, version))
}

// clearFaults removes all injected faults.
func (m *machine) clearFaults() {
	for _, zone := range m.size.zones {
		m.cutZone(zone, false)
	}
	m.objects.SetFaults(faker.FaultPlan{})
	m.power.SetFaults(faker.FaultPlan{})
	for _, e := range m.fleet.Engines() {
		e.SetFaults(faker.FaultPlan{})
	}
}

// recoveryBound is the longest time that the site may take to recover. The worst case is an
// instance that counts as lost while it boots, followed by a rollout zone by zone.
const recoveryBound = 10 * time.Minute

// awaitRecovery waits until all groups serve and calls of both kinds complete at each node.
func (m *machine) awaitRecovery() {
	m.t.Helper()
	for _, id := range m.names() {
		m.within(recoveryBound, "all groups serve according to node "+string(id), m.serving(id, groupsWanted))
	}
	for i, id := range m.names() {
		m.within(time.Minute, "calls complete at "+string(id), func() string {
			key := fmt.Sprintf("after-%d", i)
			a := m.node(id).answerOf(context.Background(), m.key, "POST", "/services/ledger/visits", key, `{}`)
			b := m.node(id).answerOf(context.Background(), m.key, "POST", "/v1/completions", "", virtualBody)
			if a.outcome != string(garnetworks.OutcomeCompleted) || b.outcome != string(garnetworks.OutcomeCompleted) {
				return fmt.Sprintf("%+v, %+v", a, b)
			}
			return ""
		})
	}
}
