// Package replica makes a set of archives: what one of them is given is
// acknowledged once a stated number has it on disk, and all of them come to have
// it.
//
// No instance leads and none keeps track of the others. Records only ever are
// added and may be added again, so whoever was away, or was full, catches up by
// comparing sums of what it has with each of the others, range by range, and
// fetching what it lacks.
package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
)

// ErrTooFew says that not enough instances have stored a record. Some may have.
var ErrTooFew = errors.New("replica: too few instances have stored it")

// Member is another instance of the set.
type Member interface {
	// Add stores records there, see archive.Archive.Add.
	Add(ctx context.Context, recs ...*artefactpb.Record) error
	// Digests are the sums of what it has.
	Digests(ctx context.Context) ([archive.Ranges]artefact.ID, error)
	// IDs lists a range.
	IDs(ctx context.Context, which byte) ([]artefact.ID, error)
	// Fetch returns records, in order, each after the blocks that it refers to;
	// of a long list perhaps only the first ones, and of a large file perhaps
	// only the first blocks.
	Fetch(ctx context.Context, ids []artefact.ID) ([]*artefactpb.Record, error)
}

// Options are how a set works together.
type Options struct {
	Local  *archive.Archive
	Peers  map[string]Member // by name, this instance not among them
	Copies int               // how many must have a record before it is acknowledged
	// Patience bounds how long an instance may take to store something.
	Patience time.Duration
	Log      *slog.Logger
}

// Set is one instance's view of its set.
type Set struct {
	opt Options

	mu   sync.Mutex
	down map[string]error // peers that did not answer last
	busy map[string]int   // stores under way there
	wg   sync.WaitGroup
}

// busyMost bounds what is under way to one peer. One that is slow gets no more
// until it has answered; it catches up later.
const busyMost = 64

// New returns the view of the instance that opt.Local belongs to.
func New(opt Options) (*Set, error) {
	if opt.Copies < 1 || opt.Copies > len(opt.Peers)+1 {
		return nil, fmt.Errorf("replica: copies = %d of %d instances", opt.Copies, len(opt.Peers)+1)
	}
	return &Set{opt: opt, down: map[string]error{}, busy: map[string]int{}}, nil
}

// refused tells whether an error says something about the records rather than
// about who should store them: then all instances will say the same.
func refused(err error) bool {
	return errors.Is(err, artefact.ErrInvalid) || errors.Is(err, artefact.ErrTooLarge) ||
		errors.Is(err, archive.ErrConflict) || errors.Is(err, archive.ErrPruned) || errors.Is(err, archive.ErrMissing)
}

// Add stores records here and with the others, and returns how many have them
// as soon as that is enough; the rest are told all the same. An instance that
// is full, slow or away costs its copy only. The error is that of
// archive.Archive.Add when the records themselves are refused, and wraps
// ErrTooFew and what stood in the way otherwise.
func (s *Set) Add(ctx context.Context, recs ...*artefactpb.Record) (copies int, err error) {
	type answer struct {
		name string
		err  error
	}
	answers := make(chan answer, len(s.opt.Peers)+1)
	// What one of them has stored the others should have too, whether or not
	// the writer still waits.
	tell := func(name string, add func(context.Context, ...*artefactpb.Record) error) {
		s.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.opt.Patience)
			defer cancel()
			answers <- answer{name, add(ctx, recs...)}
		})
	}
	tell("", s.opt.Local.Add)
	asked := 1
	for name, p := range s.opt.Peers {
		if !s.begin(name) {
			continue
		}
		asked++
		tell(name, func(ctx context.Context, recs ...*artefactpb.Record) error {
			err := p.Add(ctx, recs...)
			s.end(name, err)
			return err
		})
	}
	var errs []error
	for range asked {
		select {
		case a := <-answers:
			switch {
			case a.err == nil:
				if copies++; copies >= s.opt.Copies {
					return copies, nil
				}
			case a.name == "" && refused(a.err):
				return 0, a.err
			case a.name == "":
				errs = append(errs, a.err)
			default:
				errs = append(errs, fmt.Errorf("%s: %w", a.name, a.err))
			}
		case <-ctx.Done():
			return copies, ctx.Err()
		}
	}
	return copies, fmt.Errorf("%w: %d of %d: %w", ErrTooFew, copies, s.opt.Copies, errors.Join(errs...))
}

func (s *Set) begin(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[name] >= busyMost {
		return false
	}
	s.busy[name]++
	return true
}

func (s *Set) end(name string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[name]--
	if refused(err) {
		err = nil // it has answered
	}
	s.note(name, err)
}

// note logs when a peer stops answering, and when it does again. With mu held.
func (s *Set) note(name string, err error) {
	switch {
	case err != nil && s.down[name] == nil:
		s.opt.Log.Warn("instance does not answer", "instance", name, "err", err)
	case err == nil && s.down[name] != nil:
		s.opt.Log.Info("instance answers again", "instance", name)
	}
	s.down[name] = err
}

// Down lists the peers that did not answer last, with their errors.
func (s *Set) Down() map[string]error {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]error{}
	for name, err := range s.down {
		if err != nil {
			out[name] = err
		}
	}
	return out
}

// Wait returns when nothing is under way any more.
func (s *Set) Wait() { s.wg.Wait() }

// Run compares with the others from time to time until ctx ends.
func (s *Set) Run(ctx context.Context, every time.Duration) {
	for {
		// Not all at the same moment.
		pause := every/2 + rand.N(every)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		for name := range s.opt.Peers {
			n, err := s.CatchUp(ctx, name)
			if n > 0 {
				s.opt.Log.Info("caught up", "from", name, "records", n)
			}
			s.mu.Lock()
			s.note(name, err)
			s.mu.Unlock()
		}
	}
}

// CatchUp fetches from a peer what this instance lacks, and returns how many
// records came. What cannot be stored is passed over; the next time tells.
func (s *Set) CatchUp(ctx context.Context, name string) (n int, err error) {
	p := s.opt.Peers[name]
	if p == nil {
		return 0, fmt.Errorf("replica: no instance %q", name)
	}
	theirs, err := p.Digests(ctx)
	if err != nil {
		return 0, err
	}
	ours := s.opt.Local.Digests()
	for i := range theirs {
		if ours[i] == theirs[i] {
			continue
		}
		ids, err := p.IDs(ctx, byte(i))
		if err != nil {
			return n, err
		}
		there, err := s.opt.Local.Has(ids)
		if err != nil {
			return n, err
		}
		var lack []artefact.ID
		for k, id := range ids {
			if !there[k] {
				lack = append(lack, id)
			}
		}
		got, err := s.fetch(ctx, p, lack)
		n += got
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// fetchMost bounds the records asked for at once.
const fetchMost = 200

func (s *Set) fetch(ctx context.Context, p Member, ids []artefact.ID) (n int, err error) {
	for len(ids) > 0 {
		recs, err := p.Fetch(ctx, ids[:min(len(ids), fetchMost)])
		if err != nil {
			return n, err
		}
		// They come with their blocks; what is refused, say as it was pruned
		// here meanwhile, must not hold the others up.
		var with []*artefactpb.Record
		came := map[artefact.ID]bool{}
		for _, r := range recs {
			with = append(with, r)
			if r.GetBlock() != nil {
				continue
			}
			err := s.opt.Local.Add(ctx, with...)
			if errors.Is(err, archive.ErrMissing) {
				// A large file: its blocks do not all come with it.
				if err := s.blocksOf(ctx, p, r); err != nil {
					return n, err
				}
				err = s.opt.Local.Add(ctx, r)
			}
			with = nil
			switch {
			case err == nil:
				n++
			case !refused(err):
				return n, err
			}
			came[artefact.IDOf(r)] = true
		}
		left := slices.DeleteFunc(slices.Clone(ids), func(id artefact.ID) bool { return came[id] })
		if len(left) == len(ids) {
			// Pruned there since, or damaged.
			left = ids[min(len(ids), fetchMost):]
		}
		ids = left
	}
	return n, nil
}

// blocksOf fetches the blocks that a record refers to, one at a time.
func (s *Set) blocksOf(ctx context.Context, p Member, r *artefactpb.Record) error {
	ids := artefact.Refs(r)
	there, err := s.opt.Local.Has(ids)
	if err != nil {
		return err
	}
	for i, id := range ids {
		if there[i] {
			continue
		}
		recs, err := p.Fetch(ctx, []artefact.ID{id})
		if err != nil {
			return err
		}
		if err := s.opt.Local.Add(ctx, recs...); err != nil && !refused(err) {
			return err
		}
	}
	return nil
}

// Repair scrubs this instance and fetches the blocks that it lost from whoever
// has them. It returns what it could not get back in Missing.
func (s *Set) Repair(ctx context.Context) (archive.Scrubbed, error) {
	found, err := s.opt.Local.Scrub(ctx)
	if err != nil {
		return found, err
	}
	var lost []artefact.ID
	for _, id := range found.Missing {
		if !s.getBlock(ctx, id) {
			lost = append(lost, id)
		}
	}
	found.Repaired += len(found.Missing) - len(lost)
	found.Missing = lost
	return found, nil
}

func (s *Set) getBlock(ctx context.Context, id artefact.ID) bool {
	for _, p := range s.opt.Peers {
		recs, err := p.Fetch(ctx, []artefact.ID{id})
		if err == nil && len(recs) == 1 && artefact.IDOf(recs[0]) == id && s.opt.Local.Add(ctx, recs[0]) == nil {
			return true
		}
	}
	return false
}

// Collect answers another instance's Fetch with about most bytes.
func Collect(a *archive.Archive, ids []artefact.ID, most int) []*artefactpb.Record {
	var out []*artefactpb.Record
	size := 0
	sent := map[artefact.ID]bool{}
	add := func(id artefact.ID, r *artefactpb.Record) {
		if !sent[id] {
			sent[id] = true
			out = append(out, r)
			size += len(r.GetBlock().GetZstd()) + 256
		}
	}
	for _, id := range ids {
		if size >= most {
			break
		}
		r, err := a.Record(id)
		if err != nil {
			continue // pruned, or damaged: somebody else may have it
		}
		whole := true
		for _, ref := range artefact.Refs(r) {
			if size >= most {
				break // the other side asks for the rest
			}
			if sent[ref] {
				continue
			}
			b, err := a.Record(ref)
			if err != nil {
				whole = false
				continue
			}
			add(ref, b)
		}
		if whole {
			add(id, r)
		}
	}
	return out
}
