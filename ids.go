package cardamompass

// VMID identifies an entry VM. It is stable across restarts of the process on that VM.
type VMID string

// Incarnation distinguishes the process runs of one entry VM. It is the start time of the process in nanoseconds since
// the Unix epoch, so that a later run of the same VM has a greater value.
type Incarnation uint64

// Region is the name of a region.
type Region string

// FailureDomain is the name of a failure domain. It is unique only within a region.
type FailureDomain string

// ServiceName is the name of a service of the catalogue.
type ServiceName string

// TargetID identifies a target of the catalogue.
type TargetID string

// RequestID identifies a request of a caller. The caller reuses the id when it retries the request.
type RequestID string

// LeaseID identifies a lease of the store.
type LeaseID string
