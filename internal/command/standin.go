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

// Flags of the stand-ins.
const (
	flagListen   = "listen"
	flagID       = "id"
	flagVersions = "versions"
	flagSlots    = "slots"
	flagFirst    = "first-token"
	flagToken    = "per-token"
	flagHonours  = "honours-keys"
	flagList     = "list"
	flagShares   = "pass-shares"
)

func standinCommand() *cli.Command {
	address := &cli.StringFlag{Name: flagListen, Usage: "loopback `ADDRESS`", Value: "127.0.0.1:0"}
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in of what surrounds an instance, for trials on loopback",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "log, rating service, weight store and instance list",
				Flags: []cli.Flag{
					address,
					&cli.StringSliceFlag{Name: flagList, Usage: "`ROLE/ID/ZONE/ADDRESS[/SERVICE]` of a listed instance; role is engine, service or router"},
					&cli.StringSliceFlag{Name: flagVersions, Usage: "versions that listed engines serve"},
					&cli.StringSliceFlag{Name: flagShares, Usage: "`VERSION=SHARE` of answers that the rating service passes"},
				},
				Action: standinPlatform,
			},
			{
				Name: "engine", Usage: "model engine",
				Flags: []cli.Flag{
					address,
					&cli.StringFlag{Name: flagID, Value: "engine"},
					&cli.StringSliceFlag{Name: flagVersions, Usage: "versions that it serves"},
					&cli.IntFlag{Name: flagSlots, Usage: "requests that it runs at once", Value: 16},
					&cli.DurationFlag{Name: flagFirst, Usage: "time to the first token of an uncached prompt", Value: 50 * time.Millisecond},
					&cli.DurationFlag{Name: flagToken, Usage: "time between tokens", Value: 10 * time.Millisecond},
				},
				Action: standinEngine,
			},
			{
				Name: "service", Usage: "plain service",
				Flags: []cli.Flag{
					address,
					&cli.StringFlag{Name: flagID, Value: "service"},
					&cli.BoolFlag{Name: flagHonours, Usage: "run each idempotency key once"},
				},
				Action: standinService,
			},
		},
	}
}

func standinPlatform(ctx context.Context, c *cli.Command) error {
	shares, err := parseShares(c.StringSlice(flagShares))
	if err != nil {
		return err
	}
	p := &standin.Platform{
		Log: standin.NewLog(time.Now), Rater: standin.NewRater(shares),
		WeightStore: standin.NewWeightStore(time.Second), InstanceList: standin.NewInstanceList(),
	}
	for _, l := range c.StringSlice(flagList) {
		i, err := parseListed(l, c.StringSlice(flagVersions))
		if err != nil {
			return err
		}
		p.InstanceList.Put(i)
	}
	s := &http.Server{Handler: p.Handler(), ReadHeaderTimeout: time.Second}
	return untilSignal(ctx, c, s.Serve, func() { _ = s.Close() })
}

// parseShares reads "version=share" pairs.
func parseShares(l []string) (map[string]float64, error) {
	m := map[string]float64{}
	for _, t := range l {
		v, n, ok := strings.Cut(t, "=")
		f, err := strconv.ParseFloat(n, 64)
		if !ok || err != nil {
			return nil, wrong("standin", ErrUsage, "%q is not VERSION=SHARE", t)
		}
		m[v] = f
	}
	return m, nil
}

// parseListed reads "role/id/zone/address[/service]".
func parseListed(text string, versions []string) (platform.Instance, error) {
	f := strings.Split(text, "/")
	if len(f) < 4 {
		return platform.Instance{}, wrong("standin", ErrUsage, "%q is not ROLE/ID/ZONE/ADDRESS[/SERVICE]", text)
	}
	a, err := netip.ParseAddrPort(f[3])
	if err != nil {
		return platform.Instance{}, wrong("standin", ErrUsage, "%q: %w", text, err)
	}
	i := platform.Instance{Role: platform.Role(f[0]), ID: f[1], AvailabilityZone: f[2], Address: a}
	switch i.Role {
	case platform.RoleEngine:
		i.Versions = versions
	case platform.RoleService:
		if len(f) < 5 {
			return i, wrong("standin", ErrUsage, "%q names no service", text)
		}
		i.Service = f[4]
	case platform.RoleRouter:
	default:
		return i, wrong("standin", ErrUsage, "%q: unknown role", text)
	}
	return i, nil
}

func standinEngine(ctx context.Context, c *cli.Command) error {
	e := standin.NewEngine(standin.EngineOptions{
		ID: c.String(flagID), Versions: c.StringSlice(flagVersions), Slots: c.Int(flagSlots),
		FirstTokenTime: c.Duration(flagFirst), TokenInterval: c.Duration(flagToken), CachedPrefixes: 64, ChecksFencing: true,
	})
	return untilSignal(ctx, c, e.Serve, e.Close)
}

func standinService(ctx context.Context, c *cli.Command) error {
	s := standin.NewService(c.String(flagID), c.Bool(flagHonours))
	return untilSignal(ctx, c, s.Serve, s.Close)
}

// untilSignal serves on the listener, which must be on loopback, until a signal.
func untilSignal(ctx context.Context, c *cli.Command, serve func(net.Listener) error, end func()) error {
	a, err := netip.ParseAddrPort(c.String(flagListen))
	if err != nil || !a.Addr().IsLoopback() {
		return wrong("standin", ErrUsage, "%q is not a loopback address with a port", c.String(flagListen))
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.String())
	if err != nil {
		return &Error{Op: "standin", Kind: ErrFailed, Err: err}
	}
	go func() {
		<-ctx.Done()
		end()
	}()
	if err := serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "standin", Kind: ErrFailed, Err: err}
	}
	return nil
}
