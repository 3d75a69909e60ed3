package measure

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

const rebuildPage = 5000 // records in one read

// RebuildOptions are the sizes of the state that a new instance needs.
type RebuildOptions struct {
	Claims int // of the window
	Size   int // bytes of a claim's record
	Kept   int // bytes that a fold keeps of a claim
}

// DefaultRebuild returns the window of the target size: 500 claims a second for 15 minutes.
func DefaultRebuild() RebuildOptions {
	return RebuildOptions{Claims: 450_000, Size: claimSize, Kept: claimKept}
}

// Rebuild compares reading the claims window from the log with taking a checkpoint of it from a peer.
func Rebuild(ctx context.Context, o RebuildOptions) (Table, error) {
	t := Table{
		Name:    "warm state: claims of 15 minutes for a new instance",
		Columns: []string{"way", "MB", "seconds", "at 11 KB/s, seconds"},
		Notes: []string{
			"the log stand-in is read over HTTP on loopback; reads of the log don't count as control traffic",
			"a checkpoint from a peer is control traffic: the last column is bytes through the budget",
		},
	}
	n, d, err := fromLog(ctx, o)
	if err != nil {
		return t, fmt.Errorf("rebuild from the log: %w", err)
	}
	t.Rows = append(t.Rows, []string{"log", fmt.Sprintf("%.1f", float64(n)/1e6), fmt.Sprintf("%.2f", d.Seconds()), "-"})
	n, d, err = fromPeer(ctx, o)
	if err != nil {
		return t, fmt.Errorf("rebuild from a peer: %w", err)
	}
	t.Rows = append(t.Rows, []string{
		"peer's checkpoint", fmt.Sprintf("%.1f", float64(n)/1e6), fmt.Sprintf("%.2f", d.Seconds()), number(float64(n) / targetBytes),
	})
	return t, nil
}

// fromLog reads the window, six claims in a record: 500 claims a second over 80 appends.
func fromLog(ctx context.Context, o RebuildOptions) (int, time.Duration, error) {
	const inRecord = 6
	log := standin.NewLog(time.Now)
	for range o.Claims / inRecord {
		if _, err := log.Append(ctx, "claims-00", make([]byte, inRecord*o.Size)); err != nil {
			return 0, 0, err
		}
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, err
	}
	server := &http.Server{Handler: (&standin.Platform{Log: log}).Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	remote := platform.NewClient("http://"+l.Addr().String(), client, time.Minute)
	began, read := time.Now(), 0
	for from := platform.Offset(0); ; {
		p, err := remote.Read(ctx, "claims-00", from, rebuildPage, 0)
		if err != nil {
			return 0, 0, err
		}
		for _, e := range p.Entries {
			read += len(e.Data)
		}
		from += platform.Offset(len(p.Entries))
		if from >= p.End {
			return read, time.Since(began), nil
		}
	}
}

// checkpoint is a state of fixed size.
type checkpoint struct{ size int }

// Snapshot returns the state.
func (c checkpoint) Snapshot(context.Context) ([]byte, error) {
	return bytes.Repeat([]byte{1}, c.size), nil
}

// fromPeer takes the folded window from a peer whose budget doesn't limit it.
func fromPeer(ctx context.Context, o RebuildOptions) (int, time.Duration, error) {
	list := standin.NewInstanceList()
	var l []*peer.Service
	for i := range 2 {
		s := peer.DefaultSettings(fmt.Sprintf("i%d", i), "z", netip.MustParseAddrPort("127.0.0.1:0"))
		s.BytesPerSecond, s.ListInterval = 1<<30, 50*time.Millisecond
		p := peer.New(s, peer.Hooks{List: list, Snapshots: checkpoint{o.Claims * o.Kept}}, zap.NewNop(), tally.NoopScope)
		if err := p.Start(ctx); err != nil {
			return 0, 0, err
		}
		defer p.Stop()
		list.Put(platform.Instance{ID: s.ID, Role: platform.RoleRouter, AvailabilityZone: s.Zone, Address: p.Address()})
		l = append(l, p)
	}
	for len(l[0].View().Peers) == 0 {
		if pause(ctx, 10*time.Millisecond); ctx.Err() != nil {
			return 0, 0, ctx.Err()
		}
	}
	before, _ := l[0].TrafficBytes()
	began := time.Now()
	if _, err := l[0].FetchSnapshot(ctx); err != nil {
		return 0, 0, err
	}
	after, _ := l[0].TrafficBytes()
	return int(after - before), time.Since(began), nil
}
