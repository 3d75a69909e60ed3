//go:build review

package main

import (
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// storeFront stands before the store of the project's stand-ins. It returns up to 500 newest records in a page, as the
// platform's store does, instead of 2, and takes the time that the sheet gives for an answer.
type storeFront struct {
	server *httptest.Server
	delay  atomic.Int64                          // of each answer
	hook   atomic.Pointer[func(r *http.Request)] // called before each call is passed on; nil if unset
}

func newStoreFront(s *standin.Store, delay time.Duration) *storeFront {
	f := &storeFront{}
	f.delay.Store(int64(delay))
	base := &url.URL{Scheme: "http", Host: s.Address().String()}
	proxy := httputil.NewSingleHostReverseProxy(base)
	proxy.FlushInterval = -1
	proxy.ErrorLog = log.New(io.Discard, "", 0) // calls that an instance cancels
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(f.delay.Load()))
		if h := f.hook.Load(); h != nil {
			(*h)(r)
		}
		if strings.HasSuffix(r.URL.Path, "-newest") && r.URL.Query().Get("after") == "" {
			f.serveNewest(w, r, base)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	return f
}

func (f *storeFront) address() netip.AddrPort {
	return netip.MustParseAddrPort(f.server.Listener.Addr().String())
}

func (f *storeFront) close() {
	f.server.CloseClientConnections()
	f.server.Close()
}

// serveNewest returns all pages of the stand-in as one.
func (f *storeFront) serveNewest(w http.ResponseWriter, r *http.Request, base *url.URL) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	type page struct {
		Items     []item `json:"items"`
		HasMore   bool   `json:"hasMore"`
		EndOffset int64  `json:"endOffset"`
	}
	out := page{Items: []item{}}
	q := r.URL.Query()
	for first := true; ; first = false {
		u := *base
		u.Path, u.RawQuery = r.URL.Path, q.Encode()
		resp, err := http.Get(u.String())
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		var p page
		err = json.NewDecoder(resp.Body).Decode(&p)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if first {
			out.EndOffset = p.EndOffset
		}
		out.Items = append(out.Items, p.Items...)
		if !p.HasMore || len(p.Items) == 0 {
			break
		}
		q.Set("after", p.Items[len(p.Items)-1].Key)
	}
	b, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
