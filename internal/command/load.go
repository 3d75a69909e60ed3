package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/load"
)

// Names of the flags of the load command.
const (
	flagURL           = "url"
	flagCallerKeyFile = "caller-key-file"
	flagProfile       = "profile"
	flagPrompt        = "prompt"
	flagMaxTokens     = "max-tokens"
	flagRate          = "rate"
	flagConcurrency   = "concurrency"
	flagRequests      = "requests"
	flagTime          = "time"
	flagAnswerTime    = "answer-time"
	flagNotLoopback   = "not-loopback"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send chat requests to the callers' API and measure the streamed responses",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagURL, Usage: "`URL` of the callers' API", Required: true},
			&cli.StringFlag{Name: flagCallerKeyFile, Usage: "`FILE` with the organisation's API key", Required: true},
			&cli.StringFlag{Name: flagProfile, Usage: "profile that the requests name", Required: true},
			&cli.StringFlag{Name: flagPrompt, Value: "Where is container 12?"},
			&cli.IntFlag{Name: flagMaxTokens, Usage: "maximum tokens of a response; 0 applies the bound of the profile"},
			&cli.FloatFlag{Name: flagRate, Usage: "requests per second, independent of running requests; 0 keeps the number of concurrent requests constant"},
			&cli.IntFlag{Name: flagConcurrency, Usage: "concurrent requests; the maximum if a rate is set", Value: 100},
			&cli.IntFlag{Name: flagRequests, Usage: "maximum number of requests", Value: 10_000},
			&cli.DurationFlag{Name: flagTime, Usage: "duration of sending", Value: 30 * time.Second},
			&cli.DurationFlag{Name: flagAnswerTime, Usage: "timeout of a request", Value: 2 * time.Minute},
			&cli.BoolFlag{Name: flagNotLoopback, Usage: "allow an address other than loopback"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	key, err := os.ReadFile(c.String(flagCallerKeyFile))
	if err != nil {
		return &Error{Op: "load", Kind: ErrFile, Err: err}
	}
	r, err := load.Run(ctx, load.Options{
		BaseURL: c.String(flagURL), APIKey: strings.TrimSpace(string(key)), Profile: c.String(flagProfile), Prompt: c.String(flagPrompt),
		MaxTokens: c.Int(flagMaxTokens), Rate: c.Float(flagRate), Concurrency: c.Int(flagConcurrency), MaxRequests: c.Int(flagRequests),
		SendDuration: c.Duration(flagTime), RequestTimeout: c.Duration(flagAnswerTime), AllowRemote: c.Bool(flagNotLoopback),
	})
	var e *load.Error
	if errors.As(err, &e) {
		return &Error{Op: "load", Kind: ErrUsage, Err: err}
	}
	if err != nil {
		return &Error{Op: "load", Kind: ErrFailed, Err: err}
	}
	return printResult(c, r, func(w io.Writer) { writeLoadReport(w, r) })
}

func writeLoadReport(w io.Writer, r load.Report) {
	t := newTable(w, "requests", fmt.Sprintf("%d sent, %d unsent, %d whole", r.Requests, r.Unsent, r.Completed))
	for _, k := range slices.Sorted(maps.Keys(r.Failures)) {
		t.addRow(k, strconv.FormatInt(r.Failures[k], 10))
	}
	t.addRow("tokens", fmt.Sprintf("%d in %.1f s, %.0f/s", r.Tokens, r.ElapsedSeconds, r.TokensPerSecond))
	t.flush()
	fmt.Fprintln(w)
	t = newTable(w, "TIME (ms)", "P50", "P95", "P99")
	for _, line := range []struct {
		name string
		load.LatencyQuantiles
	}{{"first token", r.FirstToken}, {"between tokens", r.BetweenTokens}} {
		t.addRow(line.name, fmt.Sprintf("%.2f", line.P50), fmt.Sprintf("%.2f", line.P95), fmt.Sprintf("%.2f", line.P99))
	}
	t.flush()
}
