package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/controller"
	"fawncove/internal/edge/cloud"
	"fawncove/internal/edge/httpapi"
	"fawncove/internal/edge/membudget"
	"fawncove/internal/edge/node"
	"fawncove/internal/edge/peer"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/wire"
)

func serveCommand() *cobra.Command {
	var path string
	var raiseAfter time.Duration
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run a controller until it is killed",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := textLog()
			if err != nil {
				return err
			}
			s, err := config.Load(path)
			if err != nil {
				return err
			}
			params := cluster.Defaults()
			params.Version, params.RaiseLevelAfter = buildVersion(), raiseAfter
			return serve(cmd.Context(), s, params, log)
		},
	}
	configFlag(cmd, &path)
	cmd.Flags().DurationVar(&raiseAfter, "raise-after", cluster.DefaultRaiseLevelAfter,
		"raise the cluster's level when all controllers could follow for so long; 0: only when asked")
	return cmd
}

// textLog returns a logger to standard error at the level of LOG_LEVEL.
func textLog() (*slog.Logger, error) {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return nil, err
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// logLevel parses the value of LOG_LEVEL.
func logLevel(name string) (slog.Level, error) {
	switch name {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", name)
}

// serve runs a controller until ctx ends or the process is interrupted.
func serve(ctx context.Context, settings *config.Settings, params cluster.Params, logger *slog.Logger) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fitMachine(settings.Cluster.Limits)

	clients, err := net.Listen("tcp", settings.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp", settings.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	// All goroutines of the controller belong to this group; they end with its context,
	// when one of them fails or the controller has departed.
	group, ctx := errgroup.WithContext(ctx)
	bodies := membudget.NewBodies(settings.Cluster.Limits.ClientMemory())
	n := newNode(ctx, settings, params, logger, bodies)
	server := newServer(n, bodies)
	group.Go(func() error {
		n.Run(ctx)
		return nil
	})
	group.Go(func() error {
		peer.Serve(ctx, peers, logger, membudget.New(settings.Cluster.Limits.PeerMemory()), n.Peer)
		return nil
	})
	group.Go(func() error {
		if err := server.Serve(clients); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	group.Go(func() error {
		defer cancel()
		stop, done := interrupted(ctx)
		defer done()
		<-stop.Done()
		if ctx.Err() == nil { // told to end, not ended by a failure
			depart(n, server, logger)
		}
		return nil
	})
	// The service report finds the start of a process by this line.
	logger.Info("serving", "node", settings.HostName, "area", settings.Area, "clients", settings.ClientListen)
	return group.Wait()
}

// cloudShare is the part of the cloud's request limit that the controllers use: only the
// leader calls it, but two may take themselves for the leader for a moment.
const cloudShare = 0.8

// newNode returns the node of a controller, with clients for the services and links to the
// other controllers.
func newNode(ctx context.Context, settings *config.Settings, params cluster.Params, logger *slog.Logger, bodies *membudget.Bodies) *node.Node {
	links := map[string]*peer.Link{}
	for _, p := range settings.Peers {
		links[p.HostName] = peer.Dial(ctx, p.Endpoint)
	}
	state, limits := settings.Cluster.State, settings.Cluster.Limits
	answers := membudget.NewBodies(limits.ServiceMemory())
	store := statestore.New(settings.External.State, state.RPS, state.WriteRPS, settings.Controllers())
	store.LimitMemory(answers, limits.WatchBytes())
	machines := cloud.New(settings.External.Cloud, settings.Cluster.Cloud.RPS, cloudShare)
	machines.LimitMemory(answers)
	core := controller.New(settings, params, logger, wire.Incarnation(time.Now().UnixMilli()))
	return node.New(core, logger, store, machines, links, limits.Sockets, bodies)
}

// newServer returns the server for users, workers and health checks.
func newServer(n *node.Node, bodies *membudget.Bodies) *http.Server {
	return &http.Server{
		Handler:           httpapi.New(n, bodies),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       3 * time.Minute,
		MaxHeaderBytes:    8 << 10,
		ConnState:         n.Sockets().Track,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

const (
	// handoverTimeout bounds how long a controller that is told to end hands over what it
	// holds. Others have it after a fraction of a second, or after a few seconds if it
	// led; what they do not have then they take when its lease lapses.
	handoverTimeout = 8 * time.Second
	// drainTimeout bounds how long it then answers requests in flight.
	drainTimeout = 4 * time.Second
)

// depart ends a controller: it hands over what it holds, while the load balancer finds it
// unhealthy and users that still come are answered, then accepts no more connections and
// answers the requests in flight.
func depart(n *node.Node, server *http.Server, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.Leave(ctx); err != nil {
		logger.Warn("not all was handed over", "err", err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logger.Warn("some requests were not answered", "err", err)
	}
	logger.Info("ended")
}

// gcPercent is the growth of the heap, in percent, between two garbage collections far from
// the memory limit.
const gcPercent = 200

// fitMachine keeps the program within a small machine: as many threads at work as there are
// cores, and a garbage collector that works harder near the memory limit instead of passing
// it.
func fitMachine(limits config.Limits) {
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	}
	if limits.RAMMB > 0 {
		debug.SetMemoryLimit(int64(limits.RAMMB * config.GCMemoryShare * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
}
