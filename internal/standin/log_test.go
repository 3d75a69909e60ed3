package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

// Guards against a return from a copy that keeps later records, loses earlier ones, doesn't give their offsets out again, or leaves
// a reader waiting that can't know of it.
func TestReturnFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, log := t.Context(), standin.NewLog(time.Now)
		appendRecords := func(l ...string) (last platform.Offset) {
			for _, data := range l {
				var err error
				if last, err = log.Append(ctx, "s", []byte(data)); err != nil {
					t.Fatal(err)
				}
			}
			return last
		}
		appendRecords("a", "b")
		time.Sleep(10 * time.Second)
		appendRecords("c", "d")
		time.Sleep(3 * time.Second)
		began := time.Now()
		pages := make(chan platform.Page)
		go func() {
			p, _ := log.Read(ctx, "s", 4, 10, time.Minute)
			pages <- p
		}()
		synctest.Wait()
		log.SetFaults(standin.Faults{CopyAge: 5 * time.Second})
		if p := <-pages; p.Era != 1 || p.End != 2 || !p.ReturnedSince(0, 4) || time.Since(began) != 0 {
			t.Errorf("a reader that waited got %+v after %v", p, time.Since(began))
		}
		if o := appendRecords("e"); o != 2 {
			t.Errorf("the next record got offset %d, want 2", o)
		}
		p, err := log.Read(ctx, "s", 0, 10, 0)
		if err != nil || p.Era != 1 || !p.EraStart.Equal(began) {
			t.Errorf("got %+v, %v", p, err)
		}
		var kept []string
		for _, e := range p.Entries {
			kept = append(kept, string(e.Data))
		}
		if got := strings.Join(kept, ""); got != "abe" {
			t.Errorf("the log keeps %q, want abe", got)
		}
	})
}

// Guards against an era that is lost between the log's handler and the client, and against a fault that can't be set over HTTP.
func TestEraOverHTTP(t *testing.T) {
	p := &standin.Platform{
		Log: standin.NewLog(time.Now), Rater: standin.NewRater(nil), WeightStore: standin.NewWeightStore(time.Second), InstanceList: standin.NewInstanceList(),
	}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	client := platform.NewClient(server.URL, server.Client(), 5*time.Second)
	read := func() platform.Page {
		page, err := client.Read(t.Context(), "s", 0, 10, 0)
		if err != nil {
			t.Fatal(err)
		}
		return page
	}
	if page := read(); page.Era != 0 || !page.EraStart.IsZero() {
		t.Errorf("before the return: %+v", page)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/faults/log", strings.NewReader(`{"copy-age":5000000000}`))
	if err != nil {
		t.Fatal(err)
	}
	res, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if err := res.Body.Close(); err != nil || res.StatusCode != http.StatusOK {
		t.Fatalf("status %d, %v", res.StatusCode, err)
	}
	if page := read(); page.Era != 1 || page.EraStart.IsZero() {
		t.Errorf("after the return: %+v", page)
	}
}
