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

const rebuildReadLimit = 5000 // records per read

// RebuildOptions describe the claims that a new instance has to load.
type RebuildOptions struct {
	Claims        int // number of claims in the window
	ClaimBytes    int // size of a claim in the log
	RetainedBytes int // size of a claim in a checkpoint
}

// DefaultRebuildOptions returns the claims window of the target size: 500 claims per second for 15 minutes.
func DefaultRebuildOptions() RebuildOptions {
	return RebuildOptions{Claims: 450_000, ClaimBytes: claimLogBytes, RetainedBytes: retainedClaimBytes}
}

// ClaimsRebuild compares reading the claims window from the log with fetching a checkpoint of it from a peer.
func ClaimsRebuild(ctx context.Context, o RebuildOptions) (Table, error) {
	t := Table{
		Name:    "warm state: claims of 15 minutes for a new instance",
		Columns: []string{"way", "MB", "seconds", "at 11 KB/s, seconds"},
		Notes: []string{
			"the log stand-in is read over HTTP on loopback; reads of the log don't count as control traffic",
			"a checkpoint from a peer is control traffic: the last column is bytes through the budget",
		},
	}
	n, d, err := rebuildFromLog(ctx, o)
	if err != nil {
		return t, fmt.Errorf("rebuild from the log: %w", err)
	}
	t.Rows = append(t.Rows, []string{"log", fmt.Sprintf("%.1f", float64(n)/1e6), fmt.Sprintf("%.2f", d.Seconds()), "-"})
	n, d, err = rebuildFromPeer(ctx, o)
	if err != nil {
		return t, fmt.Errorf("rebuild from a peer: %w", err)
	}
	t.Rows = append(t.Rows, []string{
		"peer's checkpoint", fmt.Sprintf("%.1f", float64(n)/1e6), fmt.Sprintf("%.2f", d.Seconds()), formatRounded(float64(n) / targetControlBytesPerSecond),
	})
	return t, nil
}

// rebuildFromLog reads the window from the log over HTTP and returns the bytes read and the time. A record holds six
// claims, as 500 claims per second are appended in some 80 records per second.
func rebuildFromLog(ctx context.Context, o RebuildOptions) (int, time.Duration, error) {
	const claimsPerRecord = 6
	log := standin.NewLog(time.Now)
	for range o.Claims / claimsPerRecord {
		if _, err := log.Append(ctx, "claims-00", make([]byte, claimsPerRecord*o.ClaimBytes)); err != nil {
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
		p, err := remote.Read(ctx, "claims-00", from, rebuildReadLimit, 0)
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

// fixedSizeSnapshot provides a snapshot of a fixed size.
type fixedSizeSnapshot struct{ size int }

// Snapshot returns size bytes.
func (c fixedSizeSnapshot) Snapshot(context.Context) ([]byte, error) {
	return bytes.Repeat([]byte{1}, c.size), nil
}

// rebuildFromPeer fetches a checkpoint of the window from a peer with a practically unlimited budget and returns the
// bytes received and the time.
func rebuildFromPeer(ctx context.Context, o RebuildOptions) (int, time.Duration, error) {
	list := standin.NewInstanceList()
	var services []*peer.Service
	for i := range 2 {
		s := peer.DefaultSettings(fmt.Sprintf("i%d", i), "z", netip.MustParseAddrPort("127.0.0.1:0"))
		s.BytesPerSecond, s.ListInterval = 1<<30, 50*time.Millisecond
		p := peer.New(s, peer.Hooks{List: list, Snapshots: fixedSizeSnapshot{o.Claims * o.RetainedBytes}}, zap.NewNop(), tally.NoopScope)
		if err := p.Start(ctx); err != nil {
			return 0, 0, err
		}
		defer p.Stop()
		list.Put(platform.Instance{ID: s.ID, Role: platform.RoleRouter, AvailabilityZone: s.Zone, Address: p.Address()})
		services = append(services, p)
	}
	for len(services[0].View().Peers) == 0 {
		if sleep(ctx, 10*time.Millisecond); ctx.Err() != nil {
			return 0, 0, ctx.Err()
		}
	}
	before, _ := services[0].TrafficBytes()
	began := time.Now()
	if _, err := services[0].FetchSnapshot(ctx); err != nil {
		return 0, 0, err
	}
	after, _ := services[0].TrafficBytes()
	return int(after - before), time.Since(began), nil
}
