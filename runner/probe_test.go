package runner

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/connector"
	"github.com/garnetworks/garnetworks/faker"
)

// countingRelay forwards TCP connections to an address and counts the bytes in both
// directions.
func countingRelay(b *testing.B, to string) (address string, count *atomic.Int64, copies *sync.WaitGroup) {
	b.Helper()
	copies = new(sync.WaitGroup)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	count = new(atomic.Int64)
	copyBytes := func(to, from net.Conn) {
		n, _ := io.Copy(to, from)
		count.Add(n)
		_ = to.Close()
	}
	go func() {
		for {
			here, err := listener.Accept()
			if err != nil {
				return
			}
			there, err := net.Dial("tcp", to)
			if err != nil {
				_ = here.Close()
				return
			}
			copies.Go(func() { copyBytes(there, here) })
			copies.Go(func() { copyBytes(here, there) })
		}
	}()
	return listener.Addr().String(), count, copies
}

// BenchmarkProbeBytes reports the bytes that a probe of an engine costs, including HTTP headers
// but not those of TCP and IP.
func BenchmarkProbeBytes(b *testing.B) {
	weights := faker.NewWeightStore(1<<30, map[garnetworks.WeightID]int64{{Model: "chat", Version: "v1"}: 1})
	fleet := faker.NewFleet(weights, faker.NewInstanceList(0))
	defer fleet.Close()
	engine := fleet.Add(faker.EngineSpec{ListedInstance: garnetworks.ListedInstance{ID: "zone-a-e1", Zone: "zone-a", Domain: "zone-a-d", Class: "big"}, On: true})
	server, err := faker.ServeEngine(engine)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	address, count, copies := countingRelay(b, strings.TrimPrefix(server.URL(), "http://"))
	orders := connector.NewEngineOrders(connector.Options{})
	form := garnetworks.EngineOrder{
		ID: "form-1", Kind: garnetworks.OrderForm, Token: garnetworks.NewFencingToken(3, 7), Group: "zone-a-d-3-7",
		Members: []garnetworks.InstanceID{"zone-a-e1"}, Model: "chat", Version: "v1",
	}
	if _, err := orders.Order(b.Context(), address, form); err != nil {
		b.Fatal(err)
	}
	probes := 0
	for b.Loop() {
		if _, err := orders.Status(b.Context(), address); err != nil {
			b.Fatal(err)
		}
		probes++
	}
	orders.Close()
	_ = server.Close()
	copies.Wait()
	b.ReportMetric(float64(count.Load())/float64(probes), "B/probe")
}
