// Command garnetlab simulates load patterns and losses of engines under policies for
// queueing, admission, placement and forming groups, and prints the results of each policy.
package main

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"github.com/garnetworks/garnetworks/experimenter"
)

type flags struct {
	Pattern []string `short:"p" help:"Patterns to replay; all if none is named."`
	Policy  []string `short:"o" help:"Policies to compare; all if none is named."`
	Seed    uint64   `short:"s" help:"Seed of the arrivals." default:"1"`
	Kinds   bool     `short:"k" help:"Print each kind of request, its largest tenth and each workspace, too."`
	Groups  bool     `short:"g" help:"Replay losses of engines against the policies for groups, in place of loads."`
	Plot    string   `help:"Directory to write plots to, as SVG; none if it is empty." type:"existingdir"`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Name("garnetlab"), kong.Description("Replays load patterns against policies."), kong.UsageOnError())
	replay := run
	if f.Groups {
		replay = runGroups
	}
	if err := replay(f, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// selectNames returns names, which must all be keys of patterns, or all keys if names is empty.
func selectNames[P any](names []string, patterns map[string]P) ([]string, error) {
	all := slices.Sorted(maps.Keys(patterns))
	if len(names) == 0 {
		return all, nil
	}
	for _, name := range names {
		if _, ok := patterns[name]; !ok {
			return nil, fmt.Errorf("no pattern %q; there are %v", name, all)
		}
	}
	return names, nil
}

// run simulates each selected load pattern under each policy.
func run(f flags, out io.Writer) error {
	patterns := experimenter.Patterns()
	names, err := selectNames(f.Pattern, patterns)
	if err != nil {
		return err
	}
	if len(f.Policy) == 0 {
		f.Policy = experimenter.PolicyNames()
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "pattern\tpolicy\tkind\tasked\ton time\tlate\trefused\tfailed\tworth\tfirst p50 ms\tp95\tp99")
	shares := make(map[string][]float64)
	for _, name := range names {
		pattern := patterns[name]
		for _, policy := range f.Policy {
			results, err := experimenter.Run(&pattern, policy, f.Seed)
			if err != nil {
				return err
			}
			shares[policy] = append(shares[policy], results[""].Share())
			printResults(table, name, policy, results, f.Kinds)
		}
	}
	if f.Plot != "" {
		if err := plotLoad(f.Plot, names, shares); err != nil {
			return err
		}
	}
	return table.Flush()
}

// runGroups simulates each selected pattern of engine losses under each group policy.
func runGroups(f flags, out io.Writer) error {
	patterns := experimenter.GroupPatterns()
	maps.Copy(patterns, experimenter.SharePatterns())
	maps.Copy(patterns, experimenter.DemandPatterns())
	names, err := selectNames(f.Pattern, patterns)
	if err != nil {
		return err
	}
	if len(f.Policy) == 0 {
		f.Policy = experimenter.GroupPolicyNames()
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "pattern\tpolicy\tlosses\tdown p50 ms\tp75\tworst\tidle engine-seconds\tserved")
	for _, name := range names {
		pattern := patterns[name]
		results := make(map[string]*experimenter.GroupResult)
		for _, policy := range f.Policy {
			result, err := experimenter.RunGroups(&pattern, policy, f.Seed)
			if err != nil {
				return err
			}
			results[policy] = result
			_, _ = fmt.Fprint(table, groupsRow(name, policy, result))
		}
		if f.Plot != "" {
			if err := plotGroups(f.Plot, name, results); err != nil {
				return err
			}
		}
	}
	return table.Flush()
}

func printResults(out io.Writer, pattern, policy string, results experimenter.Results, kinds bool) {
	const median, p95, p99 = 50, 95, 99
	for _, kind := range slices.Sorted(maps.Keys(results)) {
		if kind != "" && !kinds {
			continue
		}
		r := results[kind]
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d\n", pattern, policy, kind,
			r.Requests, r.OnTime, r.Late, r.Refused, r.Failed, r.Share(),
			r.FirstEvent.ValueAtQuantile(median), r.FirstEvent.ValueAtQuantile(p95), r.FirstEvent.ValueAtQuantile(p99))
	}
}
