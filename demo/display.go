package demo

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// events collects the steps of the scenario as lines of text.
type events struct {
	startedAt time.Time
	mu        sync.Mutex
	lines     []string
}

func (e *events) add(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lines = append(e.lines, fmt.Sprintf("%5.1fs  %s", time.Since(e.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

// linesFrom returns the lines from index i on.
func (e *events) linesFrom(i int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lines[min(i, len(e.lines)):]
}

const (
	displayInterval  = time.Second
	terminalInterval = 250 * time.Millisecond
	clearTerminal    = "\x1b[H\x1b[J" // cursor home, erase to the end
)

// display writes new events and a status line once a second, or redraws a table on a
// terminal.
type display struct {
	scenario      *scenario
	writtenEvents int
}

func newDisplay(s *scenario) *display { return &display{scenario: s} }

func (d *display) run(ctx context.Context) {
	interval := displayInterval
	if d.scenario.options.Terminal {
		interval = terminalInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if d.scenario.options.Terminal {
				d.redraw()
			} else {
				d.writeEvents()
			}
			return
		case <-ticker.C:
			if d.scenario.options.Terminal {
				d.redraw()
				continue
			}
			d.writeEvents()
			fmt.Fprintln(d.scenario.options.Out, d.statusLine())
		}
	}
}

func (d *display) writeEvents() {
	for _, line := range d.scenario.events.linesFrom(d.writtenEvents) {
		fmt.Fprintln(d.scenario.options.Out, line)
		d.writtenEvents++
	}
}

// lastSecond sums up the requests that ended within the last second, by kind and in
// total, with the p99 of short work in milliseconds.
func (d *display) lastSecond() (byKind map[kind]RequestSums, all RequestSums, p99MS float64) {
	results := d.scenario.ledger.endedSince(time.Now().Add(-time.Second))
	byKind = map[kind]RequestSums{}
	for _, r := range results {
		byKind[r.kind] = byKind[r.kind].add(r)
		all = all.add(r)
	}
	p99MS, _ = p99(results)
	return byKind, all, p99MS
}

func (d *display) phase() string {
	d.scenario.ledger.mu.Lock()
	defer d.scenario.ledger.mu.Unlock()
	if d.scenario.ledger.phase == "" {
		return "-"
	}
	return d.scenario.ledger.phase
}

func (d *display) statusLine() string {
	_, all, p99MS := d.lastSecond()
	return fmt.Sprintf("%5.1fs  | %-13s  %4d ended/s  %4d in time  %4d not-run  %3d unknown  p99 short %4.0f ms  ready %d  version %d  ejected %s",
		time.Since(d.scenario.startedAt).Seconds(), d.phase(), all.Offered, all.InTime, all.NotRun, all.Unknown, p99MS,
		len(d.scenario.watch.ready()), d.scenario.watch.minVersion(), d.ejections())
}

func (d *display) ejections() string {
	var parts []string
	for _, n := range d.scenario.fleet.nodes {
		if entries, ready := d.scenario.watch.countEjecting(n.targetID); entries > 0 {
			parts = append(parts, fmt.Sprintf("%s by %d/%d", n.targetID, entries, ready))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

// redraw writes the whole table in one call, so that it does not flicker.
func (d *display) redraw() {
	var b bytes.Buffer
	b.WriteString(clearTerminal)
	byKind, all, p99MS := d.lastSecond()
	fmt.Fprintf(&b, "hyssopsill demo  %.1f s  phase %s  p99 of short work %.0f ms\n\n", time.Since(d.scenario.startedAt).Seconds(), d.phase(), p99MS)
	fmt.Fprintf(&b, "%-10s %8s %8s %8s %8s %11s\n", "last 1 s", "ended", "in time", "not-run", "unknown", "no response")
	row := func(name string, r RequestSums) {
		fmt.Fprintf(&b, "%-10s %8d %8d %8d %8d %11d\n", name, r.Offered, r.InTime, r.NotRun, r.Unknown, r.NoResponse)
	}
	for _, k := range kinds {
		row(string(k), byKind[k])
	}
	row("all", all)
	fmt.Fprintf(&b, "\n%-6s %-7s %-7s %-8s %-7s %9s %8s  %s\n", "node", "domain", "ready", "version", "target", "arrivals", "running", "ejected by")
	d.writeNodeRows(&b)
	b.WriteString("\n")
	lines := d.scenario.events.linesFrom(0)
	for _, line := range lines[max(0, len(lines)-10):] {
		fmt.Fprintln(&b, line)
	}
	_, _ = d.scenario.options.Out.Write(b.Bytes())
}

func (d *display) writeNodeRows(b *bytes.Buffer) {
	for _, n := range d.scenario.fleet.nodes {
		status, reachable := d.scenario.watch.status(n)
		state := "yes"
		switch {
		case !reachable:
			state = "gone"
		case status.Draining:
			state = "drains"
		case !status.Ready:
			state = "no"
		}
		ejecting, readyNodes := d.scenario.watch.countEjecting(n.targetID)
		fmt.Fprintf(b, "%-6s %-7s %-7s %-8d %-7s %9d %8d  %d of %d\n", n.name, n.domain, state, status.ConfigVersion, n.targetID,
			len(n.arrivalsSince(time.Time{})), n.target.Counts().Running, ejecting, readyNodes)
	}
}
