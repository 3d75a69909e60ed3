package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options say what to run.
type Options struct {
	Program   string // the binary
	Dir       string // for settings and logs
	Seed      uint64
	Length    time.Duration // of the faults; planned changes alone take half as long after them
	Instances int
	Engines   int
}

// settle is the time from the last fault until the checks of planned changes begin: endpoints that failed get work again,
// and the bounds hold.
const settle = stability + time.Second

// calmFor is the time without any change at the end.
const calmFor = 2 * time.Second

// Report is what came of a run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Acts     []string // faults and changes, in order
	Broken   []string // promises
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	f, err := newFleet(o)
	if err != nil {
		return Report{Seed: o.Seed}, err
	}
	defer f.close()
	work, cancel := context.WithCancel(ctx)
	var w sync.WaitGroup
	for _, n := range f.instances {
		for k := range workers {
			w.Go(func() { f.client(work, n, k) })
		}
	}
	time.Sleep(settle)
	f.play(ctx, time.Now().Add(o.Length), append(append([]act{}, faults...), planned...))
	time.Sleep(settle)
	plannedFrom := time.Now()
	f.note("planned changes only")
	f.play(ctx, time.Now().Add(o.Length/2), planned)
	time.Sleep(settle)
	calmFrom := time.Now()
	time.Sleep(calmFor)
	cancel()
	w.Wait()
	r := Report{Seed: o.Seed, Requests: len(f.requests), Acts: f.notes}
	for _, q := range f.requests {
		if q.answer.Status == http.StatusOK && q.answer.Complete {
			r.Served++
		}
	}
	if r.Broken = f.check(plannedFrom, calmFrom); len(r.Broken) > 0 {
		err = &Error{Op: fmt.Sprint("seed ", o.Seed), Kind: ErrBroken, Err: errors.Join(f.keep(), fmt.Errorf("%d broken promises", len(r.Broken)))}
	}
	return r, err
}

// keep writes the logs of all processes.
func (f *fleet) keep() error {
	var err error
	for _, n := range f.instances {
		for i, o := range n.logs {
			p := filepath.Join(f.options.Dir, fmt.Sprintf("instance-%d-run-%d.log", n.index, i+1))
			err = errors.Join(err, os.WriteFile(p, o.text(), 0o600))
		}
	}
	return err
}
