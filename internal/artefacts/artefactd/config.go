// Package artefactd runs an instance of the artefact store: it reads its
// settings, opens the archive, joins the set, and serves.
package artefactd

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"fawncove/internal/artefacts/artefactapi"
	"fawncove/internal/artefacts/s3fs"
)

// Config are an instance's settings. Paths are relative to the file's folder.
type Config struct {
	Listen    string        // address and port
	Dir       string        // where segments and index are kept
	Keys      string        // file of keys; made if it is missing
	Segment   int64         // size of a segment, in bytes
	S3        *s3fs.Options // where segments are kept instead, if not nil
	Quiet     time.Duration // after which an attempt without an end counts as cut off
	CertFile  string        // TLS, with KeyFile; none if both are empty
	KeyFile   string
	Name      string // in the set
	Copies    int    // instances that must have a record before it is acknowledged
	Sync      time.Duration
	Patience  time.Duration
	CAFile    string            // certificates that the others' are checked with
	Peers     map[string]string // the others' URLs by name
	Retention []artefactapi.Rule
	Every     time.Duration // how often retention is looked at
	Scrub     time.Duration // how often everything is read and checked
}

// file is the settings as they are written.
type file struct {
	Listen    string `toml:"listen"`
	Dir       string `toml:"dir"`
	Keys      string `toml:"keys"`
	SegmentMB int64  `toml:"segment_mb"`
	QuietS    int64  `toml:"quiet_s"`
	S3        struct {
		Endpoint   string `toml:"endpoint"`
		Insecure   bool   `toml:"insecure"`
		Region     string `toml:"region"`
		Bucket     string `toml:"bucket"`
		Prefix     string `toml:"prefix"`
		AccessKey  string `toml:"access_key"`
		SecretFile string `toml:"secret_file"`
	} `toml:"s3"`
	TLS struct {
		Cert string `toml:"cert"`
		Key  string `toml:"key"`
	} `toml:"tls"`
	Set struct {
		Name      string `toml:"name"`
		Copies    int    `toml:"copies"`
		SyncS     int64  `toml:"sync_s"`
		PatienceS int64  `toml:"patience_s"`
		CA        string `toml:"ca"`
		Peers     []struct {
			Name string `toml:"name"`
			URL  string `toml:"url"`
		} `toml:"peers"`
	} `toml:"set"`
	Retention struct {
		EveryS int64 `toml:"every_s"`
		Rules  []struct {
			Team    string `toml:"team"`
			Outcome string `toml:"outcome"`
			AgeDays int64  `toml:"age_days"`
			MaxMB   int64  `toml:"max_mb"`
		} `toml:"rules"`
	} `toml:"retention"`
	Scrub struct {
		EveryS int64 `toml:"every_s"`
	} `toml:"scrub"`
}

var instanceName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,30}$`)

// Load reads and checks a settings file. Its errors name the field.
func Load(path string) (*Config, error) {
	f := file{Listen: "127.0.0.1:8470", Dir: "artefacts", Keys: "artefacts-keys.toml", SegmentMB: 64, QuietS: 60}
	f.Set.Name, f.Set.Copies, f.Set.SyncS, f.Set.PatienceS = "a", 1, 10, 5
	f.Retention.EveryS, f.Scrub.EveryS = 3600, 24*3600
	meta, err := toml.DecodeFile(path, &f)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return nil, fmt.Errorf("%s:%d: %s", path, parse.Position.Line, parse.Message)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: no such field", path, unknown[0])
	}
	c, err := f.check(filepath.Dir(path))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (f *file) check(folder string) (*Config, error) {
	at := func(p string) string {
		if p == "" || filepath.IsAbs(p) {
			return p
		}
		return filepath.Join(folder, p)
	}
	seconds := func(n int64) time.Duration { return time.Duration(n) * time.Second }
	c := &Config{Listen: f.Listen, Dir: at(f.Dir), Keys: at(f.Keys), Segment: f.SegmentMB << 20, Quiet: seconds(f.QuietS),
		CertFile: at(f.TLS.Cert), KeyFile: at(f.TLS.Key), Name: f.Set.Name, Copies: f.Set.Copies, Sync: seconds(f.Set.SyncS),
		Patience: seconds(f.Set.PatienceS), CAFile: at(f.Set.CA), Peers: map[string]string{}, Every: seconds(f.Retention.EveryS), Scrub: seconds(f.Scrub.EveryS)}
	if _, _, err := net.SplitHostPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	for _, x := range []struct {
		name           string
		n, least, most int64
	}{
		{"segment_mb", f.SegmentMB, 1, 4096}, {"quiet_s", f.QuietS, 1, 1 << 30}, {"set.sync_s", f.Set.SyncS, 1, 1 << 30},
		{"set.patience_s", f.Set.PatienceS, 1, 600}, {"retention.every_s", f.Retention.EveryS, 1, 1 << 30}, {"scrub.every_s", f.Scrub.EveryS, 1, 1 << 30},
	} {
		if x.n < x.least || x.n > x.most {
			return nil, fmt.Errorf("%s: %d is not between %d and %d", x.name, x.n, x.least, x.most)
		}
	}
	if s := f.S3; s.Endpoint != "" || s.Bucket != "" {
		if s.Endpoint == "" || s.Bucket == "" || s.AccessKey == "" || s.SecretFile == "" {
			return nil, errors.New("s3: endpoint, bucket, access_key and secret_file go together")
		}
		secret, err := os.ReadFile(at(s.SecretFile))
		if err != nil {
			return nil, fmt.Errorf("s3.secret_file: %w", err)
		}
		c.S3 = &s3fs.Options{Endpoint: s.Endpoint, Secure: !s.Insecure, Region: s.Region, Bucket: s.Bucket, Prefix: s.Prefix,
			AccessKey: s.AccessKey, SecretKey: strings.TrimSpace(string(secret))}
	}
	if (f.TLS.Cert == "") != (f.TLS.Key == "") {
		return nil, errors.New("tls: cert and key go together")
	}
	if !instanceName.MatchString(f.Set.Name) {
		return nil, fmt.Errorf("set.name: %q", f.Set.Name)
	}
	for _, p := range f.Set.Peers {
		u, err := url.Parse(p.URL)
		switch {
		case !instanceName.MatchString(p.Name) || p.Name == f.Set.Name || c.Peers[p.Name] != "":
			return nil, fmt.Errorf("set.peers: name %q", p.Name)
		case err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "":
			return nil, fmt.Errorf("set.peers: url %q", p.URL)
		}
		c.Peers[p.Name] = p.URL
	}
	if f.Set.Copies < 1 || f.Set.Copies > len(c.Peers)+1 {
		return nil, fmt.Errorf("set.copies: %d of %d instances", f.Set.Copies, len(c.Peers)+1)
	}
	for i, r := range f.Retention.Rules {
		if !strings.Contains(" done failed cut off ", " "+r.Outcome+" ") && r.Outcome != "" {
			return nil, fmt.Errorf("retention.rules %d: outcome %q is none of done, failed, cut off", i+1, r.Outcome)
		}
		if r.AgeDays < 0 || r.MaxMB < 0 || (r.AgeDays == 0 && r.MaxMB == 0) {
			return nil, fmt.Errorf("retention.rules %d: age_days or max_mb is needed", i+1)
		}
		c.Retention = append(c.Retention, artefactapi.Rule{Team: r.Team, Outcome: r.Outcome,
			Age: time.Duration(r.AgeDays) * 24 * time.Hour, Bytes: uint64(r.MaxMB) << 20})
	}
	return c, nil
}
