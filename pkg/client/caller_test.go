package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

func refusal(code client.Code, notRun bool, r client.Retry) string {
	return fmt.Sprintf(`{"error":{"code":%q,"message":"m","not-run":%v,"retry":%q}}`, code, notRun, r)
}

// serve answers the n-th request with the n-th body, the last one for good, and notes the requests' keys.
func serve(t *testing.T, status int, bodies ...string) (base string, keys *[]string) {
	t.Helper()
	keys = new([]string)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := bodies[min(len(*keys), len(bodies)-1)]
		*keys = append(*keys, r.Header.Get(client.HeaderIdempotencyKey))
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasPrefix(b, `{"error"`) || b == "" {
			w.WriteHeader(status)
		}
		fmt.Fprint(w, b)
	}))
	t.Cleanup(s.Close)
	return s.URL, keys
}

const answer = `{"id":"1","model":"m@2","choices":[{"index":0,"message":{"role":"assistant","content":"whole"},"finish_reason":"stop"}]}`

// Guards against a request that runs twice because the client sent it again, and against one given up too early.
func TestCallerRetriesOnlyWhenSafe(t *testing.T) {
	safe := refusal(client.CodeNoCapacity, true, client.RetrySafe)
	tests := map[string]struct {
		bodies []string
		sent   int
		code   client.Code
	}{
		"answer":             {[]string{answer}, 1, ""},
		"safe, then answer":  {[]string{safe, safe, answer}, 3, ""},
		"safe without end":   {[]string{safe}, 3, client.CodeNoCapacity},
		"unsafe":             {[]string{refusal(client.CodeOutcomeUnknown, false, client.RetryUnsafe), answer}, 1, client.CodeOutcomeUnknown},
		"never":              {[]string{refusal(client.CodeSuspect, true, client.RetryNever), answer}, 1, client.CodeSuspect},
		"no body":            {[]string{"", answer}, 1, client.CodeTransport},
		"answer cut short":   {[]string{answer[:20], answer}, 1, client.CodeTransport},
		"not run but unsafe": {[]string{refusal(client.CodeIncomplete, true, client.RetryUnsafe), answer}, 1, client.CodeIncomplete},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			base, keys := serve(t, http.StatusServiceUnavailable, test.bodies...)
			c := client.NewCaller(base, "key", http.DefaultClient, client.Retries{Tries: 3, Wait: 1})
			r, err := c.Chat(context.Background(), client.ChatRequest{Model: "reports"})
			var e *client.Error
			switch {
			case test.code == "" && (err != nil || r.Choices[0].Message.Content != "whole"):
				t.Errorf("got %+v, %v", r, err)
			case test.code != "" && (!errors.As(err, &e) || e.Code != test.code):
				t.Errorf("got %v, want code %s", err, test.code)
			}
			if len(*keys) != test.sent {
				t.Errorf("sent %d times, want %d", len(*keys), test.sent)
			}
			for _, k := range *keys {
				if id, err := uuid.Parse(k); err != nil || id.Version() != 7 || k != (*keys)[0] {
					t.Errorf("key %q, first key %q", k, (*keys)[0])
				}
			}
		})
	}
}

// Guards against a request sent again by the HTTP transport after a connection broke.
func TestCallerSendsOnceOnBrokenConnection(t *testing.T) {
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, answer)
	}))
	defer s.Close()
	c := client.NewCaller(s.URL, "key", s.Client(), client.Retries{Tries: 3, Wait: 1})
	for _, want := range []int32{1, 2} {
		_, err := c.Chat(context.Background(), client.ChatRequest{Model: "reports"})
		var e *client.Error
		if want == 2 && (!errors.As(err, &e) || e.Code != client.CodeTransport || e.NotRun) {
			t.Errorf("got %v, want an unknown outcome", err)
		}
		if got := n.Load(); got != want {
			t.Errorf("the server saw %d requests, want %d", got, want)
		}
	}
}

func TestCallerKeepsSession(t *testing.T) {
	var seen []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = append(seen, r.Header.Get(client.HeaderSession)+" "+r.Header.Get("Authorization"))
		w.Header().Set(client.HeaderSession, fmt.Sprint("token", len(seen)))
		fmt.Fprint(w, answer)
	}))
	defer s.Close()
	c := client.NewCaller(s.URL, "key", s.Client(), client.Retries{})
	for range 2 {
		if _, err := c.Chat(context.Background(), client.ChatRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	if got := strings.Join(seen, ","); got != " Bearer key,token1 Bearer key" || c.Session() != "token2" {
		t.Errorf("got %q, session %q", got, c.Session())
	}
}

// Guards against a truncated stream that looks whole.
func TestStream(t *testing.T) {
	const piece = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one \"}}]}\n\n"
	const last = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"two\"},\"finish_reason\":\"stop\"}]}\n\n"
	const end = "data: [DONE]\n\n"
	tests := map[string]struct {
		body, text string
		code       client.Code
	}{
		"whole":              {": comment\n\n" + piece + last + end, "one two", ""},
		"ends early":         {piece, "one ", client.CodeIncomplete},
		"no finish reason":   {piece + end, "one ", client.CodeIncomplete},
		"no end mark":        {piece + last, "one two", client.CodeIncomplete},
		"broken piece":       {piece + "data: {\n\n" + end, "one ", client.CodeIncomplete},
		"error in the midst": {piece + "data: " + refusal(client.CodeDeadlineExceeded, false, client.RetryUnsafe) + "\n\n", "one ", client.CodeDeadlineExceeded},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			base, _ := serve(t, http.StatusOK, test.body)
			c := client.NewCaller(base, "key", http.DefaultClient, client.Retries{})
			s, err := c.Stream(context.Background(), client.ChatRequest{Model: "reports"})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			got, err := s.Text()
			var e *client.Error
			if got != test.text || errors.As(err, &e) != (test.code != "") || (e != nil && e.Code != test.code) {
				t.Errorf("got %q, %v, want %q, %q", got, err, test.text, test.code)
			}
		})
	}
}
