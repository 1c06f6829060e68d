package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
)

// parallelCalls bounds the calls to nodes at once.
const parallelCalls = 16

// site reaches the entry nodes.
type site struct {
	caller    garnetworks.PeerCaller
	addresses []string
	timeout   time.Duration
}

// any tries the given nodes in turn until one answers: an error that the node
// itself returned ends the search. The error tells of an answer that was lost
// rather than of a node that was not reached, for the lost one may have been
// carried out.
func (s *site) callAny(ctx context.Context, call func(ctx context.Context, address string) error) error {
	if len(s.addresses) == 0 {
		return &exitError{exitUsage, garnetworks.Errorf(garnetworks.KindInvalidRequest, "name a node by --nodes or GARNETCTL_NODES")}
	}
	var worst error
	for _, address := range s.addresses {
		bounded, cancel := context.WithTimeout(ctx, s.timeout)
		err := call(bounded, address)
		cancel()
		if !garnetworks.IsKind(err, garnetworks.KindUnreachable, garnetworks.KindResponseLost) {
			return err
		}
		if worst == nil || garnetworks.IsKind(err, garnetworks.KindResponseLost) {
			worst = err
		}
	}
	return worst
}

// status returns one node's view of the site.
func (s *site) status(ctx context.Context) (*garnetworks.StatusResponse, error) {
	var response *garnetworks.StatusResponse
	err := s.callAny(ctx, func(ctx context.Context, address string) error {
		var err error
		response, err = s.caller.Status(ctx, address, &garnetworks.StatusRequest{})
		return err
	})
	return response, err
}

// progress tells how a commit stands.
func (s *site) progress(ctx context.Context, commitID string) (garnetworks.CommitProgress, error) {
	var response *garnetworks.ProgressResponse
	err := s.callAny(ctx, func(ctx context.Context, address string) error {
		var err error
		response, err = s.caller.Progress(ctx, address, &garnetworks.ProgressRequest{CommitID: commitID})
		return err
	})
	if err != nil {
		return garnetworks.CommitProgress{}, err
	}
	return response.Progress, nil
}

// nodesOf returns the nodes of all rosters, by zone and name.
func nodesOf(status *garnetworks.StatusResponse) []garnetworks.NodeInfo {
	nodes := []garnetworks.NodeInfo{}
	for _, r := range status.Rosters {
		nodes = append(nodes, r.Nodes...)
	}
	if len(nodes) == 0 {
		nodes = append(nodes, status.Node)
	}
	slices.SortFunc(nodes, func(a, b garnetworks.NodeInfo) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
	return nodes
}

// nodeStatus is a node with its own view, or why it could not be reached.
type nodeStatus struct {
	garnetworks.NodeInfo
	status *garnetworks.StatusResponse
	err    error
}

// everyone asks each node for its own view.
func (s *site) nodeStatuses(ctx context.Context, nodes []garnetworks.NodeInfo) []nodeStatus {
	list := make([]nodeStatus, len(nodes))
	s.forEachNode(ctx, nodes, func(ctx context.Context, i int, n garnetworks.NodeInfo) {
		status, err := s.caller.Status(ctx, n.Address, &garnetworks.StatusRequest{})
		list[i] = nodeStatus{n, status, err}
	})
	return list
}

// each calls the nodes, some at once.
func (s *site) forEachNode(ctx context.Context, nodes []garnetworks.NodeInfo, call func(ctx context.Context, i int, n garnetworks.NodeInfo)) {
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for i, n := range nodes {
		g.Go(func() error {
			bounded, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			call(bounded, i, n)
			return nil
		})
	}
	_ = g.Wait()
}
