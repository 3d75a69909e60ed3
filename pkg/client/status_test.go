package client_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// TestInvalidStatus guards against a reply with a status that HTTP doesn't define and that is taken for an answer.
func TestInvalidStatus(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, q.Body)
				fmt.Fprintf(c, "HTTP/1.1 000 Trouble\r\nContent-Length: %d\r\n\r\n%s", len(chatAnswer), chatAnswer)
			}
			c.Close()
		}
	}()
	c := client.NewCaller("http://"+l.Addr().String(), "key", http.DefaultClient, client.Retries{})
	if r, err := c.Chat(t.Context(), client.ChatRequest{Model: "m"}); err == nil {
		t.Errorf("answer %+v", r)
	}
}
