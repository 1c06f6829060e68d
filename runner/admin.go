package runner

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/garnetworks/garnetworks/meter"
	"github.com/garnetworks/garnetworks/server"
)

// adminHandler serves /livez, /readyz and /metrics.
func (r *Runner) adminHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !r.server.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.Handle("/metrics", r.meter.Handler())
	return mux
}

// callObserver records the metrics of finished calls.
type callObserver struct{ meter *meter.Meter }

// CallEnded implements server.Observer.
func (o *callObserver) CallEnded(report server.CallReport) {
	target := "model"
	if report.Service != "" {
		target = "service"
	}
	o.meter.CallEnded(target, report.Outcome, report.Kind)
	if report.Workspace == "" {
		return // the key is unknown, so the caller would choose the label
	}
	o.meter.Tokens(report.Workspace, report.Summary.Tokens)
	if report.Summary.FirstToken > 0 {
		o.meter.FirstToken(report.Summary.FirstToken)
	}
	if after := report.Summary.Tokens - 1; after > 0 && report.Elapsed > report.Summary.FirstToken {
		o.meter.BetweenTokens((report.Elapsed - report.Summary.FirstToken) / time.Duration(after))
	}
}

// updateTrafficMetrics adds the peer traffic since the last update to the metrics.
func (r *Runner) updateTrafficMetrics() {
	now := r.traffic.Count()
	last := r.reportedTraffic
	r.meter.PeerTraffic("in", now.BytesReceived-last.BytesReceived, now.MessagesReceived-last.MessagesReceived)
	r.meter.PeerTraffic("out", now.BytesSent-last.BytesSent, now.MessagesSent-last.MessagesSent)
	r.reportedTraffic = now
}
