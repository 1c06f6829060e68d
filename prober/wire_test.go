package prober

import (
	"context"
	"net"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/messenger"
)

// confirmServer handles Confirm and no other request.
type confirmServer struct {
	garnetworks.PeerHandler
	*Prober
}

// BenchmarkConfirmOnTheWire measures the size of a request for 26 instances and its response,
// encoded and on a connection: go test ./prober -run=^$ -bench=OnTheWire.
func BenchmarkConfirmOnTheWire(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, err := messenger.NewServer(messenger.ServerOptions{Handler: confirmServer{Prober: New(Options{Node: "node-001"})}})
	if err != nil {
		b.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(ctx, listener)
	}()
	defer func() { cancel(); <-ended }()
	traffic := new(messenger.Traffic)
	client := messenger.NewClient(messenger.ClientOptions{Traffic: traffic})
	defer client.Close()
	request := &garnetworks.ConfirmRequest{
		From: "node-000", Incarnation: 1 << 31, Stamp: 1 << 24, Echo: 1 << 24, EchoAt: 1 << 24, EchoIncarnation: 1 << 31,
		Relayed: true, ListChecksum: 1 << 63, Ages: make([]byte, 26), Loads: make([]uint32, 28),
	}
	var response *garnetworks.ConfirmResponse
	for b.Loop() {
		if response, err = client.Confirm(ctx, listener.Addr().String(), request); err != nil {
			b.Fatal(err)
		}
	}
	encodedRequest, _ := cbor.Marshal(request)
	encodedResponse, _ := cbor.Marshal(response)
	count := traffic.Count()
	b.ReportMetric(float64(len(encodedRequest)), "request-B")
	b.ReportMetric(float64(len(encodedResponse)), "answer-B")
	b.ReportMetric(float64(count.BytesSent)/float64(b.N), "sent-B")
	b.ReportMetric(float64(count.BytesReceived)/float64(b.N), "received-B")
}
