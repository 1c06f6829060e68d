package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/garnetworks/garnetworks"
)

const (
	// knownTime bounds asking other nodes for what they know. They answer within milliseconds; those
	// that do not are down or partitioned.
	knownTime = 150 * time.Millisecond
	// maxKnownNodes is the number of nodes that are asked in each of the two groups of fallbacks.
	maxKnownNodes = 3
)

// withKnown returns the first objects that the node has read from the object API, with the versions
// that other nodes know in place of those that they supersede (rule Y10).
//
// Failure: the object API comes back from a copy from before a key was revoked, and the node that
// reads for the others starts at that moment. It accepts the key until the configuration is
// written again, though its followers do not.
func (r *Relayer) withKnown(ctx context.Context, c *cache, objects []garnetworks.Object, revision garnetworks.Revision) []garnetworks.Object {
	r.mu.Lock()
	first := c.revision == 0
	r.mu.Unlock()
	if !first || c.supersedes == nil || r.options.FirstStart || revision.Era() == 0 {
		return objects
	}
	known := r.askKnown(ctx, c)
	if len(known) == 0 && r.options.Unjudged != nil {
		r.options.Unjudged(c.prefix)
	}
	merged := slices.Clone(objects)
	for _, objectsOfNode := range known {
		byKey := make(map[string]garnetworks.Object, len(objectsOfNode))
		for _, o := range objectsOfNode {
			byKey[o.Key] = o
		}
		for i := range merged {
			merged[i] = c.newer(byKey, merged[i])
		}
	}
	return merged
}

// askKnown asks other nodes for the contents that they have, whatever their age, and returns those of
// the ones that answered.
func (r *Relayer) askKnown(ctx context.Context, c *cache) [][]garnetworks.Object {
	near, far := r.fallbacks()
	addresses := slices.Concat(r.options.Relays(c.prefix), r.draw(near, maxKnownNodes), r.draw(far, maxKnownNodes))
	ctx, cancel := context.WithTimeout(ctx, knownTime)
	defer cancel()
	var mu sync.Mutex
	var known [][]garnetworks.Object
	var asking sync.WaitGroup
	for _, address := range addresses {
		asking.Go(func() {
			response, err := r.options.Peers.Follow(ctx, address, &garnetworks.FollowRequest{Prefix: c.prefix, WaitMS: garnetworks.FollowAnyAge})
			if err != nil || !response.Snapshot {
				return // it is down, or has read nothing itself yet
			}
			mu.Lock()
			defer mu.Unlock()
			known = append(known, response.Objects)
		})
	}
	asking.Wait()
	return known
}

// draw returns up to n of the addresses, chosen at random.
func (r *Relayer) draw(addresses []string, n int) []string {
	rest := slices.Clone(addresses)
	var drawn []string
	for len(rest) > 0 && len(drawn) < n {
		at := int(r.options.Random() * float64(len(rest)))
		drawn = append(drawn, rest[at])
		rest = slices.Delete(rest, at, at+1)
	}
	return drawn
}
