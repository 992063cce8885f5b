package cardamompass

// VMID names an entry VM. It is stable across restarts of the process on that VM.
type VMID string

// Incarnation distinguishes the runs of one entry VM's process. It is the start time in nanoseconds since the Unix
// epoch, so that a later run of the same VM has a greater value.
type Incarnation uint64

// Region names a region.
type Region string

// FailureDomain names a failure domain. Names are unique within a region only.
type FailureDomain string

// ServiceName names a service of the catalogue.
type ServiceName string

// TargetID names a target of the catalogue.
type TargetID string

// RequestID identifies a request of a caller. The caller uses the same id when it re-sends the request.
type RequestID string

// LeaseID identifies a lease of the store.
type LeaseID string
