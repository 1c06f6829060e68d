// Command garnetdemo runs a small site in one process on the loopback address: simulations
// (stand-ins) of the platform, of engines in three availability zones and of a plain service,
// and one entry node in each zone, connected over HTTP and TCP.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
)

type flags struct {
	Once         bool          `help:"Send the sample calls, print the answers and exit; 0 only if each was right."`
	StandInsOnly bool          `help:"Serve the stand-ins alone and write a manifest and a settings file for each entry node, to be run as garnetd processes."`
	Dir          string        `help:"Where the stand-ins alone write their files." type:"path" default:"garnetdemo-files"`
	FirstPort    int           `help:"First of the ports that the written settings files use." default:"7100"`
	Engines      int           `help:"Engines in each availability zone, in fabric domains of four." default:"8"`
	Wait         time.Duration `help:"How long to wait until the site serves." default:"60s"`
	LogLevel     string        `help:"Level of the nodes' log on standard error: trace, debug, info, warn or error." enum:"trace,debug,info,warn,error" default:"warn"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("garnetdemo"), kong.Description("A small site in one process."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, f, os.Stdout, os.Stderr))
}

func run(ctx context.Context, f flags, stdout, stderr io.Writer) int {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "garnetdemo",
		Level:      hclog.LevelFromString(f.LogLevel),
		Output:     stderr,
		JSONFormat: true,
	})
	if err := demo(ctx, f, stdout, logger); err != nil {
		_, _ = fmt.Fprintln(stderr, "garnetdemo:", err)
		return exitFailed
	}
	return exitOK
}

func demo(ctx context.Context, f flags, stdout io.Writer, logger hclog.Logger) error {
	s, err := startStandIns(f.Engines)
	if err != nil {
		return err
	}
	defer s.close()
	if f.StandInsOnly {
		return serveStandIns(ctx, f, s, stdout)
	}
	nodes, err := startNodes(s, logger)
	if err != nil {
		return err
	}
	defer nodes.stop()
	return serve(ctx, f, s, nodes, stdout)
}

// serve commits the manifest, waits until every node serves, and then sends the sample calls
// or runs until ctx ends.
func serve(ctx context.Context, f flags, s *standIns, nodes *nodes, stdout io.Writer) error {
	ready, cancel := context.WithTimeout(ctx, f.Wait)
	defer cancel()
	start := time.Now()
	generation, err := nodes.commit(ready, s.manifest())
	if err != nil {
		return errors.Wrap(err, "the manifest did not come into force")
	}
	c := &caller{key: s.key.Secret, nodes: nodes.callerAddresses()}
	if err := c.awaitServing(ready); err != nil {
		return errors.Wrap(err, "the site does not serve")
	}
	_, _ = fmt.Fprintf(stdout, "manifest generation %d is in force and %d nodes serve after %.1f s\n\n",
		generation, len(c.nodes), time.Since(start).Seconds())
	if f.Once {
		return c.runSamples(ctx, stdout, s.service)
	}
	printSite(stdout, s, nodes)
	return nodes.wait(ctx)
}

// printSite prints the addresses of the site and example commands that use it.
func printSite(w io.Writer, s *standIns, nodes *nodes) {
	for _, n := range nodes.list {
		a := n.runner.Addresses()
		_, _ = fmt.Fprintf(w, "%s (%s): callers %s, peers %s, admin %s\n", n.id, n.zone, a.Callers, a.Peers, a.Admin)
	}
	callers, peers := nodes.list[0].runner.Addresses().Callers, nodes.list[0].runner.Addresses().Peers
	_, _ = fmt.Fprintf(w, "stand-ins' control: %s\n", s.control.Address)
	_, _ = fmt.Fprintf(w, "workspace key: %s\n", s.key.Secret)
	_, _ = fmt.Fprintf(w, `
A streamed completion:
  curl -sN http://%[1]s/v1/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"chat","prompt":"the pump at well 9 has failed","max_tokens":24,"stream":true}'
A call that runs once at most:
  curl -si http://%[1]s/services/ledger/visits -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: visit-7' -H 'Content-Type: application/json' -d '{"part":3}'
A refused call with its problem document:
  curl -si http://%[1]s/v1/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"unknown","prompt":"x"}'
The models:
  curl -s http://%[1]s/v1/models -H 'Authorization: Bearer %[2]s'
An operators' view:
  go run ./cmd/garnetctl --nodes %[3]s status
A failure: an engine goes silent on its open connections; another one restarts:
  curl -s -X POST http://%[4]s/faults/zone-a-engine-0/silence
  curl -s -X POST http://%[4]s/engines/zone-b-engine-1/restart
What can fail, and what the stand-ins counted:
  curl -s http://%[4]s/faults
  curl -s http://%[4]s/state
Load, with the latency that a node adds:
  go run ./cmd/garnetload --url http://%[1]s --key %[2]s --direct %[4]s --verify

Stop with ctrl-c.
`, callers, s.key.Secret, peers, s.control.Address)
}

// serveStandIns writes the files that garnetd processes need and runs until ctx ends.
func serveStandIns(ctx context.Context, f flags, s *standIns, stdout io.Writer) error {
	if err := os.MkdirAll(f.Dir, 0o755); err != nil {
		return errors.Wrap(err, "the directory can't be made")
	}
	files := settingsFiles(s, f.FirstPort)
	files["manifest.yaml"] = s.manifest()
	files["key.txt"] = s.key.Secret + "\n"
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(f.Dir, name), []byte(text), 0o600); err != nil {
			return errors.Wrap(err, "a file can't be written")
		}
	}
	_, _ = fmt.Fprintf(stdout, "stand-ins' control: %s\n", s.control.Address)
	_, _ = fmt.Fprintf(stdout, "workspace key: %s\n", s.key.Secret)
	_, _ = fmt.Fprintln(stdout, "\nThe entry nodes, each in a shell of its own:")
	for _, zone := range zones {
		_, _ = fmt.Fprintf(stdout, "  go run ./cmd/garnetd --settings %s\n", filepath.Join(f.Dir, settingsFileName(zone)))
	}
	peers := peersAddress(f.FirstPort, 0)
	_, _ = fmt.Fprintf(stdout, "Their first manifest, and the site afterwards:\n")
	_, _ = fmt.Fprintf(stdout, "  go run ./cmd/garnetctl --nodes %s manifest commit --base 0 %s\n",
		peers, filepath.Join(f.Dir, "manifest.yaml"))
	_, _ = fmt.Fprintf(stdout, "  go run ./cmd/garnetctl --nodes %s status\n", peers)
	_, _ = fmt.Fprintf(stdout, "Load on all nodes, checked against what the stand-ins did:\n")
	_, _ = fmt.Fprintf(stdout, "  go run ./cmd/garnetload%s --key %s --service-share 0.3 --repeat 0.2 --verify --executions %s\n",
		urlFlags(f.FirstPort), s.key.Secret, s.control.Address)
	_, _ = fmt.Fprintln(stdout, "\nStop with ctrl-c.")
	<-ctx.Done()
	return nil
}
