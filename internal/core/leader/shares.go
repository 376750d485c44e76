package leader

import (
	"math"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/quota"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// honour lowers a holder's shares to what the renewal promises, and moves the
// homes that it offers. It may only be called for the write that makes the renewal the one last honoured: the same
// promise, come late, says nothing about a share raised since. And a promise
// made under another grant knows nothing of the machines, and the tasks on
// them, that came with this one.
func (l *Leader) applyReservations(rec *wire.LeaseRecord, node string, r *peerpb.Renewal) {
	if r.GetGrant() == 0 || r.GetGrant() != rec.Blocks[node].Grant {
		return
	}
	for _, reservation := range r.GetReservations() {
		share, ok := rec.Shares[reservation.GetTeam()][node]
		if !ok {
			continue
		}
		share.CPUs, share.GPUs = min(share.CPUs, int(reservation.GetCpus())), min(share.GPUs, int(reservation.GetGpus()))
		rec.Shares[reservation.GetTeam()][node] = share
	}
	for _, partition := range r.GetHandovers() {
		if rec.Partitions[partition] == node {
			rec.Partitions[partition] = l.choosePartitionOwner(rec, partition, node)
		}
	}
}

// inherit gives the shares of a controller that ended to its successor, to
// whom its machines go with all that may run on them.
func transferShares(rec *wire.LeaseRecord, dead, to string) {
	for _, shares := range rec.Shares {
		a, b := shares[dead], shares[to]
		delete(shares, dead)
		shares[to] = wire.Share{CPUs: a.CPUs + b.CPUs, GPUs: a.GPUs + b.GPUs}
	}
}

// beginShares gives the whole limit of a team whose jobs are about to be parted
// to the controller that was home to all of them, or parts it evenly where
// nobody was.
func (l *Leader) initShares(rec *wire.LeaseRecord, team config.Team, live []string) {
	limit := wire.Share{CPUs: int(team.CPUsMax), GPUs: int(team.GPUsMax)}
	shares := wire.Shares{}
	if owner := l.view.Lease.Partitions[team.Name]; owner != "" {
		// Its home at this moment, should it have moved with this write.
		shares[rec.Partitions[team.Name]] = limit
	} else {
		for _, node := range live {
			shares[node] = wire.Share{CPUs: limit.CPUs / len(live), GPUs: limit.GPUs / len(live)}
		}
	}
	if rec.Shares == nil {
		rec.Shares = map[string]wire.Shares{}
	}
	rec.Shares[team.Name] = shares
}

// RequestQuotaPublish looks whether shares are worth a write of their own.
func (l *Leader) RequestQuotaPublish() {
	rec := l.view.Lease.Clone()
	l.publishPending = l.publishPending || l.distributeShares(&rec)
}

// raiseShares gives what no share of a team takes to those that want it. It
// tells whether that is worth a write of its own.
func (l *Leader) distributeShares(rec *wire.LeaseRecord) bool {
	worth := false
	own := l.local.TeamUse()
	for _, team := range cluster.SortedKeys(rec.Shares) {
		shares, limit := rec.Shares[team], l.view.LimitOf(team)
		cpus, gpus := l.view.QuotaNeeds(rec.Partitions, shares, team, own, l.loop.Now)
		for node := range cpus {
			if _, ok := rec.Blocks[node]; !ok {
				delete(cpus, node)
				delete(gpus, node)
			}
		}
		raise := func(limit float64, needs map[string]quota.Need, get func(wire.Share) int, set func(*wire.Share, int)) {
			if limit <= 0 {
				return
			}
			now := map[string]int{}
			for node, s := range shares {
				now[node] = get(s)
			}
			next, significant := quota.GrantFree(int(limit), now, quota.Targets(math.Floor(limit), needs), needs)
			worth = worth || significant
			for node, n := range next {
				s := shares[node]
				set(&s, n)
				shares[node] = s
			}
		}
		raise(limit.CPUs, cpus, func(s wire.Share) int { return s.CPUs }, func(s *wire.Share, n int) { s.CPUs = n })
		raise(limit.GPUs, gpus, func(s wire.Share) int { return s.GPUs }, func(s *wire.Share, n int) { s.GPUs = n })
	}
	return worth
}
