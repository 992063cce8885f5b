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
	// writeGrace is added to a request's deadline for the writing of its answer.
	writeGrace = 5 * time.Second
	// copyBytes is the size of the pieces in which long answers are passed on.
	copyBytes = 32 << 10
)

// Refusal is what a caller gets in place of an answer.
type Refusal struct {
	Outcome   cardamompass.Outcome   `json:"outcome"`
	Reason    string                 `json:"reason"`
	RequestID cardamompass.RequestID `json:"request-id,omitempty"`
}

// OperationStatus answers the question what became of an operation.
type OperationStatus struct {
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// serve starts the listeners of callers and operators.
func (prc *Process) serve() (err error) {
	lim := prc.cfg.Settings.Limits
	prc.callers = &http.Server{
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
	prc.wtg.Go(func() { _ = prc.callers.Serve(netutil.LimitListener(prc.callerAt, lim.MaxConnections)) })
	prc.wtg.Go(func() { _ = operators.Serve(prc.operAt) })
	prc.onCleanup(func() {
		_ = prc.callers.Close()
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

// handleLookup answers which entry VMs to use.
func (prc *Process) handleLookup(rsw http.ResponseWriter, rqs *http.Request) {
	query := rqs.URL.Query()
	qst := lookup.Query{
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
		qst.Client = addr
	}
	data, err := prc.lookups.Resolve(qst)
	if err != nil {
		prc.refuse(rsw, "", err)
		return
	}
	rsw.Header().Set("Content-Type", "application/json")
	rsw.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(prc.cfg.Settings.LookupMaxAge.Seconds())))
	prc.closeWhenLeaving(rsw)
	_, _ = rsw.Write(data)
}

// handleOperation tells what became of an operation.
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
	oct := prc.opers.Status(rqs.Context(), oper.Operation{
		Ticket:  tkt,
		Request: rid,
	})
	rsw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rsw).Encode(OperationStatus{
		State:  oct.State.String(),
		Reason: oct.Reason,
	})
}

// handleRequest runs a caller's request and passes on the answer, or a refusal.
func (prc *Process) handleRequest(rsw http.ResponseWriter, rqs *http.Request) {
	req, err := prc.readRequest(rqs)
	if err != nil {
		prc.refuse(rsw, req.ID, truthful(rqs, err))
		return
	}
	ctl := http.NewResponseController(rsw)
	_ = ctl.SetWriteDeadline(req.Deadline.Add(writeGrace))
	var ans cardamompass.Response
	if req.Idempotent {
		ans, err = prc.engine.Execute(rqs.Context(), req)
	} else {
		ans, err = prc.opers.Run(rqs.Context(), req, prc.engine.Execute)
	}
	if err != nil {
		prc.cfg.Log.Info("request refused", zap.String("request-id", string(req.ID)),
			zap.String("service", string(req.Service)), zap.Error(err))
		prc.refuse(rsw, req.ID, err)
		return
	}
	prc.passOn(rsw, req, ans)
}

// truthful returns the error of a request that was not accepted, as far as it is certain. An earlier sending of an
// operation may have run through another VM, whose catalogue may differ. Only a first sending can therefore be refused
// for what this VM lacks without asking the operation's home.
func truthful(rqs *http.Request, err error) error {
	var nrn *cardamompass.NotRunError
	var inv *cardamompass.InvalidError
	lacking := errors.As(err, &nrn) || errors.As(err, &inv) && inv.Field == serviceField
	if !lacking || declaredIdempotent(rqs) || rqs.Header.Get(cardamompass.HeaderAttempt) == "1" {
		return err
	}
	return &cardamompass.UnknownOutcomeError{
		Reason: "an earlier sending may have run; this one: " + errors.Cause(err).Error(),
	}
}

// passOn writes the answer. When it can't be written whole, the connection is cut before the declared end, so that the
// caller sees that the answer is not whole.
func (prc *Process) passOn(rsw http.ResponseWriter, req cardamompass.Request, ans cardamompass.Response) {
	defer func() { _ = ans.Body.Close() }()
	hdr := rsw.Header()
	for name, values := range ans.Header {
		if !strings.HasPrefix(name, headerPrefix) {
			hdr[name] = values
		}
	}
	hdr.Set(cardamompass.HeaderOutcome, string(cardamompass.OutcomeAnswered))
	hdr.Set(cardamompass.HeaderRequestID, string(req.ID))
	if ans.Length >= 0 && hdr.Get("Content-Length") == "" {
		hdr.Set("Content-Length", strconv.FormatInt(ans.Length, 10))
	}
	prc.closeWhenLeaving(rsw)
	rsw.WriteHeader(ans.Status)
	if _, err := io.CopyBuffer(onlyWriter{rsw}, ans.Body, make([]byte, copyBytes)); err != nil {
		prc.cfg.Log.Warn("answer cut", zap.String("request-id", string(req.ID)), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// onlyWriter hides the other methods of a response writer, so that io.CopyBuffer uses its buffer.
type onlyWriter struct{ io.Writer }

// closeWhenLeaving asks the caller to use another connection after this answer, while a planned stop is under way.
func (prc *Process) closeWhenLeaving(rsw http.ResponseWriter) {
	if prc.leaving.Load() {
		rsw.Header().Set("Connection", "close")
	}
}

// refuse writes the refusal that err stands for.
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
