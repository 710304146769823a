// Command casetool plays one review case: it starts nodes of the fleet as separate
// processes, with stand-ins for the platform's store, the instances, the operator and
// the clients in its own process, and checks one rule from what these see.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime leaves time for the end of the processes within the 120 s of a script.
const maxCaseTime = 105 * time.Second

// The disruption is left out when the environment variable TROUBLE is 0.
const (
	troubleName = "TROUBLE"
	troubleOff  = "0"
)

// errNotRun marks a case that could not run.
var errNotRun = errors.New("the case could not run")

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

type caseFunc func(ctx context.Context, f *fleet, trouble bool) (verdict, error)

var cases = map[string]caseFunc{
	"foreign-heartbeat":  playForeignHeartbeat,
	"restart-late-beat":  playRestartLateBeat,
	"silent-store":       playSilentStore,
	"anonymous-response": playAnonymousResponse,
	"poison":             playPoison,
}

// Nodes get SIGKILL when the thread that started them ends. The main thread lives as
// long as the process.
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Fprintf(os.Stderr, "usage: casetool CASE RECORD-FILE; CASE is one of %s\n", strings.Join(names, ", "))
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, recordFile string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCaseTime)
	defer cancel()
	rec, err := newRecorder(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	f, err := newFleet(rec)
	if err != nil {
		rec.line("not run: %v", err)
		return exitNotRun
	}
	defer f.close()
	trouble := os.Getenv(troubleName) != troubleOff
	rec.line("case %s, disruption: %t", name, trouble)
	v, err := cases[name](ctx, f, trouble)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		rec.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	word, status := "held", exitHeld
	if v.broken {
		word, status = "broken", exitBroken
	}
	rec.line("rule %s: %s", word, v.summary)
	fmt.Printf("rule %s: %s\n", word, v.summary)
	return status
}

// wait sleeps until t. It reports an error when ctx ends before.
func wait(ctx context.Context, t time.Time) error {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
