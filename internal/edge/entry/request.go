package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"cardamompass"
)

const (
	// maxIDBytes bounds a caller's request id.
	maxIDBytes = 128
	// servicesPrefix is the path before a service's name.
	servicesPrefix = "/v1/services/"
	// headerPrefix marks the headers of the interface, which are not passed on.
	headerPrefix = "Cardamompass-"
	// serviceField is the field of the error for a service that is not in the catalogue.
	serviceField = "service"
	// firstCatalogueWait bounds the wait of a request for the first catalogue. Others name a VM that has started in
	// look-ups at once, and it gets the catalogue from them with the next probes, which are 500 ms apart.
	firstCatalogueWait = 2 * time.Second
)

// readRequest makes a Request from a caller's HTTP request. Errors: InvalidError, NotRunError while there is no catalogue.
func (prc *Process) readRequest(rqs *http.Request) (req cardamompass.Request, err error) {
	arrived := time.Now()
	req = cardamompass.Request{
		ID:       cardamompass.RequestID(rqs.Header.Get(cardamompass.HeaderRequestID)),
		Service:  cardamompass.ServiceName(mux.Vars(rqs)["service"]),
		Method:   rqs.Method,
		RawQuery: rqs.URL.RawQuery,
		Ticket:   rqs.Header.Get(cardamompass.HeaderTicket),
	}
	req.Path = strings.TrimPrefix(rqs.URL.EscapedPath(), servicesPrefix+string(req.Service))
	if req.Path == "" {
		req.Path = "/"
	}
	if err := checkID(req.ID); err != nil {
		return req, err
	}
	prc.awaitCatalogue(rqs.Context())
	svc, err := prc.engine.Service(req.Service)
	if err != nil {
		return req, err
	}
	if err := prc.readControl(rqs, arrived, svc, &req); err != nil {
		return req, err
	}
	req.Header = passedOn(rqs.Header)
	req.Body, err = readBody(rqs, min(svc.MaxBodyBytes, prc.cfg.Settings.Limits.MaxBody))
	return req, err
}

// awaitCatalogue waits until the first catalogue is in force, or ctx or the bound ends.
func (prc *Process) awaitCatalogue(ctx context.Context) {
	select {
	case <-prc.ready:
		return
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, firstCatalogueWait)
	defer cancel()
	select {
	case <-prc.ready:
	case <-prc.done:
	case <-ctx.Done():
	}
}

func checkID(rid cardamompass.RequestID) (err error) {
	inv := &cardamompass.InvalidError{
		Field:  cardamompass.HeaderRequestID,
		Reason: "must have 1 to 128 visible ASCII characters",
	}
	if len(rid) == 0 || len(rid) > maxIDBytes {
		return inv
	}
	for _, chr := range []byte(rid) {
		if chr <= ' ' || chr > '~' {
			return inv
		}
	}
	return nil
}

// readControl reads the headers that say how the request is to be run.
func (prc *Process) readControl(
	rqs *http.Request, arrived time.Time, svc cardamompass.Service, req *cardamompass.Request,
) (err error) {
	timeout, err := readTimeout(rqs.Header.Get(cardamompass.HeaderTimeout), svc.MaxTimeout)
	if err != nil {
		return err
	}
	req.Deadline = arrived.Add(timeout)
	req.Idempotent = svc.AlwaysIdempotent || declaredIdempotent(rqs)
	if !req.Idempotent && rqs.Header.Get(cardamompass.HeaderIdempotent) != "false" {
		return &cardamompass.InvalidError{
			Field:  cardamompass.HeaderIdempotent,
			Reason: "must be true or false",
		}
	}
	if text := rqs.Header.Get(cardamompass.HeaderAttempt); text != "" {
		if req.Attempt, err = strconv.Atoi(text); err != nil || req.Attempt < 1 {
			return &cardamompass.InvalidError{
				Field:  cardamompass.HeaderAttempt,
				Reason: "must be a whole number from 1",
			}
		}
	}
	req.CallerRegion, err = prc.lookups.CallerRegion(
		cardamompass.Region(rqs.Header.Get(cardamompass.HeaderCallerRegion)), clientAddress(rqs))
	return err
}

// declaredIdempotent reports whether the caller says that the request may run more than once. GET and HEAD need no word.
func declaredIdempotent(rqs *http.Request) bool {
	text := rqs.Header.Get(cardamompass.HeaderIdempotent)
	return text == "true" || text == "" && (rqs.Method == http.MethodGet || rqs.Method == http.MethodHead)
}

// readTimeout returns the caller's timeout, the service's longest one if the caller gave none.
func readTimeout(text string, longest time.Duration) (timeout time.Duration, err error) {
	if text == "" {
		return longest, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > longest.Milliseconds() {
		return 0, &cardamompass.InvalidError{
			Field:  cardamompass.HeaderTimeout,
			Reason: "must be from 1 to " + strconv.FormatInt(longest.Milliseconds(), 10) + " ms for this service",
		}
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func clientAddress(rqs *http.Request) (addr netip.Addr) {
	host, _, err := net.SplitHostPort(rqs.RemoteAddr)
	if err != nil {
		return addr
	}
	addr, _ = netip.ParseAddr(host)
	return addr
}

// passedOn returns the headers that go to the target.
func passedOn(from http.Header) http.Header {
	kept := make(http.Header, len(from))
	for name, values := range from {
		if !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), headerPrefix) {
			kept[name] = values
		}
	}
	return kept
}

func readBody(rqs *http.Request, limit int64) (body []byte, err error) {
	if rqs.ContentLength == 0 {
		return nil, nil
	}
	if rqs.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	body, err = io.ReadAll(http.MaxBytesReader(nil, rqs.Body, limit))
	var mbe *http.MaxBytesError
	switch {
	case errors.As(err, &mbe):
		return nil, tooLarge(limit)
	case err != nil:
		return nil, &cardamompass.InvalidError{
			Field:  "body",
			Reason: "ended early or is not framed correctly: " + err.Error(),
		}
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return &cardamompass.InvalidError{
		Field:  "body",
		Reason: "must have at most " + strconv.FormatInt(limit, 10) + " bytes",
	}
}
