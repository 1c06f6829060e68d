package checker

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// CacheEventsFixture holds a reader of cache events and one engine to read from.
type CacheEventsFixture struct {
	Events  garnetworks.CacheEvents
	Address string
	Unused  string
	// AddBlocks makes the engine cache new prompt blocks.
	AddBlocks func()
	// DropEvents makes the engine lose events; it may be nil.
	DropEvents func()
}

// CacheEvents runs the contract suite of garnetworks.CacheEvents.
func CacheEvents(t *testing.T, newFixture func(t *testing.T) CacheEventsFixture) {
	t.Helper()
	Run(t, newFixture, CacheEventsCases())
}

// CacheEventsCases returns the cases of the garnetworks.CacheEvents contract.
func CacheEventsCases() map[string]Case[CacheEventsFixture] {
	return map[string]Case[CacheEventsFixture]{
		"event numbers have no gaps": {
			Failure: "The router counts on cached prefixes that the engine has evicted.",
			Run: func(ctx context.Context, f CacheEventsFixture) error {
				f.AddBlocks()
				events, err := readEvents(ctx, f, 0)
				if err != nil {
					return err
				}
				if !gapless(events, 0) {
					return errors.Errorf("got events %v, want numbers from 1 without gaps", events)
				}
				middle := events[len(events)/2].Number
				rest, err := f.Events.CacheEvents(ctx, f.Address, middle)
				if err != nil {
					return errors.Wrap(err, "later events")
				}
				if !gapless(rest, middle) {
					return errors.Errorf("got events %v, want numbers after %d", rest, middle)
				}
				return nil
			},
		},
		"lost events leave a gap in the numbers": {
			Failure:   "The reader renumbers events after a loss, so the router does not know that its view of the cache is wrong.",
			Supported: func(f CacheEventsFixture) bool { return f.DropEvents != nil },
			Run: func(ctx context.Context, f CacheEventsFixture) error {
				f.DropEvents()
				f.AddBlocks()
				events, err := readEvents(ctx, f, 0)
				if err != nil {
					return err
				}
				return want("without gaps", gapless(events, 0), false)
			},
		},
		"no listener": {
			Failure: "An engine that cannot be reached looks like one with an empty cache.",
			Run: func(ctx context.Context, f CacheEventsFixture) error {
				_, err := f.Events.CacheEvents(ctx, f.Unused, 0)
				return wantKind("cache events", err, garnetworks.KindUnreachable)
			},
		},
	}
}

// readEvents waits until at least two events have arrived.
func readEvents(ctx context.Context, f CacheEventsFixture, after uint64) ([]garnetworks.CacheEvent, error) {
	var events []garnetworks.CacheEvent
	err := eventually(ctx, func() error {
		var err error
		events, err = f.Events.CacheEvents(ctx, f.Address, after)
		if err != nil {
			return errors.Wrap(err, "cache events")
		}
		return want("any events", len(events) > 1, true)
	})
	return events, err
}

func gapless(events []garnetworks.CacheEvent, after uint64) bool {
	for _, e := range events {
		if e.Number != after+1 {
			return false
		}
		after = e.Number
	}
	return true
}
