package parser

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// ChangeKind says whether a value was added, removed or changed.
type ChangeKind string

// Kinds of change.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// Effect is the effect of a change on running work.
type Effect string

// Effects of changes.
const (
	// EffectNone changes do not affect running work.
	EffectNone Effect = ""
	// EffectLoads changes load weights or adapters.
	EffectLoads Effect = "loads"
	// EffectDrains changes drain groups or stop accepting calls.
	EffectDrains Effect = "drains"
	// EffectPower changes turn instances on or off.
	EffectPower Effect = "power"
	// EffectRefuses changes refuse calls that were accepted before.
	EffectRefuses Effect = "refuses"
	// EffectRepeats changes alter which calls may be retried.
	EffectRepeats Effect = "repeats"
	// EffectTrust changes alter the assumptions on which safety depends.
	EffectTrust Effect = "trust"
)

// Change is a difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path is made of the names of the enclosing entries, such as
	// models/field-brief/version.
	Path string `json:"path"`
	// Old and New are empty where the value does not exist.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Effect and Note describe the effect on running work; both are empty if there
	// is none.
	Effect Effect `json:"effect,omitempty"`
	Note   string `json:"note,omitempty"`
}

// Diff returns the differences between two manifests, in the order of the manifest's
// parts and, within a part, by name. A nil manifest counts as an empty one.
func Diff(before, after *garnetworks.Manifest) []Change {
	if before == nil {
		before = &garnetworks.Manifest{}
	}
	if after == nil {
		after = &garnetworks.Manifest{}
	}
	d := &differ{before: before, after: after}
	d.site()
	diffNamed(d, "models", before.Models, after.Models, modelName, d.model)
	diffNamed(d, "workspaces", before.Workspaces, after.Workspaces, workspaceName, d.workspace)
	diffNamed(d, "services", before.Services, after.Services, serviceName, d.service)
	return d.changes
}

func modelName(m garnetworks.ModelSpec) string         { return string(m.Name) }
func workspaceName(w garnetworks.WorkspaceSpec) string { return string(w.Name) }
func serviceName(s garnetworks.ServiceSpec) string     { return string(s.Name) }
func zoneName(z garnetworks.ZoneSpec) string           { return string(z.Name) }
func className(k garnetworks.InstanceClass) string     { return k.Name }

// differ collects the changes between two manifests.
type differ struct {
	before, after *garnetworks.Manifest
	changes       []Change
}

// note describes the effect of a change on running work.
type note struct {
	effect Effect
	text   string
}

func (d *differ) add(kind ChangeKind, path, before, after string, n note) {
	d.changes = append(d.changes, Change{Kind: kind, Path: path, Old: before, New: after, Effect: n.effect, Note: n.text})
}

// value records a change of a single value.
func (d *differ) value(path string, before, after any, n note) {
	if !reflect.DeepEqual(before, after) {
		d.add(ChangeChanged, path, fmt.Sprint(before), fmt.Sprint(after), n)
	}
}

// diffList records the entries added to and removed from a list.
func diffList[T cmp.Ordered](d *differ, path string, before, after []T, added, removed note) {
	old, updated := garnetworks.NewSet(before...), garnetworks.NewSet(after...)
	for _, v := range garnetworks.Sorted(old) {
		if !updated.Has(v) {
			d.add(ChangeRemoved, path, fmt.Sprint(v), "", removed)
		}
	}
	for _, v := range garnetworks.Sorted(updated) {
		if !old.Has(v) {
			d.add(ChangeAdded, path, "", fmt.Sprint(v), added)
		}
	}
}

// diffNamed pairs the entries of two lists by name and calls compare for each pair; nil
// stands for an entry that does not exist.
func diffNamed[T any](d *differ, part string, before, after []T, name func(T) string, compare func(path string, before, after *T)) {
	old, updated := map[string]*T{}, map[string]*T{}
	for i := range before {
		old[name(before[i])] = &before[i]
	}
	for i := range after {
		updated[name(after[i])] = &after[i]
	}
	all := maps.Clone(old)
	maps.Copy(all, updated)
	for _, n := range slices.Sorted(maps.Keys(all)) {
		compare(part+"/"+n, old[n], updated[n])
	}
}

func (d *differ) site() {
	old, updated := d.before.Site, d.after.Site
	d.value("format", d.before.Format, d.after.Format, note{})
	d.value("site/name", old.Name, updated.Name, note{})
	d.value("site/power-cap-watts", old.PowerCap, updated.PowerCap, capNote(old.PowerCap, updated.PowerCap))
	diffNamed(d, "site/zones", old.Zones, updated.Zones, zoneName, d.zone)
	diffNamed(d, "site/instance-classes", old.Classes, updated.Classes, className, d.class)
	d.value("site/weights/group-downtime", old.CostWeights.GroupDowntime, updated.CostWeights.GroupDowntime, note{})
	d.value("site/weights/stranded", old.CostWeights.Stranded, updated.CostWeights.Stranded, note{})
	d.value("site/grace/drain", old.Grace.Drain, updated.Grace.Drain, note{})
	d.value("site/grace/shed", old.Grace.Shed, updated.Grace.Shed, note{})
}

func capNote(before, after garnetworks.Watts) note {
	if before == 0 || after >= before {
		return note{EffectPower, "more instances may be powered"}
	}
	return note{EffectDrains, fmt.Sprintf("groups of low priority drain until the draw is %d W lower or under the cap", before-after)}
}

func (d *differ) zone(path string, before, after *garnetworks.ZoneSpec) {
	switch {
	case before == nil:
		d.add(ChangeAdded, path, "", string(after.Region), note{EffectTrust, "every commit now waits for the zone's nodes"})
	case after == nil:
		d.add(ChangeRemoved, path, string(before.Region), "", note{EffectDrains, "the zone's groups drain and its nodes are no longer waited for"})
	default:
		d.value(path+"/region", before.Region, after.Region, note{})
		d.value(path+"/left-out", before.Excluded, after.Excluded, excludedNote(after.Excluded))
	}
}

func excludedNote(excluded bool) note {
	if excluded {
		return note{EffectTrust, "commits no longer wait for the zone; it serves on by its last manifest until it is back"}
	}
	return note{EffectTrust, "commits wait for the zone again"}
}

func (d *differ) class(path string, before, after *garnetworks.InstanceClass) {
	switch {
	case before == nil:
		d.add(ChangeAdded, path, "", fmt.Sprintf("%d W, %d accelerators", after.Watts, after.Accelerators), note{})
	case after == nil:
		d.add(ChangeRemoved, path, fmt.Sprintf("%d W, %d accelerators", before.Watts, before.Accelerators), "",
			note{EffectDrains, "instances of the class are no longer used"})
	default:
		d.value(path+"/watts", before.Watts, after.Watts, note{EffectPower, "every powered instance of the class is counted anew"})
		d.value(path+"/accelerators", before.Accelerators, after.Accelerators, note{})
		d.value(path+"/checks-fencing", before.ChecksFencing, after.ChecksFencing, fencingNote(after.ChecksFencing))
		d.value(path+"/boot-time", before.BootTime, after.BootTime, note{})
		d.value(path+"/failures-per-day", before.FailuresPerDay, after.FailuresPerDay, note{})
		d.value(path+"/restarts-per-day", before.RestartsPerDay, after.RestartsPerDay, note{})
	}
}

func fencingNote(checks bool) note {
	if checks {
		return note{EffectTrust, "the instances are relied on to refuse old fencing tokens; make sure that they do"}
	}
	return note{EffectTrust, "the system waits out old orders itself, which makes re-forming groups slower"}
}

func (d *differ) model(path string, before, after *garnetworks.ModelSpec) {
	switch {
	case before == nil:
		d.add(ChangeAdded, path, "", describeModel(after), note{EffectLoads, loadText(after)})
	case after == nil:
		d.add(ChangeRemoved, path, describeModel(before), "", note{EffectDrains, fmt.Sprintf("up to %d groups drain", before.MaxGroups)})
	default:
		d.modelValues(path, before, after)
	}
}

func describeModel(m *garnetworks.ModelSpec) string {
	return fmt.Sprintf("version %s, %d to %d groups of %d", m.Version, m.MinGroups, m.MaxGroups, m.GroupSize)
}

func loadText(m *garnetworks.ModelSpec) string {
	return fmt.Sprintf("up to %d groups load %d bytes on each of %d instances", m.MaxGroups, m.WeightBytes, m.GroupSize)
}

func (d *differ) modelValues(path string, before, after *garnetworks.ModelSpec) {
	replaced := note{EffectDrains, loadText(after) + "; each old group drains once its successor serves"}
	d.value(path+"/version", before.Version, after.Version, replaced)
	d.value(path+"/weight-bytes", before.WeightBytes, after.WeightBytes, note{})
	diffList(d, path+"/adapters", before.Adapters, after.Adapters,
		note{EffectLoads, "the groups load the adapter while they serve"}, note{EffectRefuses, "calls for the adapter are refused"})
	d.value(path+"/group-size", before.GroupSize, after.GroupSize, replaced)
	d.value(path+"/instance-class", before.Class, after.Class, replaced)
	d.value(path+"/min-groups", before.MinGroups, after.MinGroups, groupsNote(before.MinGroups, after.MinGroups, after, note{}))
	d.value(path+"/max-groups", before.MaxGroups, after.MaxGroups, groupsNote(before.MaxGroups, after.MaxGroups, after,
		note{EffectDrains, fmt.Sprintf("up to %d groups drain", before.MaxGroups-after.MaxGroups)}))
	d.value(path+"/priority", before.Priority, after.Priority, note{EffectPower, "under a tight cap other models' groups may give way, or this one's"})
}

func groupsNote(before, after int, m *garnetworks.ModelSpec, fewer note) note {
	if after <= before {
		return fewer
	}
	return note{EffectLoads, fmt.Sprintf("up to %d more groups load %d bytes on each of %d instances", after-before, m.WeightBytes, m.GroupSize)}
}

func (d *differ) workspace(path string, before, after *garnetworks.WorkspaceSpec) {
	switch {
	case before == nil:
		d.add(ChangeAdded, path, "", fmt.Sprintf("%d keys, priority %d", len(after.KeyHashes), after.Priority), note{})
	case after == nil:
		d.add(ChangeRemoved, path, fmt.Sprintf("%d keys, priority %d", len(before.KeyHashes), before.Priority), "",
			note{EffectRefuses, "all its calls are refused"})
	default:
		d.workspaceValues(path, before, after)
	}
}

func (d *differ) workspaceValues(path string, before, after *garnetworks.WorkspaceSpec) {
	diffList(d, path+"/key-hashes", before.KeyHashes, after.KeyHashes, note{}, note{EffectRefuses, "calls with the old key are refused"})
	diffList(d, path+"/models", before.Models, after.Models, note{}, note{EffectRefuses, "its calls to the model are refused"})
	diffList(d, path+"/services", before.Services, after.Services, note{}, note{EffectRefuses, "its calls to the service are refused"})
	d.value(path+"/priority", before.Priority, after.Priority, note{})
	old, updated := before.Limits, after.Limits
	d.value(path+"/limits/requests-per-second", old.RequestsPerSecond, updated.RequestsPerSecond, limitNote(old.RequestsPerSecond, updated.RequestsPerSecond))
	d.value(path+"/limits/tokens-per-second", old.TokensPerSecond, updated.TokensPerSecond, limitNote(old.TokensPerSecond, updated.TokensPerSecond))
	d.value(path+"/limits/concurrency", old.Concurrency, updated.Concurrency, limitNote(float64(old.Concurrency), float64(updated.Concurrency)))
	d.value(path+"/deadline/first-token", before.Deadline.FirstToken, after.Deadline.FirstToken, note{})
	d.value(path+"/deadline/total", before.Deadline.Total, after.Deadline.Total, note{})
}

// limitNote warns of a lower limit; 0 means unlimited.
func limitNote(before, after float64) note {
	if after > 0 && (before == 0 || after < before) {
		return note{EffectRefuses, "calls above the new limit are refused"}
	}
	return note{}
}

func (d *differ) service(path string, before, after *garnetworks.ServiceSpec) {
	switch {
	case before == nil:
		d.add(ChangeAdded, path, "", fmt.Sprintf("%d call rules", len(after.Calls)), note{})
	case after == nil:
		d.add(ChangeRemoved, path, fmt.Sprintf("%d call rules", len(before.Calls)), "", note{EffectRefuses, "all calls to it are refused"})
	default:
		d.value(path+"/instance-class", before.Class, after.Class, note{EffectDrains, "its backend servers change"})
		d.value(path+"/timeout", before.Timeout, after.Timeout, note{})
		if !reflect.DeepEqual(before.Calls, after.Calls) {
			d.add(ChangeChanged, path+"/calls", describeCalls(before.Calls), describeCalls(after.Calls),
				note{EffectRepeats, "check that every call that may not be repeated is still marked so"})
		}
	}
}

// describeCalls formats call rules on one line.
func describeCalls(calls []garnetworks.ServiceCallSpec) string {
	text := ""
	for i, c := range calls {
		if i > 0 {
			text += "; "
		}
		method := "any method"
		if len(c.Methods) > 0 {
			method = fmt.Sprint(c.Methods)
		}
		word := "once"
		if c.Idempotent {
			word = "repeatable"
		}
		if c.KeyRequired {
			word += " with key"
		}
		text += fmt.Sprintf("%s %s %s", method, c.PathPrefix, word)
	}
	return text
}
