//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0 // the rule was kept
	exitBroken    = 1 // the rule was broken
	exitCannotRun = 2 // the case could not run
)

// scenarios are the cases by name.
var scenarios = map[string]func(r *rig) error{}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig-3 engine FLAGS | rig-3 SCENARIO RECORD-FILE")
		os.Exit(exitCannotRun)
	}
	if os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitCannotRun)
		}
		return
	}
	play, ok := scenarios[os.Args[1]]
	if !ok || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "unknown scenario or no record file")
		os.Exit(exitCannotRun)
	}
	os.Exit(run(play, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a scenario and returns the exit code.
func run(play func(r *rig) error, record string, trouble bool) int {
	r, err := newRig(record, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	ended, stopped := make(chan error, 1), make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() { ended <- play(r) }()
	select {
	case err = <-ended:
	case s := <-stopped:
		err = fmt.Errorf("stopped by the signal %v", s)
	case <-time.After(limit):
		err = fmt.Errorf("not done after %v", limit)
	}
	r.close()
	if err != nil {
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	if len(r.broken) > 0 {
		r.note("the rule was broken %d times", len(r.broken))
		fmt.Println("broken:", len(r.broken))
		for _, b := range r.broken[:min(5, len(r.broken))] {
			fmt.Println(" ", b)
		}
		return exitBroken
	}
	r.note("the rule was kept")
	fmt.Println("kept")
	return exitHeld
}
