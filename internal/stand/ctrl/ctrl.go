// Package ctrl has the common code of the stand-ins: JSON over HTTP, a listener with a clean-up function, a manual clock, and
// values that are reported with a lag.
package ctrl

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// MaxBodyBytes bounds the body of a request to a stand-in.
	MaxBodyBytes = 16 << 20
)

// ErrorBody is the JSON of an error response.
type ErrorBody struct {
	// Error is the code of the error, for example "not-found".
	Error string `json:"error"`
	// Reason is an explanation for people.
	Reason string `json:"reason"`
	// Revision is the store's revision in a response with the code "conflict".
	Revision *int64 `json:"revision,omitempty"`
}

// WriteJSON sends a response with bdy as JSON.
func WriteJSON(rsw http.ResponseWriter, status int, bdy any) {
	dat, err := json.Marshal(bdy)
	if err != nil {
		status, dat = http.StatusInternalServerError, []byte(`{"error":"internal"}`)
	}
	rsw.Header().Set("Content-Type", "application/json")
	rsw.WriteHeader(status)
	_, _ = rsw.Write(dat)
}

// ReadJSON reads the body of req into bdy. If the body is malformed, it responds with status 400 and returns false.
func ReadJSON(rsw http.ResponseWriter, req *http.Request, bdy any) (ok bool) {
	dat, err := io.ReadAll(http.MaxBytesReader(rsw, req.Body, MaxBodyBytes))
	if err == nil {
		err = json.Unmarshal(dat, bdy)
	}
	if err != nil {
		WriteJSON(rsw, http.StatusBadRequest, ErrorBody{
			Error:  "invalid",
			Reason: err.Error(),
		})
	}
	return err == nil
}

// Abort closes the connection of the running handler without a response.
func Abort() { panic(http.ErrAbortHandler) }

// NewRouter returns a router in which an escaped slash is part of a path segment; see Var.
func NewRouter() *mux.Router {
	return mux.NewRouter().UseEncodedPath().SkipClean(true)
}

// Var returns the unescaped path variable nam of req.
func Var(req *http.Request, nam string) string {
	raw := mux.Vars(req)[nam]
	val, err := url.PathUnescape(raw)
	if err != nil {
		return raw
	}
	return val
}

// Serve serves hnd at address (IP address and port, port 0 for any free port) and returns the bound address. The clean-up
// function closes the listener and all connections and waits for the server, but not for running handlers.
func Serve(address string, hnd http.Handler) (bound string, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "serve stand-in") }()
	lsn, err := net.Listen("tcp", address) //nolint:noctx // the listener lives until the clean-up function is called
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{
		Handler:           hnd,
		ReadHeaderTimeout: headerTimeout,
	}
	var wgr sync.WaitGroup
	wgr.Go(func() { _ = srv.Serve(lsn) })
	return lsn.Addr().String(), func() {
		_ = srv.Close()
		wgr.Wait()
	}, nil
}
