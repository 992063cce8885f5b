package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"cardamompass"
	"cardamompass/internal/edge/engine"
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/edge/oper"
)

const (
	// writeGrace is the time after a request's deadline in which its response may still be written.
	writeGrace = 5 * time.Second
	// copyBufferBytes is the size of the buffer through which response bodies are copied.
	copyBufferBytes = 32 << 10
)

// Refusal is the JSON body of the response to a request that was not answered by a target.
type Refusal struct {
	Outcome   cardamompass.Outcome   `json:"outcome"`
	Reason    string                 `json:"reason"`
	RequestID cardamompass.RequestID `json:"request-id,omitempty"`
}

// OperationStatus is the JSON body of the response to a query for the state of an operation.
type OperationStatus struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// serve starts the HTTP servers for callers and operators.
func (prc *Process) serve() (err error) {
	lim := prc.cfg.Settings.Limits
	prc.callerServer = &http.Server{
		Handler:           prc.callerRoutes(),
		ReadHeaderTimeout: lim.ReadHeaderTimeout,
		IdleTimeout:       lim.IdleTimeout,
		MaxHeaderBytes:    int(lim.MaxHeader),
		ErrorLog:          zap.NewStdLog(prc.cfg.Log),
	}
	operators := &http.Server{
		Handler:           prc.operatorRoutes(),
		ReadHeaderTimeout: lim.ReadHeaderTimeout,
		IdleTimeout:       lim.IdleTimeout,
		MaxHeaderBytes:    int(lim.MaxHeader),
		ErrorLog:          zap.NewStdLog(prc.cfg.Log),
	}
	prc.wtg.Go(func() { _ = prc.callerServer.Serve(netutil.LimitListener(prc.callerListener, lim.MaxConnections)) })
	prc.wtg.Go(func() { _ = operators.Serve(prc.operatorListener) })
	prc.onCleanup(func() {
		_ = prc.callerServer.Close()
		_ = operators.Close()
	})
	return nil
}

func (prc *Process) callerRoutes() http.Handler {
	rtr := mux.NewRouter().SkipClean(true).UseEncodedPath()
	rtr.HandleFunc("/v1/lookup", prc.handleLookup).Methods(http.MethodGet)
	rtr.HandleFunc("/v1/operations", prc.handleOperation).Methods(http.MethodGet)
	rtr.PathPrefix(servicesPrefix + "{service}").HandlerFunc(prc.handleRequest)
	rtr.MethodNotAllowedHandler = http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		prc.refuse(rsw, "", &cardamompass.InvalidError{
			Field:  "method",
			Reason: "must be GET for this path",
		})
	})
	rtr.NotFoundHandler = http.HandlerFunc(func(rsw http.ResponseWriter, _ *http.Request) {
		prc.refuse(rsw, "", &cardamompass.InvalidError{
			Field:  "path",
			Reason: "must be /v1/lookup, /v1/operations or /v1/services/{service}/{path}",
		})
	})
	return rtr
}

// handleLookup answers a look-up with the entry VMs that the caller should use.
func (prc *Process) handleLookup(rsw http.ResponseWriter, rqs *http.Request) {
	query := rqs.URL.Query()
	qry := lookup.Query{
		Service: cardamompass.ServiceName(query.Get("service")),
		Region:  cardamompass.Region(query.Get("region")),
		Client:  clientAddress(rqs),
	}
	if text := query.Get("client"); text != "" {
		addr, err := netip.ParseAddr(text)
		if err != nil {
			prc.refuse(rsw, "", &cardamompass.InvalidError{
				Field:  "client",
				Reason: "must be an IP number",
			})
			return
		}
		qry.Client = addr
	}
	data, err := prc.lookups.Resolve(qry)
	if err != nil {
		prc.refuse(rsw, "", err)
		return
	}
	rsw.Header().Set("Content-Type", "application/json")
	rsw.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(prc.cfg.Settings.LookupMaxAge.Seconds())))
	prc.closeWhenLeaving(rsw)
	_, _ = rsw.Write(data)
}

// handleOperation answers a query for the state of an operation.
func (prc *Process) handleOperation(rsw http.ResponseWriter, rqs *http.Request) {
	query := rqs.URL.Query()
	rid := cardamompass.RequestID(query.Get("request-id"))
	tkt, err := oper.ParseTicket(query.Get("ticket"))
	if err == nil {
		err = checkID(rid)
	}
	if err != nil {
		prc.refuse(rsw, rid, err)
		return
	}
	oct := prc.operations.Status(rqs.Context(), oper.Operation{
		Ticket:  tkt,
		Request: rid,
	})
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(OperationStatus{
		State:  oct.State.String(),
		Reason: oct.Reason,
	})
}

// handleRequest runs a caller's request and writes the target's response, or a refusal.
func (prc *Process) handleRequest(rsw http.ResponseWriter, rqs *http.Request) {
	req, err := prc.readRequest(rqs)
	if err != nil {
		prc.refuse(rsw, req.ID, rejectionError(rqs, err))
		return
	}
	ctl := http.NewResponseController(rsw)
	_ = ctl.SetWriteDeadline(req.Deadline.Add(writeGrace))
	var rsp cardamompass.Response
	if req.Idempotent {
		rsp, err = prc.engine.Execute(rqs.Context(), req)
	} else {
		rsp, err = prc.operations.Run(rqs.Context(), req, prc.engine.Execute)
	}
	if err != nil {
		prc.cfg.Log.Info("request refused", zap.String("request-id", string(req.ID)),
			zap.String("service", string(req.Service)), zap.Error(err))
		prc.refuse(rsw, req.ID, err)
		return
	}
	prc.writeResponse(rsw, req, rsp)
}

// rejectionError returns the error to report for a request that readRequest rejected. An earlier attempt of a
// non-idempotent operation may have run through another VM, whose catalogue may differ. A rejection because of this
// VM's catalogue is therefore reported as not run only for a first attempt; for later ones the outcome is unknown.
func rejectionError(rqs *http.Request, err error) error {
	var nrn *cardamompass.NotRunError
	var inv *cardamompass.InvalidError
	unavailable := errors.As(err, &nrn) || errors.As(err, &inv) && inv.Field == serviceField
	if !unavailable || declaredIdempotent(rqs) || rqs.Header.Get(cardamompass.HeaderAttempt) == "1" {
		return err
	}
	return &cardamompass.UnknownOutcomeError{
		Reason: "an earlier sending may have run; this one: " + errors.Cause(err).Error(),
	}
}

// writeResponse copies the target's response to the caller. If the body can't be copied completely, the connection is
// aborted before the declared end, so that the caller detects the truncation.
func (prc *Process) writeResponse(rsw http.ResponseWriter, req cardamompass.Request, rsp cardamompass.Response) {
	defer func() { _ = rsp.Body.Close() }()
	hdr := rsw.Header()
	for name, values := range rsp.Header {
		if !strings.HasPrefix(name, headerPrefix) {
			hdr[name] = values
		}
	}
	hdr.Set(cardamompass.HeaderOutcome, string(cardamompass.OutcomeAnswered))
	hdr.Set(cardamompass.HeaderRequestID, string(req.ID))
	if rsp.Length >= 0 && hdr.Get("Content-Length") == "" {
		hdr.Set("Content-Length", strconv.FormatInt(rsp.Length, 10))
	}
	prc.closeWhenLeaving(rsw)
	rsw.WriteHeader(rsp.Status)
	if _, err := io.CopyBuffer(writerOnly{rsw}, rsp.Body, make([]byte, copyBufferBytes)); err != nil {
		prc.cfg.Log.Warn("answer cut", zap.String("request-id", string(req.ID)), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// writerOnly hides the ReadFrom method of a response writer, so that io.CopyBuffer uses the given buffer.
type writerOnly struct{ io.Writer }

// closeWhenLeaving sets "Connection: close" during a planned stop, so that the caller opens its next connection elsewhere.
func (prc *Process) closeWhenLeaving(rsw http.ResponseWriter) {
	if prc.leaving.Load() {
		rsw.Header().Set("Connection", "close")
	}
}

// refuse writes the refusal for err and counts it.
func (prc *Process) refuse(rsw http.ResponseWriter, rid cardamompass.RequestID, err error) {
	rfs := Refusal{
		Outcome:   engine.OutcomeOf(err),
		Reason:    errors.Cause(err).Error(),
		RequestID: rid,
	}
	status := http.StatusBadGateway
	switch rfs.Outcome {
	case cardamompass.OutcomeNotRun:
		status = http.StatusServiceUnavailable
	case cardamompass.OutcomeInvalid:
		status = http.StatusBadRequest
	case cardamompass.OutcomeAnswered, cardamompass.OutcomeUnknown:
	}
	prc.metrics.Scope().Tagged(map[string]string{
		"outcome": string(rfs.Outcome),
	}).Counter("refusals").Inc(1)
	rsw.Header().Set("Content-Type", "application/json")
	rsw.Header().Set(cardamompass.HeaderOutcome, string(rfs.Outcome))
	rsw.Header().Set(cardamompass.HeaderRequestID, string(rid))
	prc.closeWhenLeaving(rsw)
	rsw.WriteHeader(status)
	_ = json.NewEncoder(rsw).Encode(rfs)
}
