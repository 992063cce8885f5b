package route

// Naive is the baseline: round robin over the targets of the caller's region that are neither leaving nor failing,
// regardless of load, share or latency. turn counts the VM's requests. Naive chooses no target of another region.
func Naive(snp *Snapshot, req *Request, turn uint64, old Decision) (dec Decision) {
	dec = old.Reset()
	healthy := uint64(0)
	for i := range snp.Targets {
		tgt := &snp.Targets[i]
		if tgt.Region == req.CallerRegion && !tgt.avoided() {
			healthy++
		}
	}
	if healthy == 0 {
		return dec
	}
	skip := turn % healthy
	for i := range snp.Targets {
		tgt := &snp.Targets[i]
		if tgt.Region != req.CallerRegion || tgt.avoided() {
			continue
		}
		if skip > 0 {
			skip--
			continue
		}
		dec.Candidates = append(dec.Candidates, Candidate{
			Target: tgt.ID,
			Region: tgt.Region,
			Reason: ReasonRoundRobin,
			Limit:  tgt.Slots,
		})
		return dec
	}
	return dec
}
