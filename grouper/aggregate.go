package grouper

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/garnetworks/garnetworks"
)

// Urgency is how soon a change must be written.
type Urgency int

const (
	// Unchanged means that there is nothing to write.
	Unchanged Urgency = iota
	// Soft changes repeat what instances report (loading, serving, weights). A new lease
	// holder observes them again, so they can wait for the next write.
	Soft
	// Hard changes are decisions: they are written before any order is sent.
	Hard
)

// Aggregate is a private copy of a fabric domain that a decision changes.
type Aggregate struct {
	domain  garnetworks.FabricDomain
	urgency Urgency
	events  []garnetworks.Event
}

// Open copies the domain for a writer of the given term (D1).
func Open(domain *garnetworks.FabricDomain, term uint32) (*Aggregate, error) {
	if term == 0 || term < domain.Term {
		return nil, garnetworks.Errorf(garnetworks.KindStaleToken, "domain %s was written under term %d, which is above %d", domain.ID, domain.Term, term)
	}
	a := &Aggregate{domain: Clone(domain)}
	if term > domain.Term {
		a.domain.Term = term
		a.domain.Sequence = 0
		a.raise(Hard)
	}
	return a, nil
}

// Clone returns a copy that shares neither instances nor groups with the domain. Slices within
// these are shared; the package replaces them and never changes them in place.
func Clone(domain *garnetworks.FabricDomain) garnetworks.FabricDomain {
	d := *domain
	d.Instances = slices.Clone(domain.Instances)
	d.Groups = slices.Clone(domain.Groups)
	return d
}

// Domain returns the domain with the changes made so far. The caller must not change it
// while it uses the aggregate.
func (a *Aggregate) Domain() *garnetworks.FabricDomain { return &a.domain }

// Urgency returns how soon the domain must be written.
func (a *Aggregate) Urgency() Urgency { return a.urgency }

// Events returns the events of the transitions made.
func (a *Aggregate) Events() []garnetworks.Event { return a.events }

func (a *Aggregate) raise(u Urgency) { a.urgency = max(a.urgency, u) }

func (a *Aggregate) record(kind garnetworks.EventKind, group garnetworks.GroupID, instance garnetworks.InstanceID, format string, args ...any) {
	a.events = append(a.events, garnetworks.Event{
		Kind:     kind,
		Zone:     a.domain.Zone,
		Group:    group,
		Instance: instance,
		Detail:   fmt.Sprintf(format, args...),
	})
}

// nextToken issues the next token (D2).
func (a *Aggregate) nextToken() garnetworks.FencingToken {
	a.domain.Sequence++
	a.raise(Hard)
	return garnetworks.NewFencingToken(a.domain.Term, a.domain.Sequence)
}

// SkipSequence makes the next token greater than token, which an engine reports though the
// domain never recorded it. It returns false if the token's term is higher than the writer's,
// which means that another lease holder has taken over.
func (a *Aggregate) SkipSequence(token garnetworks.FencingToken) bool {
	if token.Term() > a.domain.Term {
		return false
	}
	if token.Term() == a.domain.Term && token.Sequence() > a.domain.Sequence {
		a.domain.Sequence = token.Sequence()
		a.raise(Hard)
	}
	return true
}

// SetGeneration records the manifest generation that decisions are based on.
func (a *Aggregate) SetGeneration(generation garnetworks.Generation) {
	if generation > a.domain.Generation {
		a.domain.Generation = generation
		a.raise(Soft)
	}
}

// Instance returns the instance with the given ID, or nil.
func (a *Aggregate) Instance(id garnetworks.InstanceID) *garnetworks.Instance {
	return FindInstance(&a.domain, id)
}

// Group returns the group with the given ID, or nil.
func (a *Aggregate) Group(id garnetworks.GroupID) *garnetworks.Group {
	return FindGroup(&a.domain, id)
}

// FindInstance returns the domain's instance with the given ID, or nil.
func FindInstance(d *garnetworks.FabricDomain, id garnetworks.InstanceID) *garnetworks.Instance {
	i, ok := slices.BinarySearchFunc(d.Instances, id, func(x garnetworks.Instance, id garnetworks.InstanceID) int {
		return cmp.Compare(x.ID, id)
	})
	if !ok {
		return nil
	}
	return &d.Instances[i]
}

// FindGroup returns the domain's group with the given ID, or nil.
func FindGroup(d *garnetworks.FabricDomain, id garnetworks.GroupID) *garnetworks.Group {
	i, ok := slices.BinarySearchFunc(d.Groups, id, func(x garnetworks.Group, id garnetworks.GroupID) int {
		return cmp.Compare(x.ID, id)
	})
	if !ok {
		return nil
	}
	return &d.Groups[i]
}
