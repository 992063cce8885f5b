// Package strict rejects HTTP/1.1 responses that net/http accepts although their head breaks the grammar of RFC 9110 and RFC 9112, or
// although they were broken off.
//
// The sender of a malformed head is at fault, and what follows the head may not be what net/http takes it for. Nothing that the response
// states may be believed, and its connection should not be used again. CheckResponse finds what can be told from a response that net/http
// has read, FoldScanner what can only be told from its bytes.
//
// Conn tells the end of a response without a declared length from a reset of its connection.
package strict

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	minStatus = 100
	maxStatus = 599
)

// CheckResponse returns an error if the head of rsp is malformed. net/http accepts every status of three characters that is a number
// of at least 0, and finds bodies behind those below 100. It also accepts blanks in the names of fields, and ignores such a field when
// it looks for the end of the body.
func CheckResponse(rsp *http.Response) (err error) {
	defer func() { err = errors.Wrap(err, "malformed head of a response") }()
	if rsp.StatusCode < minStatus || rsp.StatusCode > maxStatus {
		return errors.Errorf("status %03d is not between %d and %d", rsp.StatusCode, minStatus, maxStatus)
	}
	return CheckHeader(rsp.Header)
}

// CheckHeader returns an error if the name of a field is not a token.
func CheckHeader(hdr http.Header) (err error) {
	for name := range hdr {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("field name %.40q is not a token", name)
		}
	}
	return nil
}
