package main

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/garnetworks/garnetworks"
)

// parallelCalls is the maximum number of concurrent calls to nodes.
const parallelCalls = 16

// site sends calls to the entry nodes; timeout applies to each call.
type site struct {
	caller    garnetworks.PeerCaller
	addresses []string
	timeout   time.Duration
}

// callAny calls the nodes in turn until one answers; an error that the node itself returned
// counts as an answer. If none answers, it returns a lost response in preference to an
// unreachable node, since the call with the lost response may have been executed.
func (s *site) callAny(ctx context.Context, call func(ctx context.Context, address string) error) error {
	if len(s.addresses) == 0 {
		return &exitError{exitUsage, garnetworks.Errorf(garnetworks.KindInvalidRequest, "name a node by --nodes or GARNETCTL_NODES")}
	}
	var callErr error
	for _, address := range s.addresses {
		callCtx, cancel := context.WithTimeout(ctx, s.timeout)
		err := call(callCtx, address)
		cancel()
		if !garnetworks.IsKind(err, garnetworks.KindUnreachable, garnetworks.KindResponseLost) {
			return err
		}
		if callErr == nil || garnetworks.IsKind(err, garnetworks.KindResponseLost) {
			callErr = err
		}
	}
	return callErr
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

// progress returns a commit's progress; an empty ID means the newest commit.
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

// nodesOf returns the nodes of all rosters, or the answering node if there are none, sorted by
// zone and ID.
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

// nodeStatus holds a node's own view, or the error of the call for it.
type nodeStatus struct {
	garnetworks.NodeInfo
	status *garnetworks.StatusResponse
	err    error
}

// nodeStatuses calls each node for its own view.
func (s *site) nodeStatuses(ctx context.Context, nodes []garnetworks.NodeInfo) []nodeStatus {
	list := make([]nodeStatus, len(nodes))
	s.forEachNode(ctx, nodes, func(ctx context.Context, i int, n garnetworks.NodeInfo) {
		status, err := s.caller.Status(ctx, n.Address, &garnetworks.StatusRequest{})
		list[i] = nodeStatus{n, status, err}
	})
	return list
}

// forEachNode calls the function for each node, with at most parallelCalls calls at once.
func (s *site) forEachNode(ctx context.Context, nodes []garnetworks.NodeInfo, call func(ctx context.Context, i int, n garnetworks.NodeInfo)) {
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for i, n := range nodes {
		g.Go(func() error {
			callCtx, cancel := context.WithTimeout(ctx, s.timeout)
			defer cancel()
			call(callCtx, i, n)
			return nil
		})
	}
	_ = g.Wait()
}
