// Command stage3 plays the scripts of the cases 11 to 15 of the review: it starts the
// project's own programs as separate processes, plays instances, clients and the operator,
// and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// limit is the longest time that a script may take.
const limit = 115 * time.Second

// trouble reports whether the disruption takes place.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the scripts, by the number of their folder.
var cases = map[string]func(*fleet) (broken []string, err error){
	"11": plannedStop,
	"12": faultyFraming,
	"13": crashingRequest,
	"14": clientsLeave,
	"15": tenantOfLowRank,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(scenario func(*fleet) ([]string, error), record string) int {
	f, err := newFleet(record)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	defer f.close()
	time.AfterFunc(limit, func() {
		f.note("could not run: not done after %s", limit)
		f.close()
		os.Exit(2)
	})
	broken, err := scenario(f)
	if err != nil {
		f.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, line := range broken {
		f.note("rule broken: %s", line)
		fmt.Println("rule broken:", line)
	}
	if len(broken) > 0 {
		return 1
	}
	f.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
