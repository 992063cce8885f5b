// Package limit holds proofs of the guarantees that limit what the system does to links, regions and targets: caps, slots,
// leaving targets and content that crashes targets.
//
// Its tests start a site as separate processes, inject faults and compare what the targets recorded with the limits. Random
// choices follow from a seed that each test prints; the flag -seed sets it. A bound that concerns a rate counts only what
// certainly happened within its window: each request is permitted at some time between its sending by the caller and its
// run at the target. A slow machine lengthens these spans and makes a check less strict, but never makes it fail.
package limit
