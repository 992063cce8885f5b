package kvhttp

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/httpc"
)

// The codes of error responses that are mapped to a typed error.
const (
	codeNotFound = "not-found"
	codeConflict = "conflict"
)

type errorBody struct {
	Error    string `json:"error"`
	Reason   string `json:"reason"`
	Revision *int64 `json:"revision"`
}

// classify maps the status of a response to an error. certain is false if it is unknown whether the call took effect. Status 404
// and 412 count only with the store's error code, because another server may also return them.
func classify(rpl httpc.Reply, key string, want int64) (certain bool, err error) {
	if rpl.Status == http.StatusOK {
		return true, nil
	}
	var bdy errorBody
	if json.Unmarshal(rpl.Data, &bdy) != nil {
		bdy = errorBody{}
	}
	switch {
	case rpl.Status == http.StatusNotFound && bdy.Error == codeNotFound:
		return true, &cardamompass.NotFoundError{
			Key: key,
		}
	case rpl.Status == http.StatusPreconditionFailed && bdy.Error == codeConflict && bdy.Revision != nil:
		return true, &cardamompass.ConflictError{
			Key:  key,
			Want: want,
			Have: *bdy.Revision,
		}
	}
	err = errors.Errorf("store returned status %d %s %s", rpl.Status, bdy.Error, bdy.Reason)
	switch rpl.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true, err
	default:
		return false, err
	}
}
