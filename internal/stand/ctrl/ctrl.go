// Package ctrl holds what the stand-ins have in common: JSON over HTTP, a listener with a clean-up function, and values
// that are reported late.
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

// ErrorBody is the JSON of an error answer.
type ErrorBody struct {
	// Error is the code of the error, for example "not-found".
	Error string `json:"error"`
	// Reason says more for a reader.
	Reason string `json:"reason"`
	// Revision is the store's revision in an answer with the code "conflict".
	Revision *int64 `json:"revision,omitempty"`
}

// WriteJSON answers with bdy as JSON.
func WriteJSON(rsw http.ResponseWriter, status int, bdy any) {
	dat, err := json.Marshal(bdy)
	if err != nil {
		status, dat = http.StatusInternalServerError, []byte(`{"error":"internal"}`)
	}
	rsw.Header().Set("Content-Type", "application/json")
	rsw.WriteHeader(status)
	_, _ = rsw.Write(dat)
}

// ReadJSON reads the body of req into bdy and answers with status 400 and false when it is malformed.
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

// Abort closes the connection of the running handler without an answer.
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

// Serve serves hnd at address (host:port by IP number, port 0 for any) and returns the real address. The clean-up
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
