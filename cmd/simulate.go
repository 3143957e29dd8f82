package cmd

import (
	"context"
	"flag"
	"os"

	"cairndock/internal/gateway/loadmodel"
)

// simulateCmd simulates a load in virtual time.
type simulateCmd struct {
	scenario string
	seed     uint64
}

func (c *simulateCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.scenario, "scenario", "", "scenario `file` (TOML)")
	f.Uint64Var(&c.seed, "seed", 0, "`number` added to the scenario's own seed")
}

// run simulates each variant of a scenario and prints the results side by side.
func (c *simulateCmd) run(context.Context, *flag.FlagSet) error {
	if c.scenario == "" {
		return usageError("simulate: --scenario must be set")
	}
	s, err := loadmodel.Load(c.scenario)
	if err != nil {
		return err
	}
	var results []*loadmodel.Result
	for _, v := range s.Variants {
		results = append(results, loadmodel.Run(s, v, c.seed))
	}
	return loadmodel.Print(os.Stdout, results)
}
