package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// http10 begins the status line of an HTTP/1.0 response.
const http10 = "HTTP/1.0"

// readHead reads the head of a response. An HTTP/1.0 response with a transfer coding is rejected, as its framing is faulty (RFC 9112, section
// 6.1): net/http drops the field, and would return the chunks as the body.
func (c *conn) readHead(method string) (*http.Response, error) {
	if b, err := c.reader.Peek(len(http10)); err == nil && string(b) == http10 {
		h, err := c.peekHeader()
		switch {
		case err != nil:
			return nil, &Error{Op: "read head", Kind: ErrBadResponse, Err: err}
		case len(h["Transfer-Encoding"]) > 0:
			return nil, headError("transfer coding %.64q in %s", h.Get("Transfer-Encoding"), http10)
		}
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, &Error{Op: "read head", Kind: ErrBadResponse, Err: err}
	}
	return r, nil
}

// peekHeader returns the fields of a head that may be longer than the reader's buffer, and leaves the head to be read again. The connection
// is not reused, as the reader is replaced for that.
func (c *conn) peekHeader() (textproto.MIMEHeader, error) {
	var head bytes.Buffer
	fields := textproto.NewReader(bufio.NewReader(io.TeeReader(&lineReader{reader: c.reader}, &head)))
	if _, err := fields.ReadLine(); err != nil {
		return nil, err
	}
	h, err := fields.ReadMIMEHeader()
	c.reader, c.singleUse = bufio.NewReaderSize(io.MultiReader(&head, c.reader), readBufferSize), true
	return h, err
}

// lineReader reads at most one line at a time, so that nothing after a head is taken from the reader.
type lineReader struct {
	reader *bufio.Reader
	rest   []byte // of the line
}

// Read implements io.Reader.
func (l *lineReader) Read(b []byte) (int, error) {
	if len(l.rest) == 0 {
		line, err := l.reader.ReadSlice('\n')
		if len(line) == 0 {
			return 0, err
		}
		l.rest = line // valid until the next call of ReadSlice
	}
	n := copy(b, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// CheckHead returns an error if the head of a response is not valid HTTP although net/http accepts it. A recipient that reads such a
// head in another way may take other bytes for the body.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return headError("protocol version %q", r.Proto)
	}
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return headError("status %q", r.Status)
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return headError("field name %.64q", name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return headError("value of the field %.64q", name)
			}
		}
	}
	return nil
}

func headError(format string, a ...any) error {
	return &Error{Op: "read head", Kind: ErrBadResponse, Err: fmt.Errorf("invalid "+format, a...)}
}
