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

// Flags of load.
const (
	flagURL         = "url"
	flagCallerKey   = "caller-key-file"
	flagProfile     = "profile"
	flagPrompt      = "prompt"
	flagMaxTokens   = "max-tokens"
	flagRate        = "rate"
	flagConcurrency = "concurrency"
	flagRequests    = "requests"
	flagTime        = "time"
	flagAnswerTime  = "answer-time"
	flagNotLoopback = "not-loopback"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send chat requests to the callers' API and measure the streamed answers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagURL, Usage: "`URL` of the callers' API", Required: true},
			&cli.StringFlag{Name: flagCallerKey, Usage: "`FILE` with the organisation's API key", Required: true},
			&cli.StringFlag{Name: flagProfile, Usage: "profile that the requests name", Required: true},
			&cli.StringFlag{Name: flagPrompt, Value: "Where is container 12?"},
			&cli.IntFlag{Name: flagMaxTokens, Usage: "longest answer; 0 leaves it to the profile"},
			&cli.FloatFlag{Name: flagRate, Usage: "requests per second, whether or not earlier ones have ended; 0 keeps the concurrency"},
			&cli.IntFlag{Name: flagConcurrency, Usage: "requests under way, or their bound with a rate", Value: 100},
			&cli.IntFlag{Name: flagRequests, Usage: "requests at most", Value: 10_000},
			&cli.DurationFlag{Name: flagTime, Usage: "time in which requests are sent", Value: 30 * time.Second},
			&cli.DurationFlag{Name: flagAnswerTime, Usage: "longest time of one answer", Value: 2 * time.Minute},
			&cli.BoolFlag{Name: flagNotLoopback, Usage: "allow an address that is not a loopback one"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	key, err := os.ReadFile(c.String(flagCallerKey))
	if err != nil {
		return &Error{Op: "load", Kind: ErrFile, Err: err}
	}
	r, err := load.Run(ctx, load.Options{
		Base: c.String(flagURL), Key: strings.TrimSpace(string(key)), Profile: c.String(flagProfile), Prompt: c.String(flagPrompt),
		MaxTokens: c.Int(flagMaxTokens), Rate: c.Float(flagRate), Concurrency: c.Int(flagConcurrency), Requests: c.Int(flagRequests),
		Time: c.Duration(flagTime), Timeout: c.Duration(flagAnswerTime), Remote: c.Bool(flagNotLoopback),
	})
	var e *load.Error
	if errors.As(err, &e) {
		return &Error{Op: "load", Kind: ErrUsage, Err: err}
	}
	if err != nil {
		return &Error{Op: "load", Kind: ErrFailed, Err: err}
	}
	return show(c, r, func(w io.Writer) { writeLoad(w, r) })
}

func writeLoad(w io.Writer, r load.Report) {
	t := newColumns(w, "requests", fmt.Sprintf("%d sent, %d unsent, %d whole", r.Requests, r.Unsent, r.Whole))
	for _, k := range slices.Sorted(maps.Keys(r.Failures)) {
		t.row(k, strconv.FormatInt(r.Failures[k], 10))
	}
	t.row("tokens", fmt.Sprintf("%d in %.1f s, %.0f/s", r.Tokens, r.Seconds, r.PerSecond))
	t.flush()
	fmt.Fprintln(w)
	t = newColumns(w, "TIME (ms)", "P50", "P95", "P99")
	for _, x := range []struct {
		name string
		load.Times
	}{{"first token", r.First}, {"between tokens", r.Between}} {
		t.row(x.name, fmt.Sprintf("%.2f", x.P50), fmt.Sprintf("%.2f", x.P95), fmt.Sprintf("%.2f", x.P99))
	}
	t.flush()
}
