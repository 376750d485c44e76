// Package upgrade tells an operator where a rollout of the controllers stands:
// which versions run, which levels they can follow, what keeps the cluster from
// being raised, what is left to rewrite, and which controller may be replaced
// next. It reads the state service and nothing else, so it has the same answer
// while controllers restart; what the leader waits for it tells in the leader's
// own words.
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
	Txn(ctx context.Context, t wire.Txn, control bool) (eventloop.Outcome, wire.TxnAnswer, error)
}

// Controller is what is stored of one controller of the settings.
type Controller struct {
	Name    string `json:"name"`
	Leads   bool   `json:"leads"`
	Version string `json:"version"` // "" of versions from before levels
	Oldest  uint32 `json:"oldest_level"`
	Newest  uint32 `json:"newest_level"`
	Seen    uint32 `json:"seen_level"`
	Ready   bool   `json:"ready"`
	// Process told its version, Holder has the block; 0: none.
	Process  uint64    `json:"process"`
	Holder   uint64    `json:"holder"`
	Renewal  uint64    `json:"renewal"`
	Machines int       `json:"machines"`
	Unheard  int       `json:"unheard"` // of the machines: may run tasks that it does not know of
	Left     int       `json:"left"`    // records to rewrite
	Told     time.Time `json:"told"`
}

// Picture is a rollout at a moment.
type Picture struct {
	Level       feature.Level `json:"level"`
	Confirmed   feature.Level `json:"confirmed"`
	Generation  uint64        `json:"generation"`
	Form        int           `json:"form"` // of the lease value
	Term        uint64        `json:"term"`
	Beat        uint64        `json:"beat"`
	Controllers []Controller  `json:"controllers"`
	Asked       feature.Level `json:"asked"` // by the operator; 0: none
	Hold        bool          `json:"hold"`
	Waits       []string      `json:"waits"` // the leader's words
	Left        int           `json:"left"`

	word uint64 // version of the operator's word
}

// Errors of reading and asking.
var (
	// ErrUnavailable says that the state service does not answer.
	ErrUnavailable = errors.New("the state service does not answer")
	// ErrEmpty says that no controller has stored a lease value yet.
	ErrEmpty = errors.New("no controller has stored anything yet")
	// ErrChanged says that somebody else has given the operator's word meanwhile.
	ErrChanged = errors.New("somebody else has asked for something meanwhile")
)

// Read takes a picture of the cluster that the settings describe.
func Read(ctx context.Context, store Store, s *config.Settings) (*Picture, error) {
	rec, err := readLease(ctx, store)
	if err != nil {
		return nil, err
	}
	p := &Picture{Level: feature.Level(rec.Level), Confirmed: feature.Level(rec.Confirmed), Generation: rec.Generation,
		Form: max(1, rec.Form), Term: rec.Term, Beat: rec.Sequence}
	told, err := p.readTold(ctx, store)
	if err != nil {
		return nil, err
	}
	names := []string{s.HostName}
	for _, peer := range s.Peers {
		names = append(names, peer.HostName)
	}
	slices.Sort(names)
	for _, name := range names {
		b, r := rec.Blocks[name], told[name]
		c := Controller{Name: name, Leads: name == rec.Leader, Version: r.Version, Oldest: r.OldestLevel, Newest: r.NewestLevel, Seen: r.SeenLevel,
			Ready: r.Ready, Process: r.Incarnation, Holder: b.Incarnation, Renewal: b.Renewal,
			Machines: len(b.Machines) + len(b.Unreconciled), Unheard: r.UnreconciledMachines, Left: r.OutdatedRecords}
		if r.UpdatedAtMs > 0 {
			c.Told = time.UnixMilli(r.UpdatedAtMs).UTC()
		}
		if c.Leads {
			p.Waits = r.LevelBlockers
			if c.Older() {
				p.Waits = []string{fmt.Sprintf("%s leads in a version from before levels, which raises none", name)}
			}
		}
		p.Left += r.OutdatedRecords
		p.Controllers = append(p.Controllers, c)
	}
	return p, nil
}

// Older tells whether the controller's process is of a version from before
// levels: then it has stored nothing of itself, or an earlier process has.
func (c *Controller) Older() bool { return c.Holder != 0 && c.Process != c.Holder }

// readLease reads the lease value with its pages.
func readLease(ctx context.Context, store Store) (wire.LeaseRecord, error) {
	var book leasevalue.PageTable
	for try := 0; ; try++ {
		outcome, pair, err := store.Get(ctx, leasevalue.Key)
		switch {
		case outcome == eventloop.NotFound:
			return wire.LeaseRecord{}, ErrEmpty
		case outcome != eventloop.Succeeded:
			return wire.LeaseRecord{}, unavailable(outcome, err)
		}
		rec, err := book.Read(pair.Value)
		if !errors.Is(err, leasevalue.ErrPageMissing) || try == 3 {
			return rec, err
		}
		err = each(ctx, store, leasevalue.PagePrefix, func(p wire.Pair) error {
			_, err := book.ReadPage(p.Key, p.Value)
			return err
		})
		if err != nil {
			return rec, err
		}
	}
}

// readTold reads what the controllers and the operator have stored.
func (p *Picture) readTold(ctx context.Context, store Store) (map[string]wire.ControllerRecord, error) {
	told := map[string]wire.ControllerRecord{}
	return told, each(ctx, store, controller.LevelPrefix, func(pair wire.Pair) error {
		if pair.Key == controller.OperatorRequestKey {
			var w wire.OperatorRequest
			if err := open(pair, &w, func() int { return w.Form }); err != nil {
				return err
			}
			p.Asked, p.Hold, p.word = feature.Level(w.TargetLevel), w.HoldLevel, pair.Version
			return nil
		}
		var r wire.ControllerRecord
		if err := open(pair, &r, func() int { return r.Form }); err != nil {
			return err
		}
		told[pair.Key[min(len(pair.Key), len(controller.ControllerPrefix)):]] = r
		return nil
	})
}

// open decodes a stored value of a known form.
func open(pair wire.Pair, v any, form func() int) error {
	if err := wire.Decode(pair.Value, v); err != nil {
		return fmt.Errorf("%s: %w", pair.Key, err)
	}
	if f := form(); f > wire.ControllerForm {
		return wire.FormError{What: pair.Key, Form: f}
	}
	return nil
}

// each calls f for every key under a prefix.
func each(ctx context.Context, store Store, prefix string, f func(wire.Pair) error) error {
	after := ""
	for {
		outcome, page, err := store.Range(ctx, prefix, after, 500)
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

func unavailable(outcome eventloop.Outcome, err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %s", ErrUnavailable, outcome)
}

// Ask gives the operator's word, in place of the one that the picture shows.
func (p *Picture) Ask(ctx context.Context, store Store, word feature.OperatorRequest, at time.Time) error {
	rec := wire.OperatorRequest{Form: wire.ControllerForm, TargetLevel: uint32(word.TargetLevel), HoldLevel: word.Hold, UpdatedAtMs: at.UnixMilli()}
	outcome, _, err := store.Txn(ctx, wire.Txn{If: []wire.Condition{{Key: controller.OperatorRequestKey, Version: p.word}},
		Then: []wire.Op{{Put: controller.OperatorRequestKey, Value: rec}}}, false)
	switch outcome {
	case eventloop.Succeeded:
		return nil
	case eventloop.Conflict:
		return ErrChanged
	}
	return unavailable(outcome, err)
}
