package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Upper bounds of the flags.
const (
	maxDuration = time.Hour
	maxCount    = 10_000_000 // calls
	maxRate     = 100_000    // calls per second
)

// class says where a call goes; results are reported by class.
type class string

const (
	classGateway class = "model calls"
	classDirect  class = "direct to engine"
	classService class = "service calls"
)

// job is one call of the plan.
type job struct {
	number int
	// due is the offset from the start at which the call is to be sent.
	due    time.Duration
	class  class
	url    string
	key    string
	model  string
	prompt string
	// idempotencyKey is empty for calls without one. body is set for calls to the plain service
	// only.
	idempotencyKey string
	body           string
}

// plan generates the calls one after the other. It does no I/O, and the same flags generate
// the same calls.
type plan struct {
	flags
	random  *rand.Rand
	keys    weightedChoice
	models  weightedChoice
	prefix  []string
	sent    int
	elapsed float64
	// keyed counts the distinct calls to the plain service.
	keyed  int
	direct bool
}

func newPlan(f flags) (*plan, error) {
	if err := f.check(); err != nil {
		return nil, err
	}
	keys, err := parseWeightedChoice("--key", f.Key)
	if err != nil {
		return nil, err
	}
	models, err := parseWeightedChoice("--model", f.Model)
	if err != nil {
		return nil, err
	}
	p := &plan{flags: f, random: rand.New(rand.NewPCG(f.Seed, f.Seed)), keys: keys, models: models}
	for i := range f.Prefixes {
		p.prefix = append(p.prefix, fill(fmt.Sprintf("prefix %d of run %d: ", i, f.Seed), f.PrefixBytes))
	}
	return p, nil
}

// check returns an error for the first invalid flag or address.
func (f flags) check() error {
	bounds := []struct {
		name     string
		value    float64
		from, to float64
	}{
		{"--rate", f.Rate, 0.01, maxRate},
		{"--duration", f.Duration.Seconds(), 0.001, maxDuration.Seconds()},
		{"--count", float64(f.Count), 0, maxCount},
		{"--prefixes", float64(f.Prefixes), 0, 1 << 20},
		{"--prefix-bytes", float64(f.PrefixBytes), 0, 1 << 20},
		{"--prompt-bytes", float64(f.PromptBytes), 1, 1 << 20},
		{"--max-tokens", float64(f.MaxTokens), 1, 1 << 20},
		{"--service-share", f.ServiceShare, 0, 1},
		{"--repeat", f.Repeat, 0, 1},
		{"--timeout", f.Timeout.Seconds(), 0.001, maxDuration.Seconds()},
		{"--max-in-flight", float64(f.MaxInFlight), 1, 1 << 20},
		{"--crowd-bytes", float64(f.CrowdBytes), 0, 1 << 24},
		{"--crowd-field-bytes", float64(f.CrowdFieldBytes), 0, 1 << 20},
		{"--crowd-pace", f.CrowdPace.Seconds(), 0, maxDuration.Seconds()},
	}
	for _, b := range bounds {
		if math.IsNaN(b.value) || b.value < b.from || b.value > b.to {
			return errors.Errorf("%s: bad value %v; allowed: %v to %v", b.name, b.value, b.from, b.to)
		}
	}
	addresses := append([]string(nil), f.URL...)
	if len(f.Crowd) > 0 && f.CrowdHold <= 0 {
		return errors.Errorf("--crowd-hold: bad value %v; allowed: above 0", f.CrowdHold)
	}
	for _, control := range append([]string{f.Direct, f.Executions}, f.CrowdAddress...) {
		if control != "" {
			addresses = append(addresses, "http://"+control)
		}
	}
	for _, address := range addresses {
		if err := f.checkAddress(address); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress rejects addresses other than loopback ones unless --allow-remote is set, so
// that no load is sent to other people's machines by mistake.
func (f flags) checkAddress(address string) error {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return errors.Errorf("bad address %q; allowed: a base URL such as http://127.0.0.1:8080", address)
	}
	ip := net.ParseIP(u.Hostname())
	if !f.AllowRemote && (ip == nil || !ip.IsLoopback()) {
		return errors.Errorf("address %q is not a loopback one; allowed: a loopback address, or --allow-remote", address)
	}
	return nil
}

// next returns the next call, or false at the end of the plan.
func (p *plan) next() (job, bool) {
	p.elapsed += p.arrivalInterval()
	due := time.Duration(p.elapsed * float64(time.Second))
	if due > p.Duration || p.sent >= p.limit() {
		return job{}, false
	}
	j := job{number: p.sent, due: due, url: p.URL[p.sent%len(p.URL)], key: p.keys.pick(p.random)}
	p.sent++
	if p.random.Float64() < p.ServiceShare {
		p.makeServiceCall(&j)
		return j, true
	}
	j.class = classGateway
	if p.Direct != "" {
		p.direct = !p.direct
	}
	if p.direct {
		j.class = classDirect
	}
	j.model = p.models.pick(p.random)
	j.prompt = p.makePrompt(j.number)
	return j, true
}

func (p *plan) limit() int {
	if p.Count == 0 {
		return maxCount
	}
	return p.Count
}

// arrivalInterval returns the seconds between two calls. Calls of independent callers arrive as
// a Poisson process, whose intervals are exponentially distributed.
func (p *plan) arrivalInterval() float64 {
	if p.Arrivals == "constant" {
		return 1 / p.Rate
	}
	return p.random.ExpFloat64() / p.Rate
}

func (p *plan) makePrompt(number int) string {
	unique := fill(fmt.Sprintf("call %d of run %d: ", number, p.Seed), p.PromptBytes)
	if len(p.prefix) == 0 {
		return unique
	}
	return p.prefix[p.random.IntN(len(p.prefix))] + unique
}

// makeServiceCall makes the job a call to the plain service, possibly a repeated one.
func (p *plan) makeServiceCall(j *job) {
	j.class = classService
	number := p.keyed
	if p.keyed > 0 && p.random.Float64() < p.Repeat {
		number = p.random.IntN(p.keyed)
	} else {
		p.keyed++
	}
	j.body = fmt.Sprintf(`{"visit":%d,"run":%d}`, number, p.Seed)
	if !p.Unkeyed {
		j.idempotencyKey = fmt.Sprintf("run-%d-visit-%d", p.Seed, number)
	}
}

// fill repeats text and cuts it to length bytes.
func fill(text string, length int) string {
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// weightedChoice picks values at random in proportion to their weights.
type weightedChoice struct {
	values  []string
	weights []float64
	sum     float64
}

// parseWeightedChoice parses texts of the form value or value=weight; name is the flag's name.
func parseWeightedChoice(name string, texts []string) (weightedChoice, error) {
	var m weightedChoice
	for _, text := range texts {
		value, weight := text, 1.0
		if i := strings.LastIndexByte(text, '='); i >= 0 {
			w, err := strconv.ParseFloat(text[i+1:], 64)
			if err != nil || !(w > 0) || math.IsInf(w, 0) {
				return weightedChoice{}, errors.Errorf("%s: bad weight in %q; allowed: a number above 0", name, text)
			}
			value, weight = text[:i], w
		}
		if value == "" {
			return weightedChoice{}, errors.Errorf("%s: empty value; allowed: a value, or value=weight", name)
		}
		m.values = append(m.values, value)
		m.weights = append(m.weights, weight)
		m.sum += weight
	}
	return m, nil
}

func (m weightedChoice) pick(random *rand.Rand) string {
	if len(m.values) == 1 {
		return m.values[0]
	}
	at := random.Float64() * m.sum
	for i, weight := range m.weights {
		if at < weight {
			return m.values[i]
		}
		at -= weight
	}
	return m.values[len(m.values)-1]
}
