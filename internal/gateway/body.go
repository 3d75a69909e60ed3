package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"

	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/memory"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// bytesPerObject is what a decoded JSON object takes at most beside its text; an empty one has two bytes.
const bytesPerObject = 96

// readBody reads the body of a request. The caller must release it, also after an error.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, op string) (*connlimit.Body, error) {
	b, err := g.deps.Bodies.Read(w, r, g.s.MaxBodyBytes)
	return b, bodyError(op, err)
}

// reserveDecoded reserves the memory that a JSON body takes when it is decoded.
func reserveDecoded(ctx context.Context, b *connlimit.Body, op string) error {
	return bodyError(op, b.Reserve(ctx, int64(len(b.Bytes)+bytesPerObject*bytes.Count(b.Bytes, []byte("{")))))
}

// bodyError returns the refusal for an error of a body, or nil.
func bodyError(op string, err error) error {
	var e *memory.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e) && e.Kind == memory.ErrBudgetExceeded:
		return newRefusal(op, client.CodeOverloaded, "%w", err)
	}
	return newRefusal(op, client.CodeBadRequest, "%w", err)
}

// reserveText reserves memory for a piece of an answer that is collected.
func reserveText(r *memory.Reservation, n int) error {
	if r == nil {
		return nil
	}
	if err := r.Grow(int64(n)); err != nil {
		return &Error{Op: "collect", Kind: client.CodeIncomplete, Err: err}
	}
	return nil
}
