package main

import (
	"strings"
	"testing"

	"fawncove/internal/config"
)

// TestCancelTimeThatCannotBeKept guards against settings under which a cancelled task may stay on
// a machine that hangs for longer than cancel_s: they are named, and no others.
func TestCancelTimeThatCannotBeKept(t *testing.T) {
	for name, c := range map[string]struct {
		workers config.Workers
		named   bool
	}{
		"time for another controller":  {config.Workers{ReportS: 2.5, LeaseS: 14, CancelS: 39}, false},
		"long leases":                  {config.Workers{ReportS: 6, LeaseS: 32, CancelS: 62}, false},
		"no time for the block lease":  {config.Workers{ReportS: 2.5, LeaseS: 14, CancelS: 30}, true},
		"rare reports":                 {config.Workers{ReportS: 10, LeaseS: 25, CancelS: 62}, true},
		"no time for the worker lease": {config.Workers{ReportS: 1, LeaseS: 40, CancelS: 42}, true},
	} {
		t.Run(name, func(t *testing.T) {
			var warning strings.Builder
			s := &config.Settings{Cluster: config.Cluster{Workers: c.workers}}
			if err := warnCancelTime(&warning, "settings.toml", s); err != nil {
				t.Fatal(err)
			}
			if named := strings.Contains(warning.String(), "cluster.workers.cancel_s"); named != c.named {
				t.Errorf("%+v: %q, want a warning: %v", c.workers, warning.String(), c.named)
			}
		})
	}
}
