// Package meter counts a node's work and exports the counts as Prometheus metrics.
//
// The rules:
//
//	M1  Each metric is listed once in the table Metrics with its unit and meaning;
//	    docs/metrics.md is generated from it.
//	M2  Label values come from closed lists or from the manifest and the instance
//	    list, never from callers, so that no caller can grow a node's memory.
//	M3  Every call to the object API is counted where it is sent; a watch counts
//	    as one call however long it waits, as the platform counts them.
package meter

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/garnetworks/garnetworks"
)

// Meter holds a node's metrics.
type Meter struct {
	registry *prometheus.Registry
	byName   map[string]Metric

	calls          *prometheus.CounterVec
	tokens         *prometheus.CounterVec
	firstToken     prometheus.Histogram
	betweenTokens  prometheus.Histogram
	inFlight       prometheus.Gauge
	objectCalls    *prometheus.CounterVec
	peerBytes      *prometheus.CounterVec
	peerCalls      *prometheus.CounterVec
	generation     prometheus.Gauge
	lease          *prometheus.GaugeVec
	groups         *prometheus.GaugeVec
	measures       *prometheus.GaugeVec
	power          *prometheus.GaugeVec
	events         *prometheus.CounterVec
	claimWrites    *prometheus.CounterVec
	proxiedCalls   *prometheus.CounterVec
	firstEvent     *prometheus.HistogramVec
	queueWait      *prometheus.HistogramVec
	attempts       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	delegated      *prometheus.CounterVec
	sentAgain      *prometheus.CounterVec
	limitedAnswers *prometheus.CounterVec
	connections    *prometheus.GaugeVec
	endedConns     *prometheus.CounterVec
	headBytes      prometheus.Gauge
	lateAdmissions *prometheus.CounterVec
	rejections     *prometheus.CounterVec
	attemptTime    *prometheus.HistogramVec
	neededGroups   *prometheus.GaugeVec
	onTime         *prometheus.GaugeVec
	objectTime     *prometheus.HistogramVec
	suspicions     *prometheus.CounterVec
	moveSilence    *prometheus.HistogramVec
	counters       map[string]prometheus.Counter
	gauges         map[string]prometheus.Gauge
	lastTotals     map[string]uint64
}

// Metric is a row of the table Metrics.
type Metric struct {
	// Name is the full name; its last word is the unit.
	Name string
	// Help is one sentence.
	Help string
	// Labels are the metric's labels in order. Callers never choose label values
	// (rule M2).
	Labels []string
}

// Metrics lists every metric that a node exports.
var Metrics = []Metric{
	{"garnet_calls_total", "Calls of callers that ended, by what was called, outcome and error kind (empty if completed).", []string{"target", "outcome", "kind"}},
	{"garnet_tokens_total", "Tokens delivered to callers, by workspace.", []string{"workspace"}},
	{"garnet_first_token_seconds", "Time from the receipt of a call to its first token.", nil},
	{"garnet_between_tokens_seconds", "Mean time between two tokens of one answer.", nil},
	{"garnet_calls_in_flight", "Calls admitted and not ended.", nil},
	{"garnet_object_api_calls_total", "Calls to the object API, by method, purpose (the first part of the key) and error kind (empty if answered).", []string{"method", "purpose", "kind"}},
	{"garnet_peer_bytes_total", "Bytes exchanged with other nodes, by direction.", []string{"direction"}},
	{"garnet_peer_calls_total", "Messages exchanged with other nodes, by direction.", []string{"direction"}},
	{"garnet_manifest_generation", "Generation of the manifest in force at the node.", nil},
	{"garnet_lease_held", "1 while the node holds the lease.", []string{"lease"}},
	{"garnet_groups", "Replica groups in the node's view, by availability zone and state.", []string{"zone", "state"}},
	{"garnet_measure_seconds", "The two measures, summed since the zone's controller started: group-downtime in group-seconds, stranded in instance-seconds.", []string{"zone", "measure"}},
	{"garnet_power_watts", "Power of an availability zone: drawn (pessimistic) and limit (grant).", []string{"zone", "what"}},
	{"garnet_claim_writes_total", "Writes of claims' shards by how they ended: written, conflict, failed, or forwarded to the committing node.", []string{"result"}},
	{"garnet_claims_owed", "Outcomes of keyed calls that are not recorded yet.", nil},
	{"garnet_claim_shards_refusing", "Shards whose claims are refused now, because the object API does not answer or the shard is full.", nil},
	{"garnet_events_overwritten_total", "Events that gave way to newer ones before anybody may have read them.", nil},
	{"garnet_probes_dropped_total", "Probe results that found the node's own channel full.", nil},
	{"garnet_passed_calls_total", "Calls that are passed on whole, by route, outcome and error kind (empty if completed).", []string{"route", "outcome", "kind"}},
	{"garnet_passed_first_event_seconds", "Time from the receipt of a call that is passed on to the first event of its stream, by route.", []string{"route"}},
	{"garnet_passed_wait_seconds", "Time that calls that are passed on waited for a place, by model.", []string{"model"}},
	{"garnet_passed_late_admissions_total", "Calls that are passed on that were admitted although they can only be late, by model.", []string{"model"}},
	{"garnet_passed_rejections_total", "Calls that are passed on that were rejected for lack of a place in time, by model and whether they had returned after a rejection.", []string{"model", "returned"}},
	{"garnet_held_contents", "Contents of calls that are kept from servers, since servers ended under them.", nil},
	{"garnet_evacuated_zones", "Availability zones whose servers get no calls, since an operator evacuated them.", nil},
	{"garnet_routing_age_seconds", "Time since the node's routing was last known to be the newest one; over 9e9 while that is not known.", nil},
	{"garnet_attempts_total", "Attempts of calls that are passed on, by service, group (empty for plain services) and the phase in which they ended.", []string{"service", "group", "phase"}},
	{"garnet_attempt_seconds", "Time from the start of an attempt to its end, by service.", []string{"service"}},
	{"garnet_retries_total", "Retries of calls that are passed on, by service and whether the site's limit of retries allowed them.", []string{"service", "result"}},
	{"garnet_delegated_calls_total", "Calls offered to other nodes because this node reaches no server, or has no share left of the limits of all that could take them, by service and result: taken, untaken, or the phase in which sending them failed.", []string{"service", "result"}},
	{"garnet_sent_again_total", "Attempts of calls that may run once that followed another attempt, by service and the phase in which that one ended.", []string{"service", "phase"}},
	{"garnet_limited_servers", "Backend servers that name a limit of calls, as far as the node knows.", nil},
	{"garnet_limited_answers_total", "Answers in which a backend server named the calls per second that it takes, by service.", []string{"service"}},
	{"garnet_needed_groups", "Groups that a model's calls need to be on time, at the node that forms groups.", []string{"model"}},
	{"garnet_on_time_ratio", "Fraction of a model's calls at the site that were on time, averaged, at the node that forms groups.", []string{"model"}},
	{"garnet_object_api_seconds", "Time that calls to the object API took, without watches, by method.", []string{"method"}},
	{"garnet_suspicions_total", "Suspicions of groups about which the node asked the lease holder, by verdict: lost, healthy or unknown, which includes those without an answer.", []string{"verdict"}},
	{"garnet_move_silence_seconds", "Time without events of a group after which a call was moved to another one, by cause: the verdict of the lease holder, its load report, the time-out for events or that for first events.", []string{"cause"}},
	{"garnet_connections", "Open connections of clients, other nodes and checks, by what they are doing: silent, unfinished (a part of a head has arrived), unused, uploading, stalled (the answer is not read), serving, ending.", []string{"stage"}},
	{"garnet_connections_ended_total", "Connections that the node refused or ended, by listener and reason.", []string{"listener", "reason"}},
	{"garnet_head_bytes", "Memory that the heads of requests take.", nil},
	{"garnet_log_lines_dropped_total", "Log lines that found the ring to the writer full.", nil},
	{"garnet_events_total", "Events recorded on the time line, by kind.", []string{"kind"}},
}

// The buckets are in seconds. They are narrow around the users' objectives, 0.84 s to
// the first token and 46 ms between tokens, which are bucket bounds themselves, so that
// the share within an objective is read without interpolation.
var (
	firstTokenBuckets = []float64{.01, .025, .05, .1, .2, .3, .42, .6, .84, 1.2, 2, 4, 8}
	attemptBuckets    = []float64{.01, .025, .05, .1, .15, .25, .4, .6, 1, 2, 4, 8}
	moveBuckets       = []float64{.1, .15, .2, .25, .3, .4, .55, .8, 1.2, 2.4}
	objectBuckets     = []float64{.002, .004, .008, .016, .032, .064, .125, .25, .5, 1, 2}
	betweenBuckets    = []float64{.005, .01, .015, .02, .03, .046, .06, .09, .18, .5, 1, 3}
)

// New returns a meter with its own registry.
func New() *Meter {
	byName := make(map[string]Metric, len(Metrics))
	m := &Meter{registry: prometheus.NewRegistry(), byName: byName}
	for _, row := range Metrics {
		byName[row.Name] = row
	}
	counter := func(name string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: byName[name].Help}, byName[name].Labels)
		m.registry.MustRegister(v)
		return v
	}
	gauges := func(name string) *prometheus.GaugeVec {
		v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: byName[name].Help}, byName[name].Labels)
		m.registry.MustRegister(v)
		return v
	}
	histogram := func(name string, buckets []float64) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: name, Help: byName[name].Help, Buckets: buckets})
		m.registry.MustRegister(h)
		return h
	}
	histograms := func(name string, buckets []float64) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: byName[name].Help, Buckets: buckets}, byName[name].Labels)
		m.registry.MustRegister(v)
		return v
	}

	m.proxiedCalls = counter("garnet_passed_calls_total")
	m.firstEvent = histograms("garnet_passed_first_event_seconds", firstTokenBuckets)
	m.queueWait = histograms("garnet_passed_wait_seconds", attemptBuckets)
	m.lateAdmissions = counter("garnet_passed_late_admissions_total")
	m.rejections = counter("garnet_passed_rejections_total")
	m.attempts = counter("garnet_attempts_total")
	m.retries = counter("garnet_retries_total")
	m.delegated = counter("garnet_delegated_calls_total")
	m.sentAgain = counter("garnet_sent_again_total")
	m.limitedAnswers = counter("garnet_limited_answers_total")
	m.connections = gauges("garnet_connections")
	m.endedConns = counter("garnet_connections_ended_total")
	m.headBytes = gauges("garnet_head_bytes").WithLabelValues()
	m.neededGroups = gauges("garnet_needed_groups")
	m.onTime = gauges("garnet_on_time_ratio")
	m.attemptTime = histograms("garnet_attempt_seconds", attemptBuckets)
	m.objectTime = histograms("garnet_object_api_seconds", objectBuckets)
	m.suspicions = counter("garnet_suspicions_total")
	for _, verdict := range []garnetworks.Verdict{garnetworks.VerdictLost, garnetworks.VerdictHealthy, garnetworks.VerdictUnknown} {
		m.suspicions.WithLabelValues(string(verdict))
	}
	m.moveSilence = histograms("garnet_move_silence_seconds", moveBuckets)
	for _, cause := range []MoveCause{MoveVerdict, MoveReportedLost, MoveStalled, MoveNoFirstEvent} {
		m.moveSilence.WithLabelValues(string(cause))
	}
	m.calls = counter("garnet_calls_total")
	m.tokens = counter("garnet_tokens_total")
	m.firstToken = histogram("garnet_first_token_seconds", firstTokenBuckets)
	m.betweenTokens = histogram("garnet_between_tokens_seconds", betweenBuckets)
	m.inFlight = gauges("garnet_calls_in_flight").WithLabelValues()
	m.objectCalls = counter("garnet_object_api_calls_total")
	m.peerBytes = counter("garnet_peer_bytes_total")
	m.peerCalls = counter("garnet_peer_calls_total")
	m.generation = gauges("garnet_manifest_generation").WithLabelValues()
	m.lease = gauges("garnet_lease_held")
	m.groups = gauges("garnet_groups")
	m.measures = gauges("garnet_measure_seconds")
	m.power = gauges("garnet_power_watts")
	m.events = counter("garnet_events_total")
	m.claimWrites = counter("garnet_claim_writes_total")
	m.counters = map[string]prometheus.Counter{}
	for _, name := range []string{"garnet_events_overwritten_total", "garnet_probes_dropped_total", "garnet_log_lines_dropped_total"} {
		m.counters[name] = counter(name).WithLabelValues()
	}
	m.gauges = map[string]prometheus.Gauge{}
	for _, name := range []string{"garnet_claims_owed", "garnet_claim_shards_refusing", "garnet_held_contents", "garnet_evacuated_zones", "garnet_limited_servers"} {
		m.gauges[name] = gauges(name).WithLabelValues()
	}
	m.lastTotals = map[string]uint64{}
	return m
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry, on which embedders register their own metrics.
func (m *Meter) Registry() *prometheus.Registry { return m.registry }

// InFlight sets the number of calls admitted and not ended.
func (m *Meter) InFlight(n int) { m.inFlight.Set(float64(n)) }

// CallEnded counts a call that has ended; kind is empty if it completed.
func (m *Meter) CallEnded(target string, outcome garnetworks.Outcome, kind garnetworks.Kind) {
	m.calls.WithLabelValues(target, string(outcome), string(kind)).Inc()
}

// ProxiedCall counts a proxied call that has ended; kind is empty if it completed.
func (m *Meter) ProxiedCall(route string, outcome garnetworks.Outcome, kind garnetworks.Kind) {
	m.proxiedCalls.WithLabelValues(route, string(outcome), string(kind)).Inc()
}

// FirstEvent observes the time from the receipt of a route's call to its first event.
func (m *Meter) FirstEvent(route string, d time.Duration) {
	m.firstEvent.WithLabelValues(route).Observe(d.Seconds())
}

// QueueWait observes how long a call waited for a slot at a group of the model.
func (m *Meter) QueueWait(model garnetworks.ModelName, d time.Duration) {
	m.queueWait.WithLabelValues(string(model)).Observe(d.Seconds())
}

// AdmittedLate counts a call to the model that was admitted although it can only be late.
func (m *Meter) AdmittedLate(model garnetworks.ModelName) {
	m.lateAdmissions.WithLabelValues(string(model)).Inc()
}

// RejectedCall counts a call to the model that was rejected for lack of a slot in time.
func (m *Meter) RejectedCall(model garnetworks.ModelName, returned bool) {
	m.rejections.WithLabelValues(string(model), strconv.FormatBool(returned)).Inc()
}

// Attempt counts an attempt that ended in the phase and observes its duration.
func (m *Meter) Attempt(service garnetworks.ServiceName, group garnetworks.GroupID, phase garnetworks.CallPhase, took time.Duration) {
	m.attempts.WithLabelValues(string(service), string(group), string(phase)).Inc()
	m.attemptTime.WithLabelValues(string(service)).Observe(took.Seconds())
}

// Retry counts a retry that the limit of the service's retries allowed or refused.
func (m *Meter) Retry(service garnetworks.ServiceName, allowed bool) {
	result := "refused"
	if allowed {
		result = "allowed"
	}
	m.retries.WithLabelValues(string(service), result).Inc()
}

// Delegated counts a call that was offered to another node.
func (m *Meter) Delegated(service garnetworks.ServiceName, result string) {
	m.delegated.WithLabelValues(string(service), result).Inc()
}

// SentAgain counts an attempt of a call that may run once after another one that ended in a phase.
func (m *Meter) SentAgain(service garnetworks.ServiceName, phase garnetworks.CallPhase) {
	m.sentAgain.WithLabelValues(string(service), string(phase)).Inc()
}

// LimitedAnswer counts an answer in which a server of the service named a limit of calls.
func (m *Meter) LimitedAnswer(service garnetworks.ServiceName) {
	m.limitedAnswers.WithLabelValues(string(service)).Inc()
}

// Connections sets the number of open connections in a stage.
func (m *Meter) Connections(stage string, number int) {
	m.connections.WithLabelValues(stage).Set(float64(number))
}

// ConnectionEnded counts a connection that the node refused or ended.
func (m *Meter) ConnectionEnded(listener, reason string) {
	m.endedConns.WithLabelValues(listener, reason).Inc()
}

// HeadBytes sets the memory that the heads of requests take.
func (m *Meter) HeadBytes(bytes int64) { m.headBytes.Set(float64(bytes)) }

// Apportioned sets the groups that a model needs and its fraction of calls on time.
func (m *Meter) Apportioned(model garnetworks.ModelName, neededGroups, onTime float64) {
	m.neededGroups.WithLabelValues(string(model)).Set(neededGroups)
	m.onTime.WithLabelValues(string(model)).Set(onTime)
}

// ForgetApportioned deletes what Apportioned has set, when the node no longer forms groups.
func (m *Meter) ForgetApportioned() {
	m.neededGroups.Reset()
	m.onTime.Reset()
}

// MoveCause is why a call was moved from a group without events.
type MoveCause string

// The causes.
const (
	MoveVerdict      MoveCause = "verdict"
	MoveReportedLost MoveCause = "reported"
	MoveStalled      MoveCause = "stalled"
	MoveNoFirstEvent MoveCause = "no-first-event"
)

// Moved observes the time without events after which a call was moved from its group.
func (m *Meter) Moved(cause MoveCause, silence time.Duration) {
	m.moveSilence.WithLabelValues(string(cause)).Observe(silence.Seconds())
}

// Suspicion counts a suspicion of a group by the lease holder's verdict. Other verdicts than this
// version's count as unknown (rule M2).
func (m *Meter) Suspicion(verdict garnetworks.Verdict) {
	if verdict != garnetworks.VerdictLost && verdict != garnetworks.VerdictHealthy {
		verdict = garnetworks.VerdictUnknown
	}
	m.suspicions.WithLabelValues(string(verdict)).Inc()
}

// ForgetGroup deletes a group's counters, so that groups that come and go don't grow the
// node's memory (rule M2).
func (m *Meter) ForgetGroup(group garnetworks.GroupID) {
	m.attempts.DeletePartialMatch(prometheus.Labels{"group": string(group)})
}

// LinesDropped sets the number of log lines dropped since the start. It is not safe for
// concurrent use, nor beside SyncTotals.
func (m *Meter) LinesDropped(total uint64) {
	m.syncCounter(m.counters["garnet_log_lines_dropped_total"], "lines", total)
}

// EvacuatedZones sets the number of evacuated availability zones.
func (m *Meter) EvacuatedZones(n int) { m.gauges["garnet_evacuated_zones"].Set(float64(n)) }

// LimitedServers sets the number of servers that name a limit of calls.
func (m *Meter) LimitedServers(n int) { m.gauges["garnet_limited_servers"].Set(float64(n)) }

// QuarantinedContents sets the number of quarantined call contents.
func (m *Meter) QuarantinedContents(n int) { m.gauges["garnet_held_contents"].Set(float64(n)) }

// RegisterRoutingAge exports the time since the routing was last known to be the newest
// one; age is called at each scrape. It must be called at most once.
func (m *Meter) RegisterRoutingAge(age func() time.Duration) {
	const name = "garnet_routing_age_seconds"
	options := prometheus.GaugeOpts{Name: name, Help: m.byName[name].Help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(options, func() float64 { return age().Seconds() }))
}

// Tokens counts tokens delivered to a workspace's callers.
func (m *Meter) Tokens(workspace garnetworks.WorkspaceName, n int) {
	m.tokens.WithLabelValues(string(workspace)).Add(float64(n))
}

// FirstToken observes the time to a call's first token.
func (m *Meter) FirstToken(d time.Duration) { m.firstToken.Observe(d.Seconds()) }

// BetweenTokens observes the mean time between two tokens of an answer.
func (m *Meter) BetweenTokens(d time.Duration) { m.betweenTokens.Observe(d.Seconds()) }

// ManifestGeneration sets the generation of the manifest in force at the node.
func (m *Meter) ManifestGeneration(g garnetworks.Generation) { m.generation.Set(float64(g)) }

// Lease sets whether the node holds the named lease.
func (m *Meter) Lease(name string, held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.lease.WithLabelValues(name).Set(value)
}

// PeerTraffic adds bytes and messages exchanged with other nodes in one direction, "in"
// or "out".
func (m *Meter) PeerTraffic(direction string, bytes, messages uint64) {
	m.peerBytes.WithLabelValues(direction).Add(float64(bytes))
	m.peerCalls.WithLabelValues(direction).Add(float64(messages))
}

// Claims holds a node's claim counters since its start, and its current claim state.
type Claims struct {
	Written, Conflicts, Failed, Forwarded uint64
	Unrecorded, RefusingShards            int
}

// SyncTotals sets counters that other packages keep since their start, and the claim
// gauges. It is not safe for concurrent use, nor beside LinesDropped.
func (m *Meter) SyncTotals(c Claims, overwritten, dropped uint64) {
	for result, total := range map[string]uint64{"written": c.Written, "conflict": c.Conflicts, "failed": c.Failed, "forwarded": c.Forwarded} {
		m.syncCounter(m.claimWrites.WithLabelValues(result), "claims "+result, total)
	}
	m.syncCounter(m.counters["garnet_events_overwritten_total"], "overwritten", overwritten)
	m.syncCounter(m.counters["garnet_probes_dropped_total"], "dropped", dropped)
	m.gauges["garnet_claims_owed"].Set(float64(c.Unrecorded))
	m.gauges["garnet_claim_shards_refusing"].Set(float64(c.RefusingShards))
}

// syncCounter raises a counter by the increase of total since the last call with the name.
func (m *Meter) syncCounter(counter prometheus.Counter, name string, total uint64) {
	if last := m.lastTotals[name]; total > last {
		counter.Add(float64(total - last))
		m.lastTotals[name] = total
	}
}

// ZoneView sets the gauges of one availability zone.
func (m *Meter) ZoneView(view garnetworks.ZoneView) {
	count := make(map[garnetworks.GroupState]int)
	for i := range view.Groups {
		count[view.Groups[i].State]++
	}
	zone := string(view.Zone)
	for _, state := range groupStates {
		m.groups.WithLabelValues(zone, string(state)).Set(float64(count[state]))
	}
	m.measures.WithLabelValues(zone, "group-downtime").Set(view.Metrics.GroupDowntime.Seconds())
	m.measures.WithLabelValues(zone, "stranded").Set(view.Metrics.Stranded.Seconds())
	m.power.WithLabelValues(zone, "drawn").Set(float64(view.Metrics.Drawn))
	m.power.WithLabelValues(zone, "limit").Set(float64(view.Metrics.Limit))
}

var groupStates = []garnetworks.GroupState{
	garnetworks.GroupForming, garnetworks.GroupLoading, garnetworks.GroupServing,
	garnetworks.GroupDraining, garnetworks.GroupBroken,
}

// Recorder returns a recorder that counts events by kind and passes them to next.
func (m *Meter) Recorder(next garnetworks.Recorder) garnetworks.Recorder {
	return &countingRecorder{Recorder: next, events: m.events}
}

type countingRecorder struct {
	garnetworks.Recorder
	events *prometheus.CounterVec
}

// Record implements garnetworks.Recorder.
func (r *countingRecorder) Record(event garnetworks.Event) {
	r.events.WithLabelValues(string(event.Kind)).Inc()
	r.Recorder.Record(event)
}

// Page returns the content of docs/metrics.md (M1).
func Page() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\nEach entry node serves these at `/metrics` of its admin address. The unit is the last word of the name.\n\n")
	b.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, row := range Metrics {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", row.Name, strings.Join(row.Labels, ", "), row.Help)
	}
	return b.String()
}
