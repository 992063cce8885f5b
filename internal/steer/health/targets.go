package health

import (
	"time"

	"cardamompass"
	"cardamompass/internal/steer/route"
)

// SetTargets replaces the targets with those of the active catalogue, or with the VM's subset of them. Targets that
// remain keep their state; a target whose service or region changes counts as new. Targets of the first call are warm,
// new targets of later calls are cold. Requests in flight on a removed target must still be ended with Done.
func (trk *Tracker) SetTargets(tgts []cardamompass.Target, now time.Time) {
	trk.set.Lock()
	defer trk.set.Unlock()
	old := trk.idx.Load()
	idx := &index{
		targets:  make(map[cardamompass.TargetID]*target, len(tgts)),
		services: make(map[cardamompass.ServiceName]*service),
	}
	members := make(map[*group][]*target)
	for _, cfg := range tgts {
		grp := idx.group(old, cfg)
		members[grp] = append(members[grp], grp.targetFor(old.targets[cfg.ID], cfg, len(old.targets) > 0, trk.cfg.Self, now))
	}
	for grp, mbs := range members {
		grp.mut.Lock()
		grp.tgts = mbs
		for _, tgt := range mbs {
			idx.targets[tgt.cfg.ID] = tgt
		}
		grp.mut.Unlock()
	}
	trk.idx.Store(idx)
}

// targetFor returns the target with its new configuration. It is tgt if that belongs to the group.
func (grp *group) targetFor(
	tgt *target, cfg cardamompass.Target, cold bool, self cardamompass.VMID, now time.Time,
) (kept *target) {
	if tgt != nil && tgt.grp == grp {
		grp.mut.Lock()
		defer grp.mut.Unlock()
		tgt.cfg = cfg
		return tgt
	}
	tgt = &target{
		cfg:  cfg,
		rank: route.Rank(self, cfg.ID),
		grp:  grp,
	}
	if cold {
		tgt.coldSince = now
	}
	return tgt
}

// group returns the group of the target in idx. The group of old is reused if there is one, because requests in flight
// refer to it.
func (idx *index) group(old *index, cfg cardamompass.Target) (grp *group) {
	was := old.services[cfg.Service]
	srv := idx.services[cfg.Service]
	if srv == nil {
		srv = &service{}
		if was != nil {
			srv.lts = was.lts
		} else {
			srv.lts = newLatencies()
		}
		idx.services[cfg.Service] = srv
	}
	if grp = srv.group(cfg.Region); grp != nil {
		return grp
	}
	if was != nil {
		grp = was.group(cfg.Region)
	}
	if grp == nil {
		grp = &group{
			reg: cfg.Region,
			lts: srv.lts,
		}
	}
	srv.grps = append(srv.grps, grp)
	return grp
}

func (srv *service) group(reg cardamompass.Region) (grp *group) {
	for _, one := range srv.grps {
		if one.reg == reg {
			return one
		}
	}
	return nil
}
