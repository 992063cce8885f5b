package kvhttp

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/httpc"
)

// The codes of error answers that have a typed error.
const (
	codeNotFound = "not-found"
	codeConflict = "conflict"
)

type errorBody struct {
	Error    string `json:"error"`
	Reason   string `json:"reason"`
	Revision *int64 `json:"revision"`
}

// verdict maps the status of an answer to an error. certain is set when the answer says that the call had no effect.
// An answer with status 404 or 412 counts only with its code, because another server may give these statuses.
func verdict(rpl httpc.Reply, key string, want int64) (certain bool, err error) {
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
	err = errors.Errorf("store answered %d %s %s", rpl.Status, bdy.Error, bdy.Reason)
	switch rpl.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		return true, err
	default:
		return false, err
	}
}
