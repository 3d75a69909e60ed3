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

func errorBody(code client.Code, notRun bool, r client.Retry) string {
	return fmt.Sprintf(`{"error":{"code":%q,"message":"m","not-run":%v,"retry":%q}}`, code, notRun, r)
}

// serve starts a server that answers the n-th request with the n-th body, and further requests with the last one; it records
// the idempotency keys of the requests.
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

const chatAnswer = `{"id":"1","model":"m@2","choices":[{"index":0,"message":{"role":"assistant","content":"whole"},"finish_reason":"stop"}]}`

// Guards against a retry that may run a request twice, and against giving up although a retry is safe.
func TestCallerRetriesOnlyWhenSafe(t *testing.T) {
	safe := errorBody(client.CodeNoCapacity, true, client.RetrySafe)
	tests := map[string]struct {
		bodies []string
		sent   int
		code   client.Code
	}{
		"answer":             {[]string{chatAnswer}, 1, ""},
		"safe, then answer":  {[]string{safe, safe, chatAnswer}, 3, ""},
		"always safe":        {[]string{safe}, 3, client.CodeNoCapacity},
		"unsafe":             {[]string{errorBody(client.CodeOutcomeUnknown, false, client.RetryUnsafe), chatAnswer}, 1, client.CodeOutcomeUnknown},
		"never":              {[]string{errorBody(client.CodeSuspect, true, client.RetryNever), chatAnswer}, 1, client.CodeSuspect},
		"no body":            {[]string{"", chatAnswer}, 1, client.CodeTransport},
		"truncated answer":   {[]string{chatAnswer[:20], chatAnswer}, 1, client.CodeTransport},
		"not run but unsafe": {[]string{errorBody(client.CodeIncomplete, true, client.RetryUnsafe), chatAnswer}, 1, client.CodeIncomplete},
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

// Guards against a retry by http.Transport itself: it resends a request with an idempotency key and GetBody when a reused
// connection breaks.
func TestCallerSendsOnceOnBrokenConnection(t *testing.T) {
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, chatAnswer)
	}))
	defer s.Close()
	c := client.NewCaller(s.URL, "key", s.Client(), client.Retries{Tries: 3, Wait: 1})
	for _, want := range []int32{1, 2} {
		_, err := c.Chat(context.Background(), client.ChatRequest{Model: "reports"})
		var e *client.Error
		if want == 2 && (!errors.As(err, &e) || e.Code != client.CodeTransport || e.NotRun) {
			t.Errorf("got %v, want code transport and not-run false", err)
		}
		if got := n.Load(); got != want {
			t.Errorf("the server saw %d requests, want %d", got, want)
		}
	}
}

// Guards against requests that don't carry the session token of the last reply.
func TestCallerKeepsSession(t *testing.T) {
	var headers []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		headers = append(headers, r.Header.Get(client.HeaderSession)+" "+r.Header.Get("Authorization"))
		w.Header().Set(client.HeaderSession, fmt.Sprint("token", len(headers)))
		fmt.Fprint(w, chatAnswer)
	}))
	defer s.Close()
	c := client.NewCaller(s.URL, "key", s.Client(), client.Retries{})
	for range 2 {
		if _, err := c.Chat(context.Background(), client.ChatRequest{}); err != nil {
			t.Fatal(err)
		}
	}
	if got := strings.Join(headers, ","); got != " Bearer key,token1 Bearer key" || c.Session() != "token2" {
		t.Errorf("got %q, session %q", got, c.Session())
	}
}

// Guards against a truncated stream that is reported as complete.
func TestStream(t *testing.T) {
	const first = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one \"}}]}\n\n"
	const last = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"two\"},\"finish_reason\":\"stop\"}]}\n\n"
	const end = "data: [DONE]\n\n"
	tests := map[string]struct {
		body, text string
		code       client.Code
	}{
		"whole":               {": comment\n\n" + first + last + end, "one two", ""},
		"ends early":          {first, "one ", client.CodeIncomplete},
		"no finish reason":    {first + end, "one ", client.CodeIncomplete},
		"no end event":        {first + last, "one two", client.CodeIncomplete},
		"malformed event":     {first + "data: {\n\n" + end, "one ", client.CodeIncomplete},
		"error in mid-stream": {first + "data: " + errorBody(client.CodeDeadlineExceeded, false, client.RetryUnsafe) + "\n\n", "one ", client.CodeDeadlineExceeded},
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
