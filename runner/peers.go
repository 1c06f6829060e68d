package runner

import (
	"context"
	"time"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/controller"
)

// peerHandler handles requests of other nodes and of operators.
type peerHandler struct{ r *Runner }

// Heartbeat implements garnetworks.PeerHandler.
func (h *peerHandler) Heartbeat(_ context.Context, request *garnetworks.HeartbeatRequest) (*garnetworks.HeartbeatResponse, error) {
	response, err := h.r.tracker.HandleHeartbeat(request)
	if err != nil {
		return nil, err
	}
	h.r.reports.receive(time.Now(), request, response)
	response.At = h.r.timeline.Now()
	return response, nil
}

// Distribute implements garnetworks.PeerHandler.
func (h *peerHandler) Distribute(_ context.Context, request *garnetworks.DistributeRequest) (*garnetworks.DistributeResponse, error) {
	response := h.r.distributor.Handle(request)
	response.At = h.r.timeline.Now()
	return response, nil
}

// Fetch implements garnetworks.PeerHandler.
func (h *peerHandler) Fetch(_ context.Context, request *garnetworks.FetchRequest) (*garnetworks.FetchResponse, error) {
	response := h.r.distributor.HandleFetch(request)
	response.At = h.r.timeline.Now()
	return response, nil
}

// Events implements garnetworks.PeerHandler.
func (h *peerHandler) Events(_ context.Context, request *garnetworks.EventsRequest) (*garnetworks.EventsResponse, error) {
	return h.r.timeline.Handle(request), nil
}

// Status implements garnetworks.PeerHandler.
func (h *peerHandler) Status(context.Context, *garnetworks.StatusRequest) (*garnetworks.StatusResponse, error) {
	manifest := h.r.committer.Status()
	return &garnetworks.StatusResponse{
		At:            h.r.timeline.Now(),
		Node:          h.r.tracker.Self(),
		Generation:    manifest.Applied,
		Staged:        manifest.Staged,
		Leases:        h.r.leases(),
		Views:         h.r.views.all(),
		Rosters:       h.r.rosters(),
		ObjectAPIDown: h.r.objectsDown.Load(),
	}, nil
}

// Propose implements garnetworks.PeerHandler.
func (h *peerHandler) Propose(ctx context.Context, request *garnetworks.ProposeRequest) (*garnetworks.ProposeResponse, error) {
	return h.r.committer.Propose(ctx, request)
}

// Progress implements garnetworks.PeerHandler.
func (h *peerHandler) Progress(ctx context.Context, request *garnetworks.ProgressRequest) (*garnetworks.ProgressResponse, error) {
	return h.r.committer.Progress(ctx, request)
}

// Report implements garnetworks.PeerHandler.
func (h *peerHandler) Report(ctx context.Context, request *garnetworks.ReportRequest) (*garnetworks.ReportResponse, error) {
	return h.r.committer.Report(ctx, request)
}

// Confirm implements garnetworks.ConfirmHandler.
func (h *peerHandler) Confirm(ctx context.Context, request *garnetworks.ConfirmRequest) (*garnetworks.ConfirmResponse, error) {
	h.r.views.recordPeerProbe(time.Now())
	response, err := h.r.prober.Confirm(ctx, request)
	if err != nil {
		return nil, err
	}
	response.At = h.r.timeline.Now()
	return response, nil
}

// CommitClaims implements garnetworks.ClaimsHandler.
func (h *peerHandler) CommitClaims(ctx context.Context, request *garnetworks.CommitClaimsRequest) (*garnetworks.CommitClaimsResponse, error) {
	response, err := h.r.claimer.CommitClaims(ctx, request)
	if err != nil {
		return nil, err
	}
	response.At = h.r.timeline.Now()
	return response, nil
}

// leaseStates returns, for each lease, whether the node holds it.
func (r *Runner) leaseStates() map[string]bool {
	now := time.Now()
	return map[string]bool{
		zoneLease(r.self.Zone):  r.zone.Lease().Term(now) > 0,
		controller.SiteLeaseKey: r.site.Lease().Term(now) > 0,
	}
}
