package command

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

func timelineCommand() *cli.Command {
	var f timeline.Filter
	only := func(name, usage string, to *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: "only events of this " + usage, Destination: to}
	}
	return &cli.Command{
		Name:      "timeline",
		Usage:     "merge the events of instances into one time line, causes before effects",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			only("request", "request `KEY`", &f.Request),
			only("session", "session `ID`", &f.Session),
			only("organisation", "organisation `NAME`", &f.Organisation),
			only("version", "version `MODEL@VERSION`", &f.Version),
			only("endpoint", "endpoint `ID`", &f.Endpoint),
			only("instance", "instance `ID`", &f.Instance),
		},
		Action: func(_ context.Context, c *cli.Command) error { return mergeEvents(c, f) },
	}
}

func mergeEvents(c *cli.Command, f timeline.Filter) error {
	if c.Args().Len() == 0 {
		return wrong("timeline", ErrUsage, "%s takes one or more files", c.FullName())
	}
	w := bufio.NewWriter(c.Root().Writer)
	emit := func(e timeline.Event) error { return writeEvent(w, e) }
	if c.Bool(flagJSON) {
		j := json.NewEncoder(w)
		emit = func(e timeline.Event) error { return j.Encode(e) }
	}
	r, err := timeline.MergeFiles(c.Args().Slice(), f, emit)
	if err := errors.Join(err, w.Flush()); err != nil {
		return &Error{Op: "timeline", Kind: ErrFile, Err: err}
	}
	if r.Skipped > 0 {
		fmt.Fprintf(c.Root().ErrWriter, "%d lines are no events, as after a crash; %d events were read\n", r.Skipped, r.Events)
	}
	return nil
}

func writeEvent(w io.Writer, e timeline.Event) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s %s", e.Timestamp, e.Instance, e.Component, e.Name)
	add := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%q", name, value)
		}
	}
	add("request", e.Request)
	add("session", e.Session)
	add("organisation", e.Organisation)
	add("version", e.Version)
	add("endpoint", e.Endpoint)
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		add(k, e.Fields[k])
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
