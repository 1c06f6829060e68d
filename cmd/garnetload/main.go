// Command garnetload sends calls to entry nodes at times that do not depend on the answers (an
// open loop), and measures latencies from the time at which a call was due. A closed loop would
// send fewer calls to a site that falls behind, and so underreport its latency.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type flags struct {
	URL             []string      `help:"Base URL of an entry node or balancer; calls go to all in turn." required:"" placeholder:"URL"`
	Key             []string      `help:"Workspace key, with =weight behind it if there are several." required:"" placeholder:"KEY[=WEIGHT]"`
	Rate            float64       `help:"Calls a second." default:"50"`
	Arrivals        string        `help:"How calls are spread: poisson or constant." enum:"poisson,constant" default:"poisson"`
	Duration        time.Duration `help:"How long calls are sent; an hour at most." default:"10s"`
	Count           int           `help:"Most calls that are sent; 0 leaves it to the duration." default:"0"`
	Seed            uint64        `help:"Seed of arrivals and mixes; the same seed sends the same calls." default:"1"`
	Model           []string      `help:"Model, with =weight behind it if there are several." default:"chat" placeholder:"MODEL[=WEIGHT]"`
	Prefixes        int           `help:"Number of prompt prefixes that calls share; 0 shares none." default:"8"`
	PrefixBytes     int           `help:"Length of a shared prefix." default:"1024"`
	PromptBytes     int           `help:"Length of the part of the prompt that no other call has." default:"128"`
	MaxTokens       int           `help:"Tokens of each answer." default:"32"`
	Whole           bool          `help:"Ask for whole answers in place of streams."`
	ServiceShare    float64       `help:"Share of calls that go to a plain service, 0 to 1." default:"0"`
	Service         string        `help:"Plain service and path of those calls." default:"ledger/visits"`
	Unkeyed         bool          `help:"Send calls to the plain service without an idempotency key."`
	Repeat          float64       `help:"Share of keyed calls that repeat an earlier one's key and body, 0 to 1." default:"0"`
	Timeout         time.Duration `help:"Longest wait for one answer, from the time it was due." default:"30s"`
	MaxInFlight     int           `help:"Most calls in flight; those beyond are counted as not sent." default:"4000"`
	Direct          string        `help:"Control address of the stand-ins: every other call then goes to their engines directly, and the added latency is told." placeholder:"IP:PORT"`
	Verify          bool          `help:"Compare each answer with what the stand-ins must answer."`
	Executions      string        `help:"Control address of the stand-ins: after the run, the outcomes of keyed calls are held against what their service ran." placeholder:"IP:PORT"`
	Output          string        `help:"How the result is printed: table or json." enum:"table,json" default:"table"`
	Progress        time.Duration `help:"Time between progress lines on standard error; 0 prints none." default:"1s"`
	Crowd           []string      `help:"Connections that misbehave beside the calls: silent, byte, head, field, body or unread, and their number." placeholder:"KIND=CONNECTIONS"`
	CrowdAddress    []string      `help:"Where the crowds connect to, in turn; the hosts of --url by default." placeholder:"IP:PORT"`
	CrowdPrefix     string        `help:"What each connection of a crowd begins with." default:""`
	CrowdBytes      int           `help:"Bytes of a crowd's heads, fields and unread requests." default:"15360"`
	CrowdFieldBytes int           `help:"Bytes of each field of a head." default:"8"`
	CrowdPace       time.Duration `help:"Time in which a connection of a crowd sends what it sends; 0 sends it at once." default:"0s"`
	CrowdHold       time.Duration `help:"Longest time of a connection of a crowd; another one is opened then." default:"5s"`
	Watch           []int         `help:"Process whose memory and descriptors are told each second." placeholder:"PID"`
	Plot            string        `help:"SVG file for what --watch tells." placeholder:"FILE"`
	AllowRemote     bool          `help:"Permit addresses beyond the loopback ones."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("garnetload"), kong.Description("An open-loop load tool for entry nodes."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, f, os.Stdout, os.Stderr))
}

func run(ctx context.Context, f flags, stdout, stderr io.Writer) int {
	p, err := newPlan(f)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "garnetload:", err)
		return exitUsage
	}
	s, err := newSender(ctx, f)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "garnetload:", err)
		return exitFailed
	}
	crowds, err := parseCrowds(f.Crowd)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "garnetload:", err)
		return exitUsage
	}
	report := driveBeside(ctx, f, p, s, crowds, stderr)
	if err := report.addExecutions(ctx, s); err != nil {
		// The report is written without the executions.
		_, _ = fmt.Fprintln(stderr, "garnetload:", err)
	}
	if f.Plot != "" {
		if err := plotSamples(f.Plot, report.OverTime); err != nil {
			_, _ = fmt.Fprintln(stderr, "garnetload:", err)
			return exitFailed
		}
	}
	if f.Output == "json" {
		err = report.writeJSON(stdout)
	} else {
		err = report.writeTable(stdout)
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "garnetload:", err)
		return exitFailed
	}
	return exitOK
}
