package cardamompass

import (
	"net/http"
	"net/url"
	"time"
)

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	// ID identifies one sending of a request by a caller.
	ID RequestID
	// Timeout is how long the caller waits; 0 if it did not say.
	Timeout time.Duration
	// AffinityKey names what the request is about; empty if it did not say. Targets are faster on objects they have handled before.
	AffinityKey string
}

// ResponseInfo is what the status and the headers of a target's answer say.
type ResponseInfo struct {
	// ID is the request that is answered; empty if the answer does not say.
	ID RequestID
	// Signed is set when the answer carries the target's signature.
	Signed bool
	// NotRun is set when the target says that it has not run the request and never will.
	NotRun bool
	// OtherInstance is set when another instance than the one that was meant has the address.
	OtherInstance bool
	// Transformed is set when the body is not the target's own, such as a compressed one.
	Transformed bool
	// Load is the target's load; nil if it did not say.
	Load *Load
}

// Lookup is a caller's question which entry VMs to use.
type Lookup struct {
	Name          string
	Region        Region
	FailureDomain FailureDomain
}

// Protocol is the vocabulary of callers and targets on HTTP. Implementations are safe for concurrent use.
type Protocol interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(hdr http.Header) (inc RequestInfo)
	// SetRequestHeaders sets the headers of a request to an instance that has left for its answer. hdr holds what the caller sent.
	SetRequestHeaders(hdr http.Header, ins InstanceID, left time.Duration)
	// ParseResponse reads the status and headers of a target's answer.
	ParseResponse(status int, hdr http.Header) (std ResponseInfo)
	// ReadyPath is the path of the check whether the VM serves, LookupPath that of look-ups.
	ReadyPath() string
	LookupPath() string
	// ParseLookup reads a look-up.
	ParseLookup(query url.Values) (lkp Lookup)
	// EncodeLookupResponse encodes the answer to a look-up, which a caller may keep for ttl.
	EncodeLookupResponse(addresses []string, ttl time.Duration) (body []byte, err error)
}
