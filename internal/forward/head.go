package forward

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

// CheckHead returns an error if the head of a response is not valid HTTP although net/http accepts it. A recipient that reads such a
// head in another way may take other bytes for the body.
func CheckHead(r *http.Response) error {
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
