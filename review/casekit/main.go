// Command casekit runs the scripted cases of the second review. It starts the nodes of
// a small deployment as separate processes and plays their clients, instances and
// store. It exits with 1 when the rule of the case was broken, with 0 when it held, and
// with 2 when the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripts by the number of their folder.
var cases = map[string]func(*stage){}

func main() {
	runtime.LockOSThread() // the nodes get a signal when the thread that started them ends
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1]))
}

// play runs one case in a stage of its own and returns the exit status.
func play(number string) (status int) {
	s, err := newStage(number, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	defer func() {
		if failure := recover(); failure != nil {
			s.note("the case could not run: %v", failure)
			if _, expected := failure.(cannotRun); !expected {
				s.note("%s", debug.Stack())
			}
			status = exitNotRun
		}
	}()
	cases[number](s)
	if n := s.breaches.Load(); n > 0 {
		s.note("RULE BROKEN: %d breaches", n)
		return exitBroken
	}
	s.note("rule held")
	return exitHeld
}
