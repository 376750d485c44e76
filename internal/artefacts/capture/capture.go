// Package capture runs a command beside which it keeps what the command prints
// and produces: it cuts the output into chunks, spools them on disk, and sends
// them to the artefact store. The command goes on whatever becomes of the store:
// while that is away the spool grows to its bound, and then either output is
// skipped, which is noted where it is missing, or the command waits, which is
// said on standard error.
package capture

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/bmatcuk/doublestar/v4"
	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/artefactapi"
)

const (
	// cutBytes and cutEvery are when output is cut into a chunk.
	cutBytes = 256 << 10
	cutEvery = time.Second
	// sendBytes is about how much is sent at once: with one record more, at most
	// a block, it is well below artefactapi.BatchMost.
	sendBytes = 2 << 20
	// backOffMost bounds the pause after a try that failed.
	backOffMost = 10 * time.Second
	// noteStream is the stream of remarks, see artefactpb.Piece.
	noteStream = 3
)

// Store takes records.
type Store interface {
	Write(ctx context.Context, recs ...*artefactpb.Record) (copies int, err error)
}

// Options say what to run and how to keep it.
type Options struct {
	Ticket  Ticket
	Team    string
	Machine string
	Command []string
	Files   []string // patterns, relative to the working directory
	Spool   string   // directory for the spools of all attempts
	Most    int64    // bound of this attempt's spool, in bytes
	Wait    bool     // let the command wait when the spool is full
	Linger  time.Duration
	Store   func(Ticket) Store
	Stdout  io.Writer
	Stderr  io.Writer
	Log     *slog.Logger
	Now     func() time.Time
}

// Result is how a captured command ended.
type Result struct {
	Exit    int
	Signal  string
	Unsent  bool // something is left in the spool
	Skipped uint64
}

// run is a capture under way.
type run struct {
	opt   Options
	spool *spool
	codec *artefact.Codec

	mu      sync.Mutex // guards what follows
	pieces  []*artefactpb.Piece
	size    int
	seq     uint64
	offset  uint64
	skipped uint64 // in all
	gap     uint64 // since the last piece kept
	full    bool
	cutDue  chan struct{}
	wake    chan struct{} // there is something to send
}

func dirOf(k *artefactpb.Key) string {
	return fmt.Sprintf("%s.%d.%d.%s", k.GetJob(), k.GetTask(), k.GetAttempt(), k.GetWriter())
}

// Run runs the command and returns how it ended. An error means that it could
// not be begun, or that nothing of it could be kept.
func Run(ctx context.Context, opt Options) (Result, error) {
	codec, err := artefact.NewCodec()
	if err != nil {
		return Result{}, err
	}
	if err := artefact.CheckKey(opt.Ticket.Key); err != nil {
		return Result{}, err
	}
	for _, p := range opt.Files {
		if !doublestar.ValidatePattern(p) {
			return Result{}, fmt.Errorf("%w: pattern %q", artefact.ErrInvalid, p)
		}
	}
	sp, err := newSpool(filepath.Join(opt.Spool, dirOf(opt.Ticket.Key)), opt.Ticket)
	if err != nil {
		return Result{}, err
	}
	r := &run{opt: opt, spool: sp, codec: codec, cutDue: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	open := &artefactpb.Open{Key: opt.Ticket.Key, Team: opt.Team, Machine: opt.Machine, Command: opt.Command, AtNs: opt.Now().UnixNano()}
	if err := sp.add(ctx, artefact.RecordOf(open)); err != nil {
		return Result{}, errors.Join(err, sp.close(true))
	}
	cmd := exec.Command(opt.Command[0], opt.Command[1:]...)
	cmd.Stdin = os.Stdin
	cmd.Stdout, cmd.Stderr = &tee{r, 1, opt.Stdout}, &tee{r, 2, opt.Stderr}
	if err := cmd.Start(); err != nil {
		return Result{}, errors.Join(fmt.Errorf("capture: %w", err), sp.close(true))
	}
	stop := passSignals(cmd.Process)

	sending, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	sent := make(chan error, 1)
	done := make(chan struct{}) // nothing more comes
	go func() { sent <- send(sending, sp, opt.Store(opt.Ticket), r.wake, done, opt.Log) }()
	ended := make(chan struct{})
	cut := make(chan struct{})
	go func() {
		defer close(cut)
		r.cutter(ended)
	}()
	waitErr := cmd.Wait()
	stop()
	close(ended)
	<-cut
	res := r.finish(cmd, waitErr)
	close(done)
	select {
	case err = <-sent:
	case <-time.After(opt.Linger):
		cancel()
		err = <-sent
	}
	res.Unsent = err != nil
	if err != nil {
		opt.Log.Warn("not all is with the store; the next capture here, or capture --resume, sends it", "spool", sp.dir, "err", err)
	}
	return res, sp.close(err == nil)
}

// passSignals hands on to the command what this process is told.
func passSignals(p *os.Process) (stop func()) {
	ch := make(chan os.Signal, 8)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case s := <-ch:
				_ = p.Signal(s) // it may have ended
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(ch)
		close(done)
	}
}

// tee is one stream of the command.
type tee struct {
	r      *run
	stream uint32
	out    io.Writer
}

func (t *tee) Write(b []byte) (int, error) {
	t.r.take(t.stream, b)
	if t.out != nil {
		_, _ = t.out.Write(b) // whoever reads along may be gone; the command is not to notice
	}
	return len(b), nil
}

// take keeps what the command has printed.
func (r *run) take(stream uint32, b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// What waits to be cut is bounded like the spool: a disk that hangs must
	// not fill the memory.
	for r.spool.bytes()+int64(r.size+len(b)) > r.opt.Most || r.size > 16*cutBytes {
		if !r.opt.Wait {
			if !r.full {
				r.full = true
				r.opt.Log.Warn("spool is full, output is skipped", "most", r.opt.Most)
			}
			r.skipped += uint64(len(b))
			r.gap += uint64(len(b))
			return
		}
		if !r.full {
			r.full = true
			r.opt.Log.Warn("spool is full, the command waits", "most", r.opt.Most)
		}
		r.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		r.mu.Lock()
	}
	if r.full {
		r.full = false
		r.opt.Log.Warn("spool has room again", "skipped", r.skipped)
	}
	now := r.opt.Now().UnixNano()
	r.noteGap(now)
	r.pieces = append(r.pieces, &artefactpb.Piece{AtNs: now, Stream: stream, Data: append([]byte(nil), b...)})
	if r.size += len(b); r.size >= cutBytes {
		select {
		case r.cutDue <- struct{}{}:
		default:
		}
	}
}

// noteGap says in the output what is missing there. With mu held.
func (r *run) noteGap(now int64) {
	if r.gap == 0 {
		return
	}
	r.pieces = append(r.pieces, &artefactpb.Piece{AtNs: now, Stream: noteStream,
		Data: fmt.Appendf(nil, "[%d bytes were skipped here, as the spool was full]\n", r.gap)})
	r.gap = 0
}

// cutter cuts chunks until the command has ended.
func (r *run) cutter(ended <-chan struct{}) {
	tick := time.NewTicker(cutEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-r.cutDue:
		case <-ended:
			r.mu.Lock()
			r.noteGap(r.opt.Now().UnixNano())
			r.mu.Unlock()
			r.cut()
			return
		}
		r.cut()
	}
}

// cut makes chunks of what has been printed and puts them into the spool. What
// the spool does not take is skipped, and said to be.
func (r *run) cut() {
	r.mu.Lock()
	pieces := r.pieces
	r.pieces, r.size = nil, 0
	r.mu.Unlock()
	for len(pieces) > 0 {
		n, size := 0, 0
		for n < len(pieces) && (n == 0 || size+len(pieces[n].Data) <= cutBytes) {
			size += len(pieces[n].Data)
			n++
		}
		if size > cutBytes { // one piece, larger than a chunk
			p := pieces[0]
			first := &artefactpb.Piece{AtNs: p.AtNs, Stream: p.Stream, Data: p.Data[:cutBytes]}
			second := &artefactpb.Piece{AtNs: p.AtNs, Stream: p.Stream, Data: p.Data[cutBytes:]}
			pieces = append([]*artefactpb.Piece{first, second}, pieces[1:]...)
			continue
		}
		if err := r.chunk(pieces[:n], size); err != nil {
			r.opt.Log.Error("output cannot be spooled and is skipped", "bytes", size, "err", err)
			r.mu.Lock()
			r.skipped += uint64(size)
			r.gap += uint64(size)
			r.mu.Unlock()
		}
		pieces = pieces[n:]
	}
}

func (r *run) chunk(pieces []*artefactpb.Piece, size int) error {
	raw, err := proto.Marshal(&artefactpb.Output{Pieces: pieces})
	if err != nil {
		return err
	}
	b, err := r.codec.Pack(raw)
	if err != nil {
		return err
	}
	c := &artefactpb.Chunk{Key: r.opt.Ticket.Key, Seq: r.seq, Block: b.Hash, Offset: r.offset, Bytes: uint32(size),
		FirstNs: pieces[0].AtNs, LastNs: pieces[len(pieces)-1].AtNs}
	for _, p := range pieces {
		for _, x := range p.Data {
			if x == '\n' {
				c.Lines++
			}
		}
	}
	err = r.spool.add(context.Background(), artefact.RecordOf(b),
		artefact.RecordOf(c))
	if err != nil {
		return err
	}
	r.seq++
	r.offset += uint64(size)
	r.awake()
	return nil
}

func (r *run) awake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// finish keeps the files and writes the end.
func (r *run) finish(cmd *exec.Cmd, waitErr error) Result {
	for _, pattern := range r.opt.Files {
		r.files(pattern)
	}
	seal := &artefactpb.Seal{Key: r.opt.Ticket.Key, Chunks: r.seq, Bytes: r.offset, Skipped: r.skipped, AtNs: r.opt.Now().UnixNano()}
	res := Result{Skipped: r.skipped}
	if st := cmd.ProcessState; st != nil {
		res.Exit = st.ExitCode()
		if ws, ok := st.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
			res.Signal = ws.Signal().String()
			res.Exit = 128 + int(ws.Signal())
		}
		seal.UserS, seal.SystemS = st.UserTime().Seconds(), st.SystemTime().Seconds()
		if u, ok := st.SysUsage().(*syscall.Rusage); ok {
			seal.Memory = uint64(u.Maxrss) << 10
		}
	} else {
		res.Exit = 1
		r.opt.Log.Error("command", "err", waitErr)
	}
	seal.Exit, seal.Signal = int32(res.Exit), res.Signal
	if err := r.spool.add(context.Background(), artefact.RecordOf(seal)); err != nil {
		r.opt.Log.Error("the end cannot be spooled", "err", err)
	}
	r.awake()
	return res
}

// files keeps the files that match a pattern. They are opened beneath the
// working directory only, wherever links lead.
func (r *run) files(pattern string) {
	root, err := os.OpenRoot(".")
	if err != nil {
		r.opt.Log.Error("working directory", "err", err)
		return
	}
	defer root.Close()
	names, err := doublestar.Glob(root.FS(), pattern, doublestar.WithFilesOnly(), doublestar.WithNoFollow())
	if err != nil {
		r.opt.Log.Error("pattern", "pattern", pattern, "err", err)
		return
	}
	for _, name := range names {
		if err := r.file(root, name); err != nil {
			r.opt.Log.Error("file is not kept", "file", name, "err", err)
		}
	}
}

func (r *run) file(root *os.Root, name string) error {
	if err := artefact.CheckPath(name); err != nil {
		return err
	}
	f, err := root.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil || !info.Mode().IsRegular() {
		return errors.Join(err, fs.ErrInvalid)
	}
	if r.spool.bytes()+info.Size() > r.opt.Most {
		return fmt.Errorf("%d bytes are more than the spool has room for", info.Size())
	}
	rec := &artefactpb.File{Key: r.opt.Ticket.Key, Path: name, AtNs: info.ModTime().UnixNano()}
	buf := make([]byte, artefact.BlockMost)
	for {
		n, err := io.ReadFull(f, buf)
		if n > 0 {
			b, err := r.codec.Pack(buf[:n])
			if err != nil {
				return err
			}
			if err := r.spool.add(context.Background(), artefact.RecordOf(b)); err != nil {
				return err
			}
			rec.Blocks = append(rec.Blocks, b.Hash)
			rec.Size += uint64(n)
		}
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	return r.spool.add(context.Background(), artefact.RecordOf(rec))
}

// errLeft says that the store was not reached in time.
var errLeft = errors.New("capture: the store was not reached in time")

// send sends the spool until all of it is with the store and done is closed. It
// returns an error when it is told to end before, or when the store will never
// take what is next.
func send(ctx context.Context, sp *spool, store Store, wake, done <-chan struct{}, log *slog.Logger) error {
	pause := 100 * time.Millisecond
	ending := false
	for {
		recs, then, err := sp.next(sendBytes)
		if err != nil {
			return err
		}
		if len(recs) == 0 {
			if ending {
				return nil
			}
			select {
			case <-wake:
			case <-done:
				ending = true // one more look
			case <-ctx.Done():
				return errLeft
			}
			continue
		}
		if _, err := store.Write(ctx, recs...); err != nil {
			var no *artefactapi.RefusedError
			if errors.As(err, &no) && no.Lasting() {
				return err
			}
			log.Debug("store", "err", err)
			select {
			case <-ctx.Done():
				return fmt.Errorf("%w: %w", errLeft, err)
			case <-time.After(pause/2 + rand.N(pause)):
			}
			pause = min(2*pause, backOffMost)
			continue
		}
		pause = 100 * time.Millisecond
		if err := sp.done(then); err != nil {
			return err
		}
	}
}

// Resume sends what earlier captures have left in their spools, and returns how
// many spools are empty now, and how many are not.
func Resume(ctx context.Context, dir string, store func(Ticket) Store, log *slog.Logger) (sent, left int, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, fmt.Errorf("capture: spool: %w", err)
	}
	done := make(chan struct{})
	close(done)
	for _, e := range entries {
		if !e.IsDir() {
			continue
		}
		sp, err := openSpool(filepath.Join(dir, e.Name()))
		if errors.Is(err, ErrInUse) {
			continue
		}
		if err != nil {
			log.Warn("spool", "dir", e.Name(), "err", err)
			left++
			continue
		}
		err = send(ctx, sp, store(sp.ticket), nil, done, log)
		if err != nil {
			log.Warn("spool is not sent", "dir", e.Name(), "err", err)
			left++
		} else {
			sent++
		}
		if err := sp.close(err == nil); err != nil {
			log.Warn("spool", "dir", e.Name(), "err", err)
		}
	}
	return sent, left, nil
}
