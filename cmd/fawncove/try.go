package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"fawncove/internal/testkit/drill"
)

func tryCommand() *cobra.Command {
	p := drill.Plan{Seed: 1}
	var stay bool
	cmd := &cobra.Command{
		Use:   "try [-- COMMAND...]",
		Short: "Run a small cluster on this machine, with stand-ins for all round it",
		Long: `Runs three controllers as processes on the loopback interface, with stand-ins
for state service, cloud, machines and users, submits sample jobs and shows them
running. Tasks take their time, or run COMMAND with FAWNCOVE_TASK and
FAWNCOVE_ATTEMPT in its environment. The rules of the protocol are checked all
along; the exit status is 0 if they held and all jobs ended, 1 if not, and 2 if an
option is refused.

--cut-link cuts the link between two controllers. Meanwhile a user cancels a job at
one of them, the state service loses that change, and the user asks all
controllers. An answer that contradicts the confirmed cancellation is a failure.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			if err := checkPlan(&p, cmd.Flags().Changed("cut-link")); err != nil {
				fmt.Fprintln(cmd.ErrOrStderr(), "try:", err)
				return exitUsage
			}
			p.Run, p.Out = args, cmd.OutOrStdout()
			return try(ctx, p, stay)
		},
	}
	cmd.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		fmt.Fprintln(cmd.ErrOrStderr(), "try:", err)
		return exitUsage
	})
	f := cmd.Flags()
	f.IntVar(&p.Jobs, "jobs", 20, "sample jobs to submit")
	f.DurationVar(&p.Over, "over", 20*time.Second, "time over which they are submitted")
	f.Uint64Var(&p.Seed, "seed", 1, "seed of the sample jobs")
	f.BoolVar(&stay, "stay", false, "keep the cluster running until it is interrupted")
	f.StringVar(&p.From, "upgrade-from", "", "an earlier build to start with, and to roll out this one from")
	f.DurationVar(&p.Lose, "lose-state", 0, "put a copy of the state that is so old in its place, and see it made whole")
	f.DurationVar(&p.Again, "lose-state-again", 0, "with --lose-state: put the same copy in its place again so long after that, during the recovery")
	f.DurationVar(&p.CloudAway, "cloud-away", 0, "restart a controller while teams are at their limits, and have the cloud away until so long after its return")
	f.DurationVar(&p.CutLink, "cut-link", 0, "cut the link between two controllers for so long, and lose a cancellation that one confirms meanwhile; at most "+maxCutLink.String())
	f.BoolVar(&p.Back, "back", false, "roll back to the earlier build before the level is raised")
	return cmd
}

// exitUsage is the exit status of a command whose flags make no sense together.
const exitUsage = exitStatus(2)

// maxCutLink bounds the time for which a link is cut.
const maxCutLink = 10 * time.Minute

// checkPlan returns what is wrong with the faults that a plan asks for, or nil. cutLink
// reports whether --cut-link is given.
func checkPlan(plan *drill.Plan, cutLink bool) error {
	switch {
	case plan.CloudAway < 0:
		return fmt.Errorf("--cloud-away: %v is negative", plan.CloudAway)
	case plan.Lose < 0:
		return fmt.Errorf("--lose-state: %v is negative", plan.Lose)
	case plan.Again < 0:
		return fmt.Errorf("--lose-state-again: %v is negative", plan.Again)
	case plan.Again > 0 && plan.Lose == 0:
		return errors.New("--lose-state-again needs --lose-state")
	case !cutLink:
		return nil
	case plan.CutLink <= 0 || plan.CutLink > maxCutLink:
		return fmt.Errorf("--cut-link: %v is not above 0s and at most %v", plan.CutLink, maxCutLink)
	case plan.Lose > 0:
		return errors.New("--cut-link and --lose-state exclude each other")
	case plan.CloudAway > 0:
		return errors.New("--cut-link and --cloud-away exclude each other")
	case plan.From != "":
		return errors.New("--cut-link and --upgrade-from exclude each other")
	default:
		return nil
	}
}

// try runs a drill in a folder of its own, which is removed unless something fails.
func try(ctx context.Context, p drill.Plan, stay bool) (err error) {
	if p.Back && p.From == "" {
		return errors.New("--back needs --upgrade-from")
	}
	if p.Binary, err = os.Executable(); err != nil {
		return fmt.Errorf("try: %w", err)
	}
	if p.Dir, err = os.MkdirTemp("", "fawncove-try-"); err != nil {
		return fmt.Errorf("try: %w", err)
	}
	cluster, err := drill.Start(ctx, p)
	if err != nil {
		return err
	}
	err = runDrill(cluster, p)
	if err == nil && stay {
		fmt.Fprintln(p.Out, "\nthe cluster stays until it is interrupted")
		<-ctx.Done()
	}
	cluster.Stop()
	if errors.Is(err, context.Canceled) {
		fmt.Fprintln(p.Out, "\ninterrupted; the controllers have ended")
		return os.RemoveAll(p.Dir)
	}
	if err != nil {
		return fmt.Errorf("%w (logs in %s)", err, p.Dir)
	}
	fmt.Fprintln(p.Out, "\nall jobs are over, no rule was broken")
	return os.RemoveAll(p.Dir)
}

// runDrill plays what the flags ask for and waits until all sample jobs have ended.
func runDrill(cluster *drill.Drill, plan drill.Plan) error {
	if err := cluster.Ready(); err != nil {
		return err
	}
	fmt.Fprintf(plan.Out, "three controllers serve; their settings and logs are in %s\n\ntype next, in another terminal:\n", plan.Dir)
	for _, args := range []string{"upgrade status", "upgrade plan", "recover status", "check-config"} {
		fmt.Fprintf(plan.Out, "    %s %s --config %s\n", plan.Binary, args, cluster.Settings())
	}
	fmt.Fprintf(plan.Out, "    tail -f %s/n0.log\n\n", plan.Dir)
	if plan.Lose > 0 {
		if err := cluster.LoseState(); err != nil {
			return err
		}
	}
	if plan.CloudAway > 0 {
		if err := cluster.RestartWithoutCloud(); err != nil {
			return err
		}
	}
	if plan.CutLink > 0 {
		if err := cluster.CutLink(); err != nil {
			return err
		}
	}
	if plan.From != "" {
		if err := cluster.Rollout(); err != nil {
			return err
		}
	}
	return cluster.Finish(3*time.Minute + plan.Over)
}
