package artefactd

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefactapi"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/artefacts/replica"
	"fawncove/internal/artefacts/s3fs"
	"fawncove/internal/artefacts/segment"
)

// memberToken is for how long the tokens last that instances show each other.
const memberToken = time.Hour

// reloadEvery is how often key and certificate files are looked at.
const reloadEvery = 2 * time.Second

// Instance is a store that serves.
type Instance struct {
	cfg    *Config
	log    *slog.Logger
	arch   *archive.Archive
	ring   *keys.Ring
	set    *replica.Set
	api    *artefactapi.Server
	listen net.Listener
}

// Open opens the archive and the listener of an instance.
func Open(cfg *Config, log *slog.Logger) (*Instance, error) {
	ring, err := keys.Open(cfg.Keys)
	if err != nil {
		return nil, err
	}
	var dir segment.FS
	if dir, err = segment.MkDir(filepath.Join(cfg.Dir, "segments")); err != nil {
		return nil, fmt.Errorf("dir: %w", err)
	}
	if cfg.S3 != nil {
		if dir, err = s3fs.New(*cfg.S3); err != nil {
			return nil, err
		}
	}
	// Names the run of the machine: what its memory holds of the index is good
	// for as long. Where it cannot be read the index is made again.
	boot, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	arch, err := archive.Open(archive.Options{FS: dir, Index: filepath.Join(cfg.Dir, "index.db"),
		SegmentBytes: cfg.Segment, Boot: strings.TrimSpace(string(boot)), Log: log})
	if err != nil {
		return nil, err
	}
	i := &Instance{cfg: cfg, log: log, arch: arch, ring: ring}
	if err := i.join(); err != nil {
		return nil, errors.Join(err, arch.Close())
	}
	if i.listen, err = i.listener(); err != nil {
		return nil, errors.Join(err, arch.Close())
	}
	return i, nil
}

// join makes the set with the other instances.
func (i *Instance) join() error {
	pool, err := Pool(i.cfg.CAFile)
	if err != nil {
		return fmt.Errorf("set.ca: %w", err)
	}
	hc := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool},
		MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
	var mu sync.Mutex
	var token string
	var until time.Time
	sign := func() (string, error) {
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.After(until.Add(-memberToken / 2)) {
			t, err := i.ring.Sign(keys.Grant{Right: keys.Member, Expiry: now.Add(memberToken)})
			if err != nil {
				return "", err
			}
			token, until = t, now.Add(memberToken)
		}
		return token, nil
	}
	peers := map[string]replica.Member{}
	for name, url := range i.cfg.Peers {
		peers[name] = artefactapi.NewClient(url, sign, hc)
	}
	i.set, err = replica.New(replica.Options{Local: i.arch, Peers: peers, Copies: i.cfg.Copies, Patience: i.cfg.Patience, Log: i.log})
	if err != nil {
		return err
	}
	i.api = artefactapi.New(artefactapi.Options{Archive: i.arch, Set: i.set, Keys: i.ring, Quiet: i.cfg.Quiet, Log: i.log,
		Metrics: artefactapi.NewMetrics(i.arch.Records)})
	return nil
}

// Pool reads certificates to check others with; nil, for those of the machine,
// when path is empty.
func Pool(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("%s: no certificates", path)
	}
	return pool, nil
}

// listener listens, with TLS if there is a certificate. That is read again when
// it changes; one that cannot be read leaves the one in use.
func (i *Instance) listener() (net.Listener, error) {
	l, err := net.Listen("tcp", i.cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if i.cfg.CertFile == "" {
		return l, nil
	}
	c := &certificate{cert: i.cfg.CertFile, key: i.cfg.KeyFile, log: i.log}
	if err := c.load(); err != nil {
		return nil, errors.Join(fmt.Errorf("tls: %w", err), l.Close())
	}
	return tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.get}), nil
}

type certificate struct {
	cert, key string
	log       *slog.Logger
	mu        sync.Mutex
	now       *tls.Certificate
	changed   time.Time // of the file in use
	looked    time.Time
}

func (c *certificate) load() error {
	info, err := os.Stat(c.cert)
	if err != nil {
		return err
	}
	if c.now != nil && info.ModTime().Equal(c.changed) {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return err
	}
	c.now, c.changed = &pair, info.ModTime()
	return nil
}

func (c *certificate) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.looked) > reloadEvery {
		c.looked = now
		if err := c.load(); err != nil {
			c.log.Error("certificate cannot be read, the old one stays", "err", err)
		}
	}
	return c.now, nil
}

// Addr is where the instance listens.
func (i *Instance) Addr() net.Addr { return i.listen.Addr() }

// Keys are the keys of the instance.
func (i *Instance) Keys() *keys.Ring { return i.ring }

// Serve serves until ctx ends, and then ends in order.
func (i *Instance) Serve(ctx context.Context) error {
	server := &http.Server{Handler: i.api, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: time.Minute,
		IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 16 << 10, ErrorLog: log.New(io.Discard, "", 0)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { i.set.Run(ctx, i.cfg.Sync) })
	wg.Go(func() { i.every(ctx, reloadEvery, i.reload) })
	wg.Go(func() { i.every(ctx, i.cfg.Every, i.retain) })
	wg.Go(func() { i.every(ctx, i.cfg.Scrub, i.scrub) })
	stopped := context.AfterFunc(ctx, func() {
		grace, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(grace) // what still runs then is cut off
		_ = server.Close()
	})
	defer stopped()
	i.log.Info("serving artefacts", "addr", i.listen.Addr().String(), "instance", i.cfg.Name, "copies", i.cfg.Copies, "of", len(i.cfg.Peers)+1)
	err := server.Serve(i.listen)
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	cancel()
	wg.Wait()
	i.set.Wait()
	return errors.Join(err, i.arch.Close())
}

func (i *Instance) every(ctx context.Context, d time.Duration, f func(context.Context) error) {
	tick := time.NewTicker(d)
	defer tick.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		// Said once, not with every try.
		text := ""
		if err := f(ctx); err != nil && ctx.Err() == nil {
			if text = err.Error(); text != last {
				i.log.Error("upkeep", "err", err)
			}
		}
		last = text
	}
}

func (i *Instance) reload(context.Context) error { return i.ring.Reload() }

func (i *Instance) retain(ctx context.Context) error {
	for _, rule := range i.cfg.Retention {
		list, err := i.api.Choose(rule, time.Now())
		if err != nil {
			return err
		}
		if len(list) == 0 {
			continue
		}
		if _, err := i.api.Prune(ctx, list); err != nil {
			return err
		}
	}
	return nil
}

func (i *Instance) scrub(ctx context.Context) error {
	found, err := i.set.Repair(ctx)
	if err != nil {
		return err
	}
	i.log.Info("scrubbed", "records", found.Records, "repaired", found.Repaired, "lost", len(found.Missing))
	return nil
}
