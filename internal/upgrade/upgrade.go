// Package upgrade reports the progress of a rollout of the controllers: which versions
// run, which feature levels they can follow, what keeps the level from being raised, how
// many records are still in an earlier form, and which controller may be replaced next.
//
// It reads the state service only, so that its answer is the same while controllers
// restart. It writes nothing but the operator's request.
package upgrade

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/controller"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// Store is what is needed here of the state service's client.
type Store interface {
	Get(ctx context.Context, key string) (eventloop.Outcome, wire.Pair, error)
	Range(ctx context.Context, prefix, after string, most int) (eventloop.Outcome, wire.Page, error)
	Txn(ctx context.Context, t wire.Txn, leaseBudget bool) (eventloop.Outcome, wire.TxnAnswer, error)
}

// Controller is what is stored of one controller of the settings.
type Controller struct {
	Name        string `json:"name"`
	Leads       bool   `json:"leads"`
	Version     string `json:"version"` // "" of versions from before levels
	OldestLevel uint32 `json:"oldest_level"`
	NewestLevel uint32 `json:"newest_level"`
	SeenLevel   uint32 `json:"seen_level"`
	Ready       bool   `json:"ready"`
	// Incarnation is the process that stored its version, and LeaseIncarnation the one
	// that holds the block; 0: none.
	Incarnation          wire.Incarnation `json:"process"`
	LeaseIncarnation     wire.Incarnation `json:"holder"`
	Renewal              uint64           `json:"renewal"`
	Machines             int              `json:"machines"`
	UnreconciledMachines int              `json:"unheard"` // of its machines: they may run tasks that it does not know
	OutdatedRecords      int              `json:"left"`    // records in an earlier form
	UpdatedAt            time.Time        `json:"told"`
}

// Status is the state of a rollout at one time.
type Status struct {
	Level           feature.Level `json:"level"`
	Confirmed       feature.Level `json:"confirmed"`
	Generation      uint64        `json:"generation"`
	Form            int           `json:"form"` // of the lease value
	Term            wire.Term     `json:"term"`
	Sequence        uint64        `json:"beat"`
	Controllers     []Controller  `json:"controllers"`
	RequestedLevel  feature.Level `json:"asked"` // by the operator; 0: none
	Hold            bool          `json:"hold"`
	LevelBlockers   []string      `json:"waits"` // as the leader reports them
	OutdatedRecords int           `json:"left"`

	requestVersion wire.Revision // version of the operator's request as it was read
}

// Errors of reading and requesting.
var (
	// ErrUnavailable reports that the state service does not answer.
	ErrUnavailable = errors.New("the state service does not answer")
	// ErrEmpty reports that no controller has stored a lease value yet.
	ErrEmpty = errors.New("no controller has stored anything yet")
	// ErrChanged reports that the operator's request was changed meanwhile.
	ErrChanged = errors.New("somebody else has asked for something meanwhile")
)

// Read reads the status of the cluster that the settings describe.
func Read(ctx context.Context, store Store, s *config.Settings) (*Status, error) {
	rec, err := readLease(ctx, store)
	if err != nil {
		return nil, err
	}
	out := &Status{Level: feature.Level(rec.Level), Confirmed: feature.Level(rec.Confirmed), Generation: rec.Generation,
		Form: max(1, rec.Form), Term: rec.Term, Sequence: rec.Sequence}
	records, err := out.readRecords(ctx, store)
	if err != nil {
		return nil, err
	}
	names := []string{s.HostName}
	for _, peer := range s.Peers {
		names = append(names, peer.HostName)
	}
	slices.Sort(names)
	for _, name := range names {
		block, record := rec.Blocks[name], records[name]
		status := Controller{Name: name, Leads: name == rec.Leader, Version: record.Version, OldestLevel: record.OldestLevel, NewestLevel: record.NewestLevel, SeenLevel: record.SeenLevel,
			Ready: record.Ready, Incarnation: record.Incarnation, LeaseIncarnation: block.Incarnation, Renewal: block.Renewal,
			Machines: len(block.Machines) + len(block.Unreconciled), UnreconciledMachines: record.UnreconciledMachines, OutdatedRecords: record.OutdatedRecords}
		if record.UpdatedAtMs > 0 {
			status.UpdatedAt = time.UnixMilli(record.UpdatedAtMs).UTC()
		}
		if status.Leads {
			out.LevelBlockers = record.LevelBlockers
			if status.BeforeLevels() {
				out.LevelBlockers = []string{fmt.Sprintf("%s leads in a version from before levels, which raises none", name)}
			}
		}
		out.OutdatedRecords += record.OutdatedRecords
		out.Controllers = append(out.Controllers, status)
	}
	return out, nil
}

// BeforeLevels reports whether the controller's process is of a version from before
// levels: then it has stored nothing of itself, or an earlier process has.
func (c *Controller) BeforeLevels() bool {
	return c.LeaseIncarnation != 0 && c.Incarnation != c.LeaseIncarnation
}

const (
	// maxPageReads is how often the pages are read again when they do not match the value.
	maxPageReads = 3
	// rangePageSize is how many keys a page of a range read holds.
	rangePageSize = 500
)

// readLease reads the lease value with its pages.
func readLease(ctx context.Context, store Store) (wire.LeaseRecord, error) {
	var pages leasevalue.PageTable
	for try := 0; ; try++ {
		outcome, pair, err := store.Get(ctx, leasevalue.Key)
		switch {
		case outcome == eventloop.NotFound:
			return wire.LeaseRecord{}, ErrEmpty
		case outcome != eventloop.Succeeded:
			return wire.LeaseRecord{}, unavailable(outcome, err)
		}
		rec, err := pages.Read(pair.Value)
		if !errors.Is(err, leasevalue.ErrPageMissing) || try == maxPageReads {
			return rec, err
		}
		err = forEachKey(ctx, store, leasevalue.PagePrefix, func(p wire.Pair) error {
			_, err := pages.ReadPage(p.Key, p.Value)
			return err
		})
		if err != nil {
			return rec, err
		}
	}
}

// readRecords reads what the controllers and the operator have stored.
func (p *Status) readRecords(ctx context.Context, store Store) (map[string]wire.ControllerRecord, error) {
	records := map[string]wire.ControllerRecord{}
	return records, forEachKey(ctx, store, controller.LevelPrefix, func(pair wire.Pair) error {
		if pair.Key == controller.OperatorRequestKey {
			var w wire.OperatorRequest
			if err := decodeRecord(pair, &w, func() int { return w.Form }); err != nil {
				return err
			}
			p.RequestedLevel, p.Hold, p.requestVersion = feature.Level(w.TargetLevel), w.HoldLevel, pair.Version
			return nil
		}
		var r wire.ControllerRecord
		if err := decodeRecord(pair, &r, func() int { return r.Form }); err != nil {
			return err
		}
		records[pair.Key[min(len(pair.Key), len(controller.ControllerPrefix)):]] = r
		return nil
	})
}

// decodeRecord decodes a stored value of a known form.
func decodeRecord(pair wire.Pair, v any, form func() int) error {
	if err := wire.Decode(pair.Value, v); err != nil {
		return fmt.Errorf("%s: %w", pair.Key, err)
	}
	if f := form(); f > wire.ControllerForm {
		return wire.FormError{What: pair.Key, Form: f}
	}
	return nil
}

// forEachKey calls f for every key under a prefix.
func forEachKey(ctx context.Context, store Store, prefix string, f func(wire.Pair) error) error {
	after := ""
	for {
		outcome, page, err := store.Range(ctx, prefix, after, rangePageSize)
		if outcome != eventloop.Succeeded {
			return unavailable(outcome, err)
		}
		for _, pair := range page.Pairs {
			if err := f(pair); err != nil {
				return err
			}
			after = pair.Key
		}
		if !page.More || len(page.Pairs) == 0 {
			return nil
		}
	}
}

// unavailable returns the error for a call that failed.
func unavailable(outcome eventloop.Outcome, err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %s", ErrUnavailable, outcome)
}

// Request stores the operator's request in place of the one that was read.
func (p *Status) Request(ctx context.Context, store Store, request feature.OperatorRequest, at time.Time) error {
	rec := wire.OperatorRequest{Form: wire.ControllerForm, TargetLevel: uint32(request.TargetLevel), HoldLevel: request.Hold, UpdatedAtMs: at.UnixMilli()}
	outcome, _, err := store.Txn(ctx, wire.Txn{If: []wire.Condition{{Key: controller.OperatorRequestKey, Version: p.requestVersion}},
		Then: []wire.Op{{Put: controller.OperatorRequestKey, Value: rec}}}, false)
	switch outcome {
	case eventloop.Succeeded:
		return nil
	case eventloop.Conflict:
		return ErrChanged
	}
	return unavailable(outcome, err)
}
