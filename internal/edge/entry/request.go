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
	// headerPrefix is the prefix of the headers that are addressed to the entry VM and not forwarded.
	headerPrefix = "Cardamompass-"
	// serviceField is the Field of the InvalidError for a service that is not in the catalogue.
	serviceField = "service"
	// firstCatalogueWait is the longest time that a request waits for the first catalogue. Other VMs list a new VM in
	// look-up responses at once, and it receives the catalogue with their next membership probes, every 500 ms.
	firstCatalogueWait = 2 * time.Second
)

// readRequest parses a caller's HTTP request. Errors: InvalidError, and NotRunError while there is no catalogue.
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
	if err := prc.readControlHeaders(rqs, arrived, svc, &req); err != nil {
		return req, err
	}
	req.Header = forwardedHeaders(rqs.Header)
	req.Body, err = readBody(rqs, min(svc.MaxBodyBytes, prc.cfg.Settings.Limits.MaxBody))
	return req, err
}

// awaitCatalogue waits until the first catalogue is active, ctx ends, the process stops, or firstCatalogueWait has passed.
func (prc *Process) awaitCatalogue(ctx context.Context) {
	select {
	case <-prc.catalogueReady:
		return
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, firstCatalogueWait)
	defer cancel()
	select {
	case <-prc.catalogueReady:
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

// readControlHeaders parses the deadline, idempotence, attempt and caller region of the request.
func (prc *Process) readControlHeaders(
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

// declaredIdempotent reports whether the request may run more than once according to its header. Without the header, GET
// and HEAD are idempotent.
func declaredIdempotent(rqs *http.Request) bool {
	text := rqs.Header.Get(cardamompass.HeaderIdempotent)
	return text == "true" || text == "" && (rqs.Method == http.MethodGet || rqs.Method == http.MethodHead)
}

// readTimeout parses the caller's timeout and returns maxTimeout if text is empty.
func readTimeout(text string, maxTimeout time.Duration) (timeout time.Duration, err error) {
	if text == "" {
		return maxTimeout, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil || millis < 1 || millis > maxTimeout.Milliseconds() {
		return 0, &cardamompass.InvalidError{
			Field:  cardamompass.HeaderTimeout,
			Reason: "must be from 1 to " + strconv.FormatInt(maxTimeout.Milliseconds(), 10) + " ms for this service",
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

// forwardedHeaders returns the headers that are forwarded to the target.
func forwardedHeaders(from http.Header) http.Header {
	forwarded := make(http.Header, len(from))
	for name, values := range from {
		if !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), headerPrefix) {
			forwarded[name] = values
		}
	}
	return forwarded
}

func readBody(rqs *http.Request, limit int64) (body []byte, err error) {
	if rqs.ContentLength == 0 {
		return nil, nil
	}
	if rqs.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	body, err = io.ReadAll(http.MaxBytesReader(nil, rqs.Body, limit))
	var mbe *http.MaxBytesError
	switch {
	case errors.As(err, &mbe):
		return nil, bodyTooLarge(limit)
	case err != nil:
		return nil, &cardamompass.InvalidError{
			Field:  "body",
			Reason: "ended early or is not framed correctly: " + err.Error(),
		}
	}
	return body, nil
}

func bodyTooLarge(limit int64) error {
	return &cardamompass.InvalidError{
		Field:  "body",
		Reason: "must have at most " + strconv.FormatInt(limit, 10) + " bytes",
	}
}
