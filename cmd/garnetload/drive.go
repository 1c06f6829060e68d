package main

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// resultQueueSize is the capacity of the channel between the calls and the collector.
const resultQueueSize = 1024

// driveBeside drives the plan's calls while crowds are open, and watches processes.
func driveBeside(ctx context.Context, f flags, p *plan, s *sender, crowds []crowd, progress io.Writer) *report {
	beside, end := context.WithCancel(ctx)
	run, watched := &crowdRun{flags: f}, &watch{pids: f.Watch}
	var tasks sync.WaitGroup
	tasks.Go(func() { run.gather(beside, crowds) })
	tasks.Go(func() { watched.run(beside) })
	report := drive(ctx, f, p, s, watched, progress)
	end()
	tasks.Wait()
	report.OverTime = watched.samples
	if len(crowds) > 0 {
		body := run.body()
		report.Crowds = &body
	}
	return report
}

// drive sends the plan's calls when they are due and returns the report of their results.
func drive(ctx context.Context, f flags, p *plan, s *sender, watched *watch, progress io.Writer) *report {
	results := make(chan result, resultQueueSize)
	report := newReport()
	report.watched = watched
	var inFlight atomic.Int64
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		collect(report, results, f.Progress, &inFlight, progress)
	}()
	sendAll(ctx, f, p, s, results, &inFlight)
	close(results)
	<-collected
	return report
}

// sendAll sends each call when it is due, whether or not earlier calls were answered, and
// waits for all answers.
func sendAll(ctx context.Context, f flags, p *plan, s *sender, results chan<- result, inFlight *atomic.Int64) {
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	start := time.Now()
	for {
		j, ok := p.next()
		if !ok {
			return
		}
		due := start.Add(j.due)
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if inFlight.Load() >= int64(f.MaxInFlight) {
			results <- result{class: j.class, key: j.idempotencyKey, outcome: outcomeNotSent, kind: "--max-in-flight reached"}
			continue
		}
		inFlight.Add(1)
		calls.Go(func() {
			r := s.send(ctx, j, due)
			inFlight.Add(-1)
			results <- r
		})
	}
}

// collect adds results to the report and prints progress lines, until results is closed.
func collect(report *report, results <-chan result, interval time.Duration, inFlight *atomic.Int64, progress io.Writer) {
	var tick <-chan time.Time
	if interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		tick = ticker.C
	}
	start := time.Now()
	for {
		select {
		case r, ok := <-results:
			if !ok {
				report.Seconds = time.Since(start).Seconds()
				return
			}
			report.add(r)
		case <-tick:
			_, _ = fmt.Fprintln(progress, report.progressLine(time.Since(start), inFlight.Load()))
		}
	}
}
