package health

import (
	"time"

	"cardamompass"
	"cardamompass/internal/steer/route"
)

// SetTargets replaces the targets by those of the catalogue in force, or by the VM's subset of them. Targets that stay
// keep their state; a target whose service or region changes is a new one. Targets of the first call count as warm,
// later ones as cold. Requests in flight on a removed target still end with Done.
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
		members[grp] = append(members[grp], grp.keep(old.targets[cfg.ID], cfg, len(old.targets) > 0, trk.cfg.Self, now))
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

// keep returns the target in its new configuration.
func (grp *group) keep(
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

// group returns the group of the target in idx. It is the same one as in old if there is one, because requests in
// flight refer to it.
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
