package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/artefactapi"
	"fawncove/internal/artefacts/artefactd"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/artefacts/wholefile"
	"fawncove/internal/edge/client"
	"fawncove/internal/wire"
)

// access is how a command gets at the artefact store.
type access struct {
	store, token, config, ca string
}

func (a *access) flags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&a.store, "store", os.Getenv("FAWNCOVE_ARTEFACTS"), "URL of an instance of the store (or FAWNCOVE_ARTEFACTS)")
	f.StringVar(&a.token, "token", os.Getenv("FAWNCOVE_ARTEFACTS_TOKEN"), "token (or FAWNCOVE_ARTEFACTS_TOKEN)")
	f.StringVar(&a.config, "config", "", "settings file of the store, to sign a token with its keys")
	f.StringVar(&a.ca, "ca", "", "certificates to check the store's with")
}

// sign makes a token with the keys of the settings file, where there is one.
func (a *access) sign(g keys.Grant) error {
	if a.config == "" {
		return nil
	}
	c, err := artefactd.Load(a.config)
	if err != nil {
		return err
	}
	ring, err := keys.Open(c.Keys)
	if err != nil {
		return err
	}
	if a.token == "" {
		if a.token, err = ring.Sign(g); err != nil {
			return err
		}
	}
	if a.store == "" {
		a.store = "http://" + c.Listen
		if c.CertFile != "" {
			a.store = "https://" + c.Listen
		}
	}
	return nil
}

func (a *access) http() (*http.Client, error) {
	pool, err := artefactd.Pool(a.ca)
	if err != nil {
		return nil, fmt.Errorf("--ca: %w", err)
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}, nil
}

// client returns a client for a reader or an operator.
func (a *access) client() (*artefactapi.Client, error) {
	if err := a.sign(keys.Grant{Right: keys.Operate, Expiry: time.Now().Add(time.Hour)}); err != nil {
		return nil, err
	}
	if a.store == "" || a.token == "" {
		return nil, errors.New("--store and --token are needed, or --config")
	}
	hc, err := a.http()
	if err != nil {
		return nil, err
	}
	return artefactapi.NewClient(a.store, func() (string, error) { return a.token, nil }, hc), nil
}

// interrupted is a context that ends when the program is told to.
func interrupted(ctx context.Context) (context.Context, context.CancelFunc) {
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
}

func artefactsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "artefacts", Short: "Keep and read what attempts print and produce"}
	cmd.AddCommand(artefactsServe(), artefactsToken(), artefactsList(), artefactsGet(), artefactsVerify(), artefactsPrune())
	return cmd
}

func artefactsServe() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an instance of the artefact store until it is told to end",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := textLog()
			if err != nil {
				return err
			}
			cfg, err := artefactd.Load(path)
			if err != nil {
				return err
			}
			i, err := artefactd.Open(cfg, log)
			if err != nil {
				return err
			}
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			return i.Serve(ctx)
		},
	}
	configFlag(cmd, &path)
	return cmd
}

func artefactsToken() *cobra.Command {
	var path, team, task string
	var attempt uint64
	var read, operate bool
	var lasts time.Duration
	cmd := &cobra.Command{
		Use:   "token [JOB]",
		Short: "Make a token, to write for one attempt or to read",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			g := keys.Grant{Team: team, Expiry: time.Now().Add(lasts)}
			switch {
			case operate:
				g.Right = keys.Operate
			case read && team != "":
				g.Right = keys.Read
			case read:
				return errors.New("--read needs --team")
			default:
				n, err := strconv.ParseUint(task, 10, 32)
				if len(args) != 1 || err != nil || attempt == 0 {
					return errors.New("JOB, --task and --attempt are needed to write")
				}
				g.Right, g.Job, g.Task, g.Attempt = keys.Write, args[0], uint32(n), attempt
			}
			a := access{config: path}
			if err := a.sign(g); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), a.token)
			return nil
		},
	}
	configFlag(cmd, &path)
	f := cmd.Flags()
	f.StringVar(&team, "team", "", "team that the job belongs to, or whose jobs may be read")
	f.StringVar(&task, "task", "", "number of the task")
	f.Uint64Var(&attempt, "attempt", 0, "number of the attempt")
	f.BoolVar(&read, "read", false, "to read what a team's jobs left")
	f.BoolVar(&operate, "operate", false, "to read everything, prune and verify")
	f.DurationVar(&lasts, "lasts", 24*time.Hour, "for how long")
	return cmd
}

// target takes JOB or JOB/TASK apart into what a request asks for.
func target(arg string, attempt uint64) (url.Values, error) {
	job, task, has := strings.Cut(arg, "/")
	q := url.Values{"job": {job}}
	if has {
		if _, err := strconv.ParseUint(task, 10, 32); err != nil {
			return nil, fmt.Errorf("%q is no JOB/TASK", arg)
		}
		q.Set("task", task)
	}
	if attempt != 0 {
		q.Set("attempt", strconv.FormatUint(attempt, 10))
	}
	return q, nil
}

// reading is what the commands share that read what attempts left.
type reading struct {
	access
	attempt    uint64
	controller string
	asJSON     bool
}

func (r *reading) flags(cmd *cobra.Command) {
	r.access.flags(cmd)
	f := cmd.Flags()
	f.Uint64Var(&r.attempt, "attempt", 0, "this attempt only")
	f.BoolVar(&r.asJSON, "json", false, "one JSON object a line")
	f.StringVar(&r.controller, "controller", os.Getenv("FAWNCOVE_CONTROLLER"), "URL of a controller, to tell which attempt counted (or FAWNCOVE_CONTROLLER)")
}

// begin returns what to ask for JOB or JOB/TASK, and whom.
func (r *reading) begin(ctx context.Context, arg string) (url.Values, *artefactapi.Client, error) {
	q, err := target(arg, r.attempt)
	if err != nil {
		return nil, nil, err
	}
	if err := askFinal(ctx, r.controller, q); err != nil {
		return nil, nil, err
	}
	c, err := r.client()
	return q, c, err
}

// askFinal asks a controller for its final answer about a job, by which one of
// the attempts counted.
func askFinal(ctx context.Context, controller string, q url.Values) error {
	if controller == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	var a wire.JobAnswer
	status, err := client.New(1, 1<<20, 1).Do(ctx, http.MethodGet, strings.TrimSuffix(controller, "/")+"/v1/jobs/"+url.PathEscape(q.Get("job")), nil, &a, 200)
	if err != nil {
		return fmt.Errorf("--controller: %w", err)
	}
	if status == http.StatusOK && (a.State == wire.Done || a.State == wire.Cancelled) {
		q.Set("final", a.State)
	}
	return nil
}

func artefactsList() *cobra.Command {
	var r reading
	var files bool
	cmd := &cobra.Command{
		Use:   "list JOB[/TASK]",
		Short: "List the attempts of a job, or their files",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			q, c, err := r.begin(ctx, args[0])
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			enc := json.NewEncoder(out)
			tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			defer tw.Flush()
			if files {
				if !r.asJSON {
					fmt.Fprintln(tw, "TASK\tATTEMPT\tWRITER\tSIZE\tPATH")
				}
				return artefactapi.Stream(ctx, c, http.MethodGet, "/v1/files", q, nil, func(f artefactapi.File) error {
					if r.asJSON {
						return enc.Encode(f)
					}
					_, err := fmt.Fprintf(tw, "%d\t%d\t%s\t%s\t%s\n", f.Task, f.Attempt, f.Writer, humanize.IBytes(f.Size), f.Path)
					return err
				})
			}
			if !r.asJSON {
				fmt.Fprintln(tw, "TASK\tATTEMPT\tWRITER\tSTATE\tEXIT\tOUTPUT\tFILES\tLAST\tMACHINE")
			}
			return artefactapi.Stream(ctx, c, http.MethodGet, "/v1/attempts", q, nil, func(x artefactapi.Attempt) error {
				if r.asJSON {
					return enc.Encode(x)
				}
				exit := "-"
				if x.Ended != nil {
					exit = strconv.Itoa(int(x.Ended.Exit))
				}
				_, err := fmt.Fprintf(tw, "%d\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", x.Task, x.Attempt, x.Writer,
					artefact.Label{State: x.State, Superseded: x.Later, Counted: x.Counted}, exit, humanize.IBytes(x.Bytes), x.Files,
					x.Last.Format(time.RFC3339), x.Machine)
				return err
			})
		},
	}
	r.flags(cmd)
	cmd.Flags().BoolVar(&files, "files", false, "list files instead")
	return cmd
}

func artefactsGet() *cobra.Command {
	var a access
	var attempt uint64
	var writer, to string
	cmd := &cobra.Command{
		Use:   "get JOB/TASK PATH",
		Short: "Get a file that a task produced",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			q, err := target(args[0], attempt)
			if err != nil {
				return err
			}
			q.Set("path", args[1])
			if writer != "" {
				q.Set("writer", writer)
			}
			c, err := a.client()
			if err != nil {
				return err
			}
			if to == "" {
				_, err := c.File(ctx, q, cmd.OutOrStdout())
				return err
			}
			return wholefile.Write(to, func(w io.Writer) error {
				_, err := c.File(ctx, q, w)
				return err
			})
		},
	}
	a.flags(cmd)
	f := cmd.Flags()
	f.Uint64Var(&attempt, "attempt", 0, "this attempt's; the last one's if not given")
	f.StringVar(&writer, "writer", "", "this writer's")
	f.StringVarP(&to, "output", "o", "", "file to write it to")
	return cmd
}

func artefactsVerify() *cobra.Command {
	var a access
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "verify",
		Short: "Read everything an instance holds, and repair it from the others",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			c, err := a.client()
			if err != nil {
				return err
			}
			lost := 0
			err = artefactapi.Stream(ctx, c, http.MethodPost, "/v1/verify", nil, nil, func(v artefactapi.Verified) error {
				lost = len(v.Lost)
				if asJSON {
					return json.NewEncoder(cmd.OutOrStdout()).Encode(v)
				}
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%d records read, %d repaired, %d blocks lost\n", v.Records, v.Repaired, len(v.Lost))
				return err
			})
			if err == nil && lost > 0 {
				err = exitStatus(2)
			}
			return err
		},
	}
	a.flags(cmd)
	cmd.Flags().BoolVar(&asJSON, "json", false, "as a JSON object")
	return cmd
}

func artefactsPrune() *cobra.Command {
	var a access
	var req artefactapi.PruneRequest
	var days int
	var most string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "prune",
		Short: "Let old attempts go",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			if most != "" {
				n, err := humanize.ParseBytes(most)
				if err != nil {
					return fmt.Errorf("--keep: %w", err)
				}
				req.Bytes = n
			}
			req.Age = time.Duration(days) * 24 * time.Hour
			body, err := json.Marshal(req)
			if err != nil {
				return err
			}
			c, err := a.client()
			if err != nil {
				return err
			}
			out, n, bytes := cmd.OutOrStdout(), 0, uint64(0)
			err = artefactapi.Stream(ctx, c, http.MethodPost, "/v1/prune", nil, body, func(p artefactapi.Pruned) error {
				n++
				bytes += p.Bytes
				if asJSON {
					return json.NewEncoder(out).Encode(p)
				}
				_, err := fmt.Fprintf(out, "%s/%d attempt %d (%s): %s, %s, last written %s\n", p.Job, p.Task, p.Attempt.Attempt, p.Writer, p.State, p.Why, humanize.Time(p.Last))
				return err
			})
			if err == nil && !asJSON {
				what := "pruned"
				if req.DryRun {
					what = "would be pruned"
				}
				fmt.Fprintf(out, "%d attempts with %s of output %s\n", n, humanize.IBytes(bytes), what)
			}
			return err
		},
	}
	a.flags(cmd)
	f := cmd.Flags()
	f.IntVar(&days, "older-than-days", 0, "those last written before")
	f.StringVar(&most, "keep", "", "the oldest, until no more than this is left, say 20GB")
	f.StringVar(&req.Job, "job", "", "of this job only")
	f.StringVar(&req.Team, "team", "", "of this team only")
	f.StringVar(&req.Outcome, "outcome", "", "only these: done, failed, cut off")
	f.BoolVar(&req.DryRun, "dry-run", false, "only say what would go")
	f.BoolVar(&asJSON, "json", false, "one JSON object a line")
	return cmd
}

func logsCommand() *cobra.Command {
	var r reading
	var follow bool
	var since, grep string
	var tail int
	cmd := &cobra.Command{
		Use:   "logs JOB[/TASK]",
		Short: "Read what tasks have printed, also after their machines are gone",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			q, c, err := r.begin(ctx, args[0])
			if err != nil {
				return err
			}
			if since != "" {
				at, err := sinceTime(since, time.Now())
				if err != nil {
					return err
				}
				q.Set("since", at.Format(time.RFC3339Nano))
			}
			if grep != "" {
				q.Set("grep", grep)
			}
			if follow {
				q.Set("follow", "1")
			}
			if tail > 0 {
				q.Set("tail", strconv.Itoa(tail))
			}
			out := cmd.OutOrStdout()
			enc := json.NewEncoder(out)
			err = artefactapi.Stream(ctx, c, http.MethodGet, "/v1/logs", q, nil, func(l artefactapi.Line) error {
				if r.asJSON {
					return enc.Encode(l)
				}
				return printLine(out, l)
			})
			if follow && ctx.Err() != nil {
				return nil // told to end
			}
			return err
		},
	}
	r.flags(cmd)
	f := cmd.Flags()
	f.BoolVarP(&follow, "follow", "f", false, "go on as more is printed")
	f.StringVar(&since, "since", "", "from this time on: 2026-03-01T02:00:00Z, or 15m for so long ago")
	f.StringVar(&grep, "grep", "", "only lines that match this regular expression")
	f.IntVar(&tail, "tail", 0, "only so many last lines of each attempt")
	return cmd
}

// sinceTime reads a time of day, or a time span before now.
func sinceTime(text string, now time.Time) (time.Time, error) {
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, fmt.Errorf("--since: %q is neither a time nor a time span", text)
	}
	return at, nil
}

// printLine prints a line for people. Control characters, which a task may have
// printed, must not reach the terminal.
func printLine(out io.Writer, l artefactapi.Line) error {
	who := fmt.Sprintf("%d.%d", l.Task, l.Attempt)
	switch {
	case l.State != "":
		label := artefact.Label{State: l.State, Superseded: l.Later, Counted: l.Counted}
		_, err := fmt.Fprintf(out, "%s  == attempt %d by %s: %s, %d bytes\n", who, l.Attempt, l.Writer, label, l.Bytes)
		return err
	case l.Lost != "":
		_, err := fmt.Fprintf(out, "%s  == cannot be read: %s\n", who, l.Lost)
		return err
	}
	text := strings.Map(func(r rune) rune {
		if r < ' ' && r != '\t' || r == 0x7f {
			return '\ufffd'
		}
		return r
	}, l.Text)
	_, err := fmt.Fprintf(out, "%s  %s  %-4s %s\n", who, l.At.Format("2006-01-02T15:04:05.000Z"), l.Stream, text)
	return err
}

// keyOf makes the key of an attempt from flags.
func keyOf(job, writer string, task uint32, attempt uint64) (*artefactpb.Key, error) {
	k := &artefactpb.Key{Job: job, Task: task, Attempt: attempt, Writer: writer}
	return k, artefact.CheckKey(k)
}
