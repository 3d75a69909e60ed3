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
	filterFlag := func(name, usage string, destination *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: "only events of this " + usage, Destination: destination}
	}
	return &cli.Command{
		Name:      "timeline",
		Usage:     "merge the events of instances into one timeline in causal order",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			filterFlag("request", "request `KEY`", &f.Request),
			filterFlag("session", "session `ID`", &f.Session),
			filterFlag("organisation", "organisation `NAME`", &f.Organisation),
			filterFlag("version", "version `MODEL@VERSION`", &f.Version),
			filterFlag("endpoint", "endpoint `ID`", &f.Endpoint),
			filterFlag("instance", "instance `ID`", &f.Instance),
		},
		Action: func(_ context.Context, c *cli.Command) error { return mergeEvents(c, f) },
	}
}

func mergeEvents(c *cli.Command, f timeline.Filter) error {
	if c.Args().Len() == 0 {
		return errorf("timeline", ErrUsage, "%s takes one or more files", c.FullName())
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
		fmt.Fprintf(c.Root().ErrWriter, "skipped %d lines that are not events, which a crash can leave; read %d events\n", r.Skipped, r.Events)
	}
	return nil
}

func writeEvent(w io.Writer, e timeline.Event) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s %s", e.Timestamp, e.Instance, e.Component, e.Name)
	addField := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, " %s=%q", name, value)
		}
	}
	addField("request", e.Request)
	addField("session", e.Session)
	addField("organisation", e.Organisation)
	addField("version", e.Version)
	addField("endpoint", e.Endpoint)
	for _, k := range slices.Sorted(maps.Keys(e.Fields)) {
		addField(k, e.Fields[k])
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
