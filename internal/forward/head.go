package forward

import (
	"fmt"
	"net/http"
)

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// CheckHead returns an error if the head of a response is not valid HTTP although net/http accepts it. A recipient that reads such a
// head in another way may take other bytes for the body.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode > maxStatus || r.StatusCode == http.StatusSwitchingProtocols {
		return headError("status %q", r.Status)
	}
	return nil
}

func headError(format string, a ...any) error {
	return &Error{Op: "read head", Kind: ErrBadResponse, Err: fmt.Errorf("invalid "+format, a...)}
}
