package parser

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/keymaker"
)

// Limits of numbers. They are far above what a site needs and prevent overflow in sums
// and products.
const (
	maxNameLength = 63        // bytes
	maxCount      = 1_000_000 // accelerators, groups or concurrent requests
	maxGroupSize  = 1024      // instances
	maxWatts      = 1_000_000_000_000
	maxPriority   = 1_000_000 // no unit
	maxBytes      = 1 << 50
	maxRate       = 1e12 // per second or per day, or a cost weight
	maxHashes     = 8    // key hashes per workspace
	maxDuration   = 24 * time.Hour
	maxTimeout    = time.Hour
)

// methods are the HTTP methods that a call rule may list.
var methods = garnetworks.NewSet("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

// checker holds the state shared by the checks of one manifest.
type checker struct {
	*diagnostics
	manifest *garnetworks.Manifest
	classes  map[string]garnetworks.InstanceClass
	models   garnetworks.Set[garnetworks.ModelName]
	services garnetworks.Set[garnetworks.ServiceName]
}

// check reports invalid values of a manifest (rules P6 to P8).
func check(d *diagnostics, manifest *garnetworks.Manifest, fleet []garnetworks.ListedInstance) {
	if d.unreadable[""] {
		return
	}
	c := &checker{
		diagnostics: d,
		manifest:    manifest,
		classes:     map[string]garnetworks.InstanceClass{},
		models:      garnetworks.NewSet[garnetworks.ModelName](),
		services:    garnetworks.NewSet[garnetworks.ServiceName](),
	}
	if manifest.Format < 1 {
		c.report("format", "must be %d", garnetworks.ManifestFormat)
	}
	c.site()
	for i, m := range manifest.Models {
		c.model(fmt.Sprintf("models[%d]", i), m)
	}
	for i, s := range manifest.Services {
		c.service(fmt.Sprintf("services[%d]", i), s)
	}
	c.workspaces()
	c.power()
	c.fleet(fleet)
	c.size()
}

// isKebabCase reports whether name consists of lower-case letters and digits, with
// single hyphens between them.
func isKebabCase(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for part := range strings.SplitSeq(name, "-") {
		if part == "" || strings.Trim(part, "abcdefghijklmnopqrstuvwxyz0123456789") != "" {
			return false
		}
	}
	return true
}

// name checks that a name is in kebab case.
func (c *checker) name(path, name string) {
	if !isKebabCase(name) {
		c.report(path, "%q is not a name in kebab case of at most %d letters, digits and hyphens", shorten(name), maxNameLength)
	}
}

// version checks the name of an adapter or version, which may also contain dots.
func (c *checker) version(path, name string) {
	if !isKebabCase(strings.ReplaceAll(name, ".", "-")) {
		c.report(path, "%q is not a name of at most %d lower-case letters, digits, hyphens and dots", shorten(name), maxNameLength)
	}
}

// count checks that a number is between low and high.
func (c *checker) count(path string, value, low, high int64) {
	if value < low || value > high {
		c.report(path, "must be between %d and %d, not %d", low, high, value)
	}
}

// rate checks that a number is finite, not negative and at most maxRate.
func (c *checker) rate(path string, value float64) {
	if !(value >= 0 && value <= maxRate) {
		c.report(path, "must be between 0 and %g, not %g", maxRate, value)
	}
}

// duration checks that a duration is between low and high.
func (c *checker) duration(path string, value, low, high time.Duration) {
	if value < low || value > high {
		c.report(path, "must be between %v and %v, not %v", low, high, value)
	}
}

// unique reports names that an earlier entry of the list has.
func unique[T ~string](c *checker, list string, names []T, suffix string) {
	first := map[T]int{}
	for i, n := range names {
		at := fmt.Sprintf("%s[%d]%s", list, i, suffix)
		if c.isUnreadable(at) {
			continue
		}
		if j, duplicate := first[n]; duplicate {
			c.report(at, "%q stands twice; first as %s[%d]", shorten(string(n)), list, j)
			continue
		}
		first[n] = i
	}
}

func (c *checker) site() {
	s := c.manifest.Site
	c.name("site.name", s.Name)
	c.count("site.power-cap-watts", int64(s.PowerCap), 1, maxWatts)
	c.zones(s.Zones)
	c.instanceClasses(s.Classes)
	c.rate("site.weights.group-downtime", s.CostWeights.GroupDowntime)
	c.rate("site.weights.stranded", s.CostWeights.Stranded)
	if s.CostWeights.GroupDowntime == 0 && s.CostWeights.Stranded == 0 && !c.isPartlyUnreadable("site.weights") {
		c.report("site.weights", "one of group-downtime and stranded must be above 0")
	}
	c.duration("site.grace.drain", s.Grace.Drain, time.Millisecond, maxDuration)
	c.duration("site.grace.shed", s.Grace.Shed, 0, maxDuration)
}

func (c *checker) zones(zones []garnetworks.ZoneSpec) {
	const path = "site.zones"
	included := 0
	list := make([]garnetworks.ZoneID, len(zones))
	for i, z := range zones {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.name(at+".name", string(z.Name))
		c.name(at+".region", string(z.Region))
		list[i] = z.Name
		if !z.Excluded {
			included++
		}
	}
	unique(c, path, list, ".name")
	if len(zones) == 0 {
		c.report(path, "must name at least one zone")
	}
	if len(zones) > 0 && included == 0 {
		c.report(path, "at least one zone must not be left out, or nobody would confirm the manifest")
	}
}

func (c *checker) instanceClasses(classes []garnetworks.InstanceClass) {
	const path = "site.instance-classes"
	list := make([]string, len(classes))
	for i, k := range classes {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.name(at+".name", k.Name)
		c.count(at+".watts", int64(k.Watts), 1, maxWatts)
		c.count(at+".accelerators", int64(k.Accelerators), 0, maxCount)
		c.duration(at+".boot-time", k.BootTime, 0, maxDuration)
		c.rate(at+".failures-per-day", k.FailuresPerDay)
		c.rate(at+".restarts-per-day", k.RestartsPerDay)
		list[i] = k.Name
		c.classes[k.Name] = k
	}
	unique(c, path, list, ".name")
	if len(classes) == 0 {
		c.report(path, "must name at least one class of instances")
	}
}

// class returns the named instance class and reports a reference to an unknown one.
func (c *checker) class(path, name string) (garnetworks.InstanceClass, bool) {
	k, ok := c.classes[name]
	if !ok && !c.hasUnreadableNames("site.instance-classes") {
		c.report(path, "there is no instance class %q in site.instance-classes", shorten(name))
	}
	return k, ok
}

func (c *checker) model(at string, m garnetworks.ModelSpec) {
	c.name(at+".name", string(m.Name))
	if c.models.Has(m.Name) {
		c.report(at+".name", "%q stands twice in models", shorten(string(m.Name)))
	}
	c.models.Add(m.Name)
	c.version(at+".version", string(m.Version))
	c.count(at+".weight-bytes", m.WeightBytes, 1, maxBytes)
	for i, a := range m.Adapters {
		c.version(fmt.Sprintf("%s.adapters[%d]", at, i), string(a))
	}
	unique(c, at+".adapters", m.Adapters, "")
	c.count(at+".group-size", int64(m.GroupSize), 1, maxGroupSize)
	c.count(at+".min-groups", int64(m.MinGroups), 0, maxCount)
	c.count(at+".max-groups", int64(m.MaxGroups), 0, maxCount)
	if m.MaxGroups < m.MinGroups && !c.isUnreadable(at+".min-groups") {
		c.report(at+".max-groups", "must be at least min-groups, %d, not %d", m.MinGroups, m.MaxGroups)
	}
	c.count(at+".priority", int64(m.Priority), 0, maxPriority)
	if k, ok := c.class(at+".instance-class", m.Class); ok && k.Accelerators == 0 {
		c.report(at+".instance-class", "instances of class %q have no accelerators, which a model needs", shorten(m.Class))
	}
}

func (c *checker) service(at string, s garnetworks.ServiceSpec) {
	c.name(at+".name", string(s.Name))
	if c.services.Has(s.Name) {
		c.report(at+".name", "%q stands twice in services", shorten(string(s.Name)))
	}
	c.services.Add(s.Name)
	c.class(at+".instance-class", s.Class)
	c.duration(at+".timeout", s.Timeout, time.Millisecond, maxTimeout)
	for i, call := range s.Calls {
		c.call(fmt.Sprintf("%s.calls[%d]", at, i), call)
		c.checkShadowed(at, s.Calls, i)
	}
}

func (c *checker) call(at string, call garnetworks.ServiceCallSpec) {
	if !strings.HasPrefix(call.PathPrefix, "/") {
		c.report(at+".path-prefix", "must begin with /, not %q", shorten(call.PathPrefix))
	}
	for i, m := range call.Methods {
		if !methods.Has(m) {
			c.report(fmt.Sprintf("%s.methods[%d]", at, i), "%q is not one of %s", shorten(m), strings.Join(garnetworks.Sorted(methods), ", "))
		}
	}
	unique(c, at+".methods", call.Methods, "")
}

// checkShadowed reports a call rule that never applies because an earlier one matches
// all of its calls. Failure: an idempotent rule shadows one that is not, and calls
// are sent twice.
func (c *checker) checkShadowed(at string, calls []garnetworks.ServiceCallSpec, i int) {
	later := calls[i]
	path := fmt.Sprintf("%s.calls[%d]", at, i)
	for j, earlier := range calls[:i] {
		if c.isPartlyUnreadable(path) || c.isPartlyUnreadable(fmt.Sprintf("%s.calls[%d]", at, j)) {
			continue
		}
		if covers(earlier, later) {
			c.report(path, "calls[%d] matches all of its calls, so it never decides; put it first", j)
			return
		}
	}
}

// covers reports whether the earlier rule matches every call that the later one
// matches.
func covers(earlier, later garnetworks.ServiceCallSpec) bool {
	if !strings.HasPrefix(later.PathPrefix, earlier.PathPrefix) {
		return false
	}
	if len(earlier.Methods) == 0 {
		return true
	}
	if len(later.Methods) == 0 {
		return false
	}
	for _, m := range later.Methods {
		if !slices.Contains(earlier.Methods, m) {
			return false
		}
	}
	return true
}

func (c *checker) workspaces() {
	list := make([]garnetworks.WorkspaceName, len(c.manifest.Workspaces))
	owners := map[string]string{}
	for i, w := range c.manifest.Workspaces {
		at := fmt.Sprintf("workspaces[%d]", i)
		list[i] = w.Name
		c.workspace(at, w)
		c.hashes(at, w.KeyHashes, owners)
	}
	unique(c, "workspaces", list, ".name")
}

func (c *checker) workspace(at string, w garnetworks.WorkspaceSpec) {
	c.name(at+".name", string(w.Name))
	for i, m := range w.Models {
		if !c.models.Has(m) && !c.hasUnreadableNames("models") {
			c.report(fmt.Sprintf("%s.models[%d]", at, i), "there is no model %q in models", shorten(string(m)))
		}
	}
	unique(c, at+".models", w.Models, "")
	for i, s := range w.Services {
		if !c.services.Has(s) && !c.hasUnreadableNames("services") {
			c.report(fmt.Sprintf("%s.services[%d]", at, i), "there is no service %q in services", shorten(string(s)))
		}
	}
	unique(c, at+".services", w.Services, "")
	c.count(at+".priority", int64(w.Priority), 0, maxPriority)
	c.rate(at+".limits.requests-per-second", w.Limits.RequestsPerSecond)
	c.rate(at+".limits.tokens-per-second", w.Limits.TokensPerSecond)
	c.count(at+".limits.concurrency", int64(w.Limits.Concurrency), 0, maxCount)
	c.duration(at+".deadline.first-token", w.Deadline.FirstToken, 0, maxDuration)
	c.duration(at+".deadline.total", w.Deadline.Total, 0, maxDuration)
	if w.Deadline.Total > 0 && w.Deadline.Total < w.Deadline.FirstToken {
		c.report(at+".deadline.total", "must be at least first-token, %v, not %v", w.Deadline.FirstToken, w.Deadline.Total)
	}
}

// hashes reports malformed and duplicate hashes. A key of two workspaces would
// authenticate the callers of one as the other.
func (c *checker) hashes(at string, hashes []string, owners map[string]string) {
	if len(hashes) == 0 || len(hashes) > maxHashes {
		c.report(at+".key-hashes", "must hold 1 to %d hashes, not %d", maxHashes, len(hashes))
	}
	for i, h := range hashes {
		path := fmt.Sprintf("%s.key-hashes[%d]", at, i)
		if err := keymaker.CheckHash(h); err != nil {
			c.report(path, "%s", errorDetail(err))
			continue
		}
		if owner, duplicate := owners[h]; duplicate {
			c.report(path, "the hash stands twice; first as %s", owner)
			continue
		}
		owners[h] = path
	}
}

// groupWatts returns the power draw of one group of the model, or false if the
// model's or its class's values are invalid.
func (c *checker) groupWatts(i int) (garnetworks.Watts, bool) {
	m := c.manifest.Models[i]
	at := fmt.Sprintf("models[%d]", i)
	k, ok := c.classes[m.Class]
	if !ok || c.isPartlyUnreadable(at) || c.isPartlyUnreadable("site.instance-classes") || m.GroupSize > maxGroupSize || k.Watts > maxWatts {
		return 0, false
	}
	return k.Watts * garnetworks.Watts(m.GroupSize), true
}

// power reports a power cap below the draw of a single group that is wanted.
func (c *checker) power() {
	limit := c.manifest.Site.PowerCap
	if limit < 1 || c.isUnreadable("site.power-cap-watts") {
		return
	}
	topPriority := math.MinInt
	for _, m := range c.manifest.Models {
		if m.MaxGroups > 0 {
			topPriority = max(topPriority, m.Priority)
		}
	}
	for i, m := range c.manifest.Models {
		watts, ok := c.groupWatts(i)
		if !ok || watts <= limit || m.MaxGroups == 0 {
			continue
		}
		if m.Priority == topPriority {
			c.report("site.power-cap-watts", "%d W is below one group of model %q, which has the top priority and draws %d W", limit, m.Name, watts)
			continue
		}
		c.report(fmt.Sprintf("models[%d].group-size", i), "one group draws %d W, above the cap of %d W, so none can ever serve", watts, limit)
	}
}

// fleet reports models whose group does not fit into any fabric domain.
func (c *checker) fleet(fleet []garnetworks.ListedInstance) {
	if len(fleet) == 0 {
		return
	}
	type key struct {
		domain garnetworks.DomainID
		class  string
	}
	sizes := map[key]int{}
	largest := map[string]int{}
	for _, row := range fleet {
		k := key{row.Domain, row.Class}
		sizes[k]++
		largest[row.Class] = max(largest[row.Class], sizes[k])
	}
	for i, m := range c.manifest.Models {
		at := fmt.Sprintf("models[%d].group-size", i)
		if m.MaxGroups > 0 && m.GroupSize > largest[m.Class] {
			c.report(at, "a group needs %d instances of class %q in one fabric domain, and the largest has %d", m.GroupSize, m.Class, largest[m.Class])
		}
	}
}

// size reports a manifest that is too large for one object (rule P8).
func (c *checker) size() {
	body, err := Encode(c.manifest)
	if err != nil {
		c.report("", "%s", errorDetail(err))
		return
	}
	if len(body) > MaxManifestBytes {
		c.report("", "the manifest has %d bytes when stored; at most %d fit into the object API", len(body), MaxManifestBytes)
	}
}

// errorDetail returns the text of an error without its kind.
func errorDetail(err error) string {
	_, text, found := strings.Cut(err.Error(), ": ")
	if !found {
		return err.Error()
	}
	return text
}
