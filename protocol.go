package cardamompass

import (
	"net/http"
	"net/url"
	"time"
)

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	// ID identifies one attempt of a caller to send a request.
	ID RequestID
	// Timeout is how long the caller waits for the response; 0 if not specified.
	Timeout time.Duration
	// AffinityKey identifies the object that the request refers to; empty if not specified. A target serves requests faster
	// for objects that it has handled before.
	AffinityKey string
	// Key is the key of the caller's team; empty if not specified. It must not appear in logs, dumps, metrics or errors.
	Key string
}

// ResponseInfo is the information in the status and headers of a target's response.
type ResponseInfo struct {
	// ID is the id of the request to which the response belongs; empty if not specified.
	ID RequestID
	// Signed is set when the response carries the target's signature.
	Signed bool
	// NotRun is set when the target reports that it has not run the request and will not run it.
	NotRun bool
	// OtherInstance is set when the address belongs to an instance other than the expected one.
	OtherInstance bool
	// Transformed is set when the body is not the one that the target produced, for example because it was compressed.
	Transformed bool
	// Load is the target's load; nil if not reported.
	Load *Load
	// Leaving is set when the instance states that it is leaving and wants no new requests.
	Leaving bool
	// Backoff is how long the instance wants no requests from this VM; 0 if not specified.
	Backoff time.Duration
	// BackoffErr is set when the instance specified a time that can't be parsed or that is out of range.
	BackoffErr error
}

// Lookup is a caller's query for the entry VMs to use.
type Lookup struct {
	Name          string
	Region        Region
	FailureDomain FailureDomain
}

// Protocol reads and writes the HTTP headers, paths and bodies used by callers and targets. Implementations are safe for
// concurrent use.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(hdr http.Header) (inf RequestInfo)
	// SetRequestHeaders sets the headers of a request to instance ins, which has the time left to respond. hdr holds the
	// headers that the caller sent. team is nil if the deployment has no teams, and a Team without a name if the request has no team.
	// Unless it is nil, the target learns the name of the team from the VM alone, and doesn't get the key.
	SetRequestHeaders(hdr http.Header, ins InstanceID, team *Team, left time.Duration)
	// ParseResponse reads the status and headers of a target's response.
	ParseResponse(status int, hdr http.Header) (inf ResponseInfo)
	// ReadyPath returns the path of the readiness check, LookupPath that of look-ups.
	ReadyPath() string
	LookupPath() string
	// ParseLookup reads the query parameters of a look-up.
	ParseLookup(query url.Values) (lkp Lookup)
	// EncodeLookupResponse encodes the response to a look-up, which a caller may cache for ttl.
	EncodeLookupResponse(addresses []string, ttl time.Duration) (body []byte, err error)
}
