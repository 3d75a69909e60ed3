//go:build review

// Command review-cases runs one case of the review with stand-ins of this repository. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// caseRun is what a case needs.
type caseRun struct {
	*record
	program string // the built program of the deploy file
	dir     string // temporary folder
	trouble bool   // false: run without the disruption
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE PROGRAM RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*caseRun) (broken bool, err error){"version": versionCase, "resume": resumeCase}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}

func runCase(run func(*caseRun) (bool, error), program, recordPath string) int {
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, dir)
	}
	if program, err = filepath.Abs(program); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c := &caseRun{record: &record{w: f, start: time.Now()}, program: program, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	broken, err := run(c)
	switch {
	case err != nil:
		c.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken:
		return 1
	}
	return 0
}
