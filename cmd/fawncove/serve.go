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

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/controller"
	"fawncove/internal/edge/cloud"
	"fawncove/internal/edge/httpapi"
	"fawncove/internal/edge/node"
	"fawncove/internal/edge/peer"
	"fawncove/internal/edge/statestore"
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
			par := cluster.Defaults()
			par.Version, par.RaiseLevelAfter = buildVersion(), raiseAfter
			return serve(cmd.Context(), s, par, log)
		},
	}
	configFlag(cmd, &path)
	cmd.Flags().DurationVar(&raiseAfter, "raise-after", cluster.DefaultRaiseLevelAfter,
		"raise the cluster's level when all controllers could follow for so long; 0: only when asked")
	return cmd
}

// textLog logs to standard error at the level that LOG_LEVEL says.
func textLog() (*slog.Logger, error) {
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return nil, err
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// logLevel reads LOG_LEVEL.
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

func serve(ctx context.Context, s *config.Settings, par cluster.Params, logger *slog.Logger) error {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	fitMachine(s.Cluster.Limits)

	clients, err := net.Listen("tcp", s.ClientListen)
	if err != nil {
		return fmt.Errorf("client_listen: %w", err)
	}
	peers, err := net.Listen("tcp", s.ClusterListen)
	if err != nil {
		return fmt.Errorf("cluster_listen: %w", err)
	}
	links := map[string]*peer.Link{}
	for _, p := range s.Peers {
		links[p.HostName] = peer.Dial(ctx, p.Endpoint)
	}
	core := controller.New(s, par, logger, uint64(time.Now().UnixMilli()))
	n := node.New(core, logger,
		statestore.New(s.External.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS, s.Controllers()),
		cloud.New(s.External.Cloud, s.Cluster.Cloud.RPS, 0.8), links, s.Cluster.Limits.Sockets)
	go n.Run(ctx)
	go peer.Serve(ctx, peers, logger, n.Peer)

	server := &http.Server{
		Handler:           httpapi.New(n),
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       10 * time.Second,
		WriteTimeout:      15 * time.Second,
		IdleTimeout:       3 * time.Minute,
		MaxHeaderBytes:    8 << 10,
		ConnState:         n.Sockets().Track,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stop, done := interrupted(ctx)
		defer done()
		<-stop.Done()
		depart(n, server, logger)
	}()
	logger.Info("serving", "node", s.HostName, "area", s.Area, "clients", s.ClientListen)
	if err := server.Serve(clients); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	<-ended
	return nil
}

const (
	// leaveWithin bounds how long a controller that is told to end hands over
	// what it holds. Others have it after a fraction of a second, or after a few
	// if it led; what they have not by then they take when its lease lapses.
	leaveWithin = 8 * time.Second
	// answerWithin bounds how long it then answers what it has been asked.
	answerWithin = 4 * time.Second
)

// depart ends a controller: it hands over what it holds, while the load balancer
// finds it unhealthy and users that still come are answered, then takes no more
// connections and answers what is left.
func depart(n *node.Node, server *http.Server, logger *slog.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	if err := n.Leave(ctx); err != nil {
		logger.Warn("not all was handed over", "err", err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), answerWithin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logger.Warn("some requests were not answered", "err", err)
	}
	logger.Info("ended")
}

// fitMachine keeps the program within a small machine: as many threads at
// work as there are cores, and a garbage collector that works harder near the
// memory limit instead of passing it.
func fitMachine(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	}
	if l.RAMMB > 0 {
		debug.SetMemoryLimit(int64(l.RAMMB * config.RAMPart * (1 << 20)))
	}
	debug.SetGCPercent(200)
}
