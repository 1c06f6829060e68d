package checker

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
)

// CacheEventsBed is a reader of the cache events of one engine.
type CacheEventsBed struct {
	Events  garnetworks.CacheEvents
	Address string
	Unused  string
	// Fill makes the engine cache new prompt blocks.
	Fill func()
	// Lose makes the engine lose events; it may be nil.
	Lose func()
}

// CacheEvents checks a reader of cache events.
func CacheEvents(t *testing.T, open func(t *testing.T) CacheEventsBed) {
	t.Helper()
	run(t, open, CacheEventsCases())
}

// CacheEventsCases returns the contract of garnetworks.CacheEvents.
func CacheEventsCases() map[string]Case[CacheEventsBed] {
	return map[string]Case[CacheEventsBed]{
		"events count up without gaps": {
			Story: "A router believes in cached prefixes that were evicted.",
			Run: func(ctx context.Context, b CacheEventsBed) error {
				b.Fill()
				events, err := readEvents(ctx, b, 0)
				if err != nil {
					return err
				}
				if !gapless(events, 0) {
					return errors.Errorf("got events %v, want numbers from 1 without gaps", events)
				}
				middle := events[len(events)/2].Number
				rest, err := b.Events.CacheEvents(ctx, b.Address, middle)
				if err != nil {
					return errors.Wrap(err, "later events")
				}
				if !gapless(rest, middle) {
					return errors.Errorf("got events %v, want numbers after %d", rest, middle)
				}
				return nil
			},
		},
		"lost events leave a gap": {
			Story: "Events are lost; renumbered, they would hide that the router's picture is wrong.",
			Able:  func(b CacheEventsBed) bool { return b.Lose != nil },
			Run: func(ctx context.Context, b CacheEventsBed) error {
				b.Lose()
				b.Fill()
				events, err := readEvents(ctx, b, 0)
				if err != nil {
					return err
				}
				return want("without gaps", gapless(events, 0), false)
			},
		},
		"nobody listens": {
			Story: "A dead engine looks like one with an empty cache.",
			Run: func(ctx context.Context, b CacheEventsBed) error {
				_, err := b.Events.CacheEvents(ctx, b.Unused, 0)
				return wantKind("cache events", err, garnetworks.KindUnreachable)
			},
		},
	}
}

// readEvents waits for events, which come late.
func readEvents(ctx context.Context, b CacheEventsBed, after uint64) ([]garnetworks.CacheEvent, error) {
	var events []garnetworks.CacheEvent
	err := eventually(ctx, func() error {
		var err error
		events, err = b.Events.CacheEvents(ctx, b.Address, after)
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
