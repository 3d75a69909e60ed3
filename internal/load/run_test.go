package load_test

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/load"
)

const (
	contentEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n"
	endEvents    = "data: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n"
)

// Guards against counting a truncated answer or a refusal as complete, and against a run that doesn't end.
func TestRun(t *testing.T) {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 3 {
		case 0:
			fmt.Fprint(w, contentEvent+contentEvent+endEvents)
		case 1:
			fmt.Fprint(w, contentEvent)
		default:
			w.WriteHeader(http.StatusTooManyRequests)
			fmt.Fprint(w, `{"error":{"code":"overloaded","message":"m","not-run":true,"retry":"safe"}}`)
		}
	}))
	defer s.Close()
	for name, rate := range map[string]float64{"rate": 1000, "concurrency": 0} {
		t.Run(name, func(t *testing.T) {
			n.Store(0)
			r, err := load.Run(t.Context(), load.Options{
				BaseURL: s.URL, Profile: "p", Rate: rate, Concurrency: 30, MaxRequests: 30, SendDuration: time.Minute, RequestTimeout: time.Minute,
			})
			if err != nil {
				t.Fatal(err)
			}
			if r.Requests != 30 || r.Unsent != 0 || r.Completed != 10 || r.Failures["incomplete"] != 10 || r.Failures["overloaded"] != 10 || r.Tokens != 30 {
				t.Errorf("got %+v", r)
			}
		})
	}
}

// Guards against sending load to other hosts by mistake, and against a run without an end.
func TestOptions(t *testing.T) {
	for name, c := range map[string]struct {
		change func(o *load.Options)
		kind   load.ErrorKind
	}{
		"remote address": {func(o *load.Options) { o.BaseURL = "http://192.0.2.1:80" }, load.ErrNotLoopback},
		"name":           {func(o *load.Options) { o.BaseURL = "http://localhost:80" }, load.ErrNotLoopback},
		"no scheme":      {func(o *load.Options) { o.BaseURL = "127.0.0.1:80" }, load.ErrOptions},
		"no requests":    {func(o *load.Options) { o.MaxRequests = 0 }, load.ErrOptions},
		"no time":        {func(o *load.Options) { o.SendDuration = 0 }, load.ErrOptions},
	} {
		t.Run(name, func(t *testing.T) {
			o := load.Options{BaseURL: "http://127.0.0.1:1", Profile: "p", Concurrency: 1, MaxRequests: 1, SendDuration: time.Second, RequestTimeout: time.Second}
			c.change(&o)
			_, err := load.Run(t.Context(), o)
			var e *load.Error
			if !errors.As(err, &e) || e.Kind != c.kind {
				t.Errorf("got %v, want %s", err, c.kind)
			}
		})
	}
}
