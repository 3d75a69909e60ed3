package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

// Names of the flags of the standin commands.
const (
	flagListen      = "listen"
	flagID          = "id"
	flagVersions    = "versions"
	flagSlots       = "slots"
	flagFirstToken  = "first-token"
	flagPerToken    = "per-token"
	flagHonoursKeys = "honours-keys"
	flagList        = "list"
	flagPassShares  = "pass-shares"
)

func standinCommand() *cli.Command {
	listenFlag := &cli.StringFlag{Name: flagListen, Usage: "loopback `ADDRESS`", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the platform or an endpoint, for tests on loopback",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "run a log, a rating service, a weight store and an instance list",
				Flags: []cli.Flag{
					listenFlag,
					&cli.StringSliceFlag{Name: flagList, Usage: "`ROLE/ID/ZONE/ADDRESS[/SERVICE]` of a listed instance; role is engine, service or router"},
					&cli.StringSliceFlag{Name: flagVersions, Usage: "versions that the listed engines serve"},
					&cli.StringSliceFlag{Name: flagPassShares, Usage: "`VERSION=SHARE`: share of a version's answers that the rating service passes"},
				},
				Action: runPlatformStandIn,
			},
			{
				Name: "engine", Usage: "run a model engine",
				Flags: []cli.Flag{
					listenFlag,
					&cli.StringFlag{Name: flagID, Value: "engine"},
					&cli.StringSliceFlag{Name: flagVersions, Usage: "versions that the engine serves"},
					&cli.IntFlag{Name: flagSlots, Usage: "maximum number of concurrent requests", Value: 16},
					&cli.DurationFlag{Name: flagFirstToken, Usage: "time to the first token of an uncached prompt", Value: 50 * time.Millisecond},
					&cli.DurationFlag{Name: flagPerToken, Usage: "time between tokens", Value: 10 * time.Millisecond},
				},
				Action: runEngineStandIn,
			},
			{
				Name: "service", Usage: "run a plain service",
				Flags: []cli.Flag{
					listenFlag,
					&cli.StringFlag{Name: flagID, Value: "service"},
					&cli.BoolFlag{Name: flagHonoursKeys, Usage: "process each idempotency key once"},
				},
				Action: runServiceStandIn,
			},
		},
	}
}

func runPlatformStandIn(ctx context.Context, c *cli.Command) error {
	shares, err := parseShares(c.StringSlice(flagPassShares))
	if err != nil {
		return err
	}
	p := &standin.Platform{
		Log: standin.NewLog(time.Now), Rater: standin.NewRater(shares),
		WeightStore: standin.NewWeightStore(time.Second), InstanceList: standin.NewInstanceList(),
	}
	for _, l := range c.StringSlice(flagList) {
		i, err := parseInstance(l, c.StringSlice(flagVersions))
		if err != nil {
			return err
		}
		p.InstanceList.Put(i)
	}
	s := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Second}
	return serveUntilSignal(ctx, c, s.Serve, func() { _ = s.Close() })
}

// parseShares parses texts of the form VERSION=SHARE.
func parseShares(l []string) (map[string]float64, error) {
	m := map[string]float64{}
	for _, t := range l {
		version, value, ok := strings.Cut(t, "=")
		share, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return nil, errorf("standin", ErrUsage, "%q is not VERSION=SHARE", t)
		}
		m[version] = share
	}
	return m, nil
}

// parseInstance parses a text of the form ROLE/ID/ZONE/ADDRESS[/SERVICE].
func parseInstance(text string, versions []string) (platform.Instance, error) {
	fields := strings.Split(text, "/")
	if len(fields) < 4 {
		return platform.Instance{}, errorf("standin", ErrUsage, "%q is not ROLE/ID/ZONE/ADDRESS[/SERVICE]", text)
	}
	a, err := netip.ParseAddrPort(fields[3])
	if err != nil {
		return platform.Instance{}, errorf("standin", ErrUsage, "%q: %w", text, err)
	}
	i := platform.Instance{Role: platform.Role(fields[0]), ID: fields[1], AvailabilityZone: fields[2], Address: a}
	switch i.Role {
	case platform.RoleEngine:
		i.Versions = versions
	case platform.RoleService:
		if len(fields) < 5 {
			return i, errorf("standin", ErrUsage, "%q has no service name", text)
		}
		i.Service = fields[4]
	case platform.RoleRouter:
	default:
		return i, errorf("standin", ErrUsage, "%q: unknown role", text)
	}
	return i, nil
}

func runEngineStandIn(ctx context.Context, c *cli.Command) error {
	e := standin.NewEngine(standin.EngineOptions{
		ID: c.String(flagID), Versions: c.StringSlice(flagVersions), Slots: c.Int(flagSlots),
		FirstTokenTime: c.Duration(flagFirstToken), TokenInterval: c.Duration(flagPerToken), CachedPrefixes: 64, ChecksFencing: true,
	})
	return serveUntilSignal(ctx, c, e.Serve, e.Close)
}

func runServiceStandIn(ctx context.Context, c *cli.Command) error {
	s := standin.NewService(c.String(flagID), c.Bool(flagHonoursKeys))
	return serveUntilSignal(ctx, c, s.Serve, s.Close)
}

// serveUntilSignal listens on the address of the listen flag, which must be a loopback address, and serves until a signal.
func serveUntilSignal(ctx context.Context, c *cli.Command, serve func(net.Listener) error, shutdown func()) error {
	a, err := netip.ParseAddrPort(c.String(flagListen))
	if err != nil || !a.Addr().IsLoopback() {
		return errorf("standin", ErrUsage, "%q is not a loopback address with a port", c.String(flagListen))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
	if err != nil {
		return &Error{Op: "standin", Kind: ErrFailed, Err: err}
	}
	go func() {
		<-ctx.Done()
		shutdown()
	}()
	if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "standin", Kind: ErrFailed, Err: err}
	}
	return nil
}
