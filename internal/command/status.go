package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

func statusCommand() *cli.Command {
	return &cli.Command{Name: "status", Usage: "show the state of an instance, its peers, endpoints and versions", Action: showStatus}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	r, err := o.Status(ctx)
	if err != nil {
		return apiError("status", err)
	}
	return printResult(c, r, func(w io.Writer) { writeStatus(w, r) })
}

func writeStatus(w io.Writer, r client.StatusReply) {
	ready := "ready"
	if !r.Ready {
		ready = "not ready: " + r.Reason
	}
	logState := "up"
	if !r.Log.Up {
		logState = "down"
	}
	t := newTable(w, "instance", fmt.Sprintf("%s in %s (%s), build %s", r.Instance, r.AvailabilityZone, r.Region, r.Build))
	t.addRow("state", ready+", started "+r.Started.UTC().Format(timeFormat))
	t.addRow("configuration", fmt.Sprintf("next offset %d of %d, confirmed %s", r.Config.Next, r.Config.Known, r.Config.Confirmed.UTC().Format(timeFormat)))
	t.addRow("log", logState+" since "+r.Log.Since.UTC().Format(timeFormat))
	t.addRow("bills", fmt.Sprintf("%d held, %d witnessed, buffer %d", r.Bills.Held, r.Bills.Witnessed, r.Bills.Buffer))
	t.addRow("suspects", strconv.Itoa(r.Suspects))
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "PEER", "AVAILABILITY-ZONE", "STATE", "CONFIGURATION")
	for _, p := range r.Peers {
		t.addRow(p.Instance, p.AvailabilityZone, p.State, strconv.FormatUint(p.Config, 10))
	}
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "ENDPOINT", "ROLE", "AVAILABILITY-ZONE", "STATE", "OUTSTANDING", "VERSIONS")
	for _, e := range r.Endpoints {
		t.addRow(e.Endpoint, e.Role, e.AvailabilityZone, e.State, strconv.Itoa(e.Outstanding), strings.Join(e.Versions, " "))
	}
	t.flush()
	fmt.Fprintln(w)
	writeVersions(w, r.Versions)
}
