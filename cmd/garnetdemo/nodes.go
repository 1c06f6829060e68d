package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/garnetworks/garnetworks"
	"github.com/garnetworks/garnetworks/configurer"
	"github.com/garnetworks/garnetworks/messenger"
	"github.com/garnetworks/garnetworks/runner"
)

// nodes holds the entry nodes, one for each zone.
type nodes struct {
	list   []*node
	cancel context.CancelFunc
	ended  chan error
}

type node struct {
	id     garnetworks.NodeID
	zone   garnetworks.ZoneID
	runner *runner.Runner
	done   chan struct{}
}

const anyPort = "127.0.0.1:0"

// startNodes starts an entry node in each zone, with settings in the format that garnetd reads.
func startNodes(s *standIns, logger hclog.Logger) (*nodes, error) {
	ctx, cancel := context.WithCancel(context.Background())
	ns := &nodes{cancel: cancel, ended: make(chan error, len(zones))}
	var seeds []string
	for _, zone := range zones {
		text := settingsText(zone, s.platforms[zone].URL(), [3]string{anyPort, anyPort, anyPort}, seeds)
		n, err := startNode(ctx, zone, text, logger, ns.ended)
		if err != nil {
			ns.stop()
			return nil, errors.Wrapf(err, "the node of %s", zone)
		}
		ns.list = append(ns.list, n)
		seeds = append(seeds, n.runner.Addresses().Peers)
	}
	return ns, nil
}

func startNode(ctx context.Context, zone garnetworks.ZoneID, text string, logger hclog.Logger, ended chan<- error) (*node, error) {
	settings, err := configurer.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	r, err := runner.New(runner.Options{
		Settings: settings,
		Logger:   logger.Named(string(settings.Node)),
		Program:  "garnetdemo",
	})
	if err != nil {
		return nil, err
	}
	n := &node{id: settings.Node, zone: zone, runner: r, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		ended <- errors.Wrapf(r.Run(ctx, nil), "node %s", settings.Node)
	}()
	return n, nil
}

// wait returns nil once ctx ends, or an error as soon as a node ends.
func (ns *nodes) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-ns.ended:
		if err == nil {
			err = errors.New("a node ended")
		}
		return err
	}
}

// stop shuts all nodes down gracefully and waits for them.
func (ns *nodes) stop() {
	ns.cancel()
	for _, n := range ns.list {
		<-n.done
	}
}

func (ns *nodes) callerAddresses() []string {
	var addresses []string
	for _, n := range ns.list {
		addresses = append(addresses, n.runner.Addresses().Callers)
	}
	return addresses
}

// progressPollInterval is the interval between polls of the commit's progress, and between
// attempts to propose it.
const progressPollInterval = 20 * time.Millisecond

// commit proposes a manifest to the first node, as garnetctl does, and waits until it is in
// force everywhere.
func (ns *nodes) commit(ctx context.Context, text string) (garnetworks.Generation, error) {
	client := messenger.NewClient(messenger.ClientOptions{})
	defer client.Close()
	address := ns.list[0].runner.Addresses().Peers
	id := ulid.Make().String()
	propose := &garnetworks.ProposeRequest{CommitID: id, Operator: "garnetdemo", Text: []byte(text)}
	if err := ns.propose(ctx, client, address, propose); err != nil {
		return 0, err
	}
	for {
		response, err := client.Progress(ctx, address, &garnetworks.ProgressRequest{CommitID: id})
		if err == nil && response.Progress.State == garnetworks.CommitInForce {
			return response.Progress.Generation, nil
		}
		if err == nil && response.Progress.State == garnetworks.CommitRefused {
			return 0, errors.New(response.Progress.Reason)
		}
		select {
		case <-ctx.Done():
			return 0, errors.Errorf("it stands at %+v, error %v", response, err)
		case <-time.After(progressPollInterval):
		}
	}
}

// propose retries the proposal until the node accepts it or refuses the manifest, as the node
// may still be joining the site. Retries carry the same commit ID, so they commit only once.
func (ns *nodes) propose(ctx context.Context, client *messenger.Client, address string, request *garnetworks.ProposeRequest) error {
	for {
		_, err := client.Propose(ctx, address, request)
		if err == nil || garnetworks.IsKind(err, garnetworks.KindInvalidManifest, garnetworks.KindStaleGeneration) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case err := <-ns.ended:
			return err
		case <-time.After(progressPollInterval):
		}
	}
}

// settingsText returns the settings file of a zone's node; listen holds its addresses for
// callers, peers and admin requests.
func settingsText(zone garnetworks.ZoneID, platform string, listen [3]string, seeds []string) string {
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", seed)
	}
	return fmt.Sprintf(`node: entry-%[1]s
zone: %[1]s
region: %[2]s
listen:
  callers: %[3]s
  peers: %[4]s
  admin: %[5]s
seeds: [%[6]s]
platform:
  object-api: %[7]s
  instance-list: %[7]s
  power: %[7]s
  weight-store: %[7]s
drain-grace: 10s
`, zone, region, listen[0], listen[1], listen[2], strings.Join(quoted, ", "), platform)
}

// portsPerNode is the number of ports that each written settings file uses.
const portsPerNode = 3

func peersAddress(firstPort, node int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstPort+portsPerNode*node+1)
}

// urlFlags returns garnetload's flags for the caller addresses of the written settings.
func urlFlags(firstPort int) string {
	var text strings.Builder
	for i := range zones {
		_, _ = fmt.Fprintf(&text, " --url http://127.0.0.1:%d", firstPort+portsPerNode*i)
	}
	return text.String()
}

func settingsFileName(zone garnetworks.ZoneID) string { return "entry-" + string(zone) + ".yaml" }

// settingsFiles returns a settings file for each zone's node, by file name.
func settingsFiles(s *standIns, firstPort int) map[string]string {
	files := make(map[string]string, len(zones))
	for i, zone := range zones {
		var listen [3]string
		for j := range listen {
			listen[j] = fmt.Sprintf("127.0.0.1:%d", firstPort+portsPerNode*i+j)
		}
		var seeds []string
		for other := range zones {
			if other != i {
				seeds = append(seeds, peersAddress(firstPort, other))
			}
		}
		files[settingsFileName(zone)] = settingsText(zone, s.platforms[zone].URL(), listen, seeds)
	}
	return files
}
