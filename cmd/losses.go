package cmd

import (
	"context"
	"flag"
	"os"
	"strconv"
	"strings"
	"time"

	"cairndock/internal/gateway/losses"
)

const (
	// defaultRTT is the round-trip time between client and host in deployments
	// whose clients are about 8 ms away.
	defaultRTT = 20 * time.Millisecond
	// defaultLateFraction is the fraction of its weight that a late response keeps.
	// defaultWeights are the weights of requests by priority. Both are the values
	// that the known users assign to such requests.
	defaultLateFraction = 0.2
	defaultWeights      = "3,2,1"
)

// lossesCmd summarizes the reasons why requests missed their objective.
type lossesCmd struct {
	options losses.Options
	weights string
}

func (c *lossesCmd) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.options.RTT, "way", defaultRTT, "`time` between client and host, there and back")
	f.Float64Var(&c.options.LateFraction, "late-share", defaultLateFraction, "`part` of its worth that a late response keeps")
	f.StringVar(&c.weights, "weights", defaultWeights, "`worth` of a request of each priority, the most urgent first")
}

// run reads the logs of any number of hosts from standard input.
func (c *lossesCmd) run(_ context.Context, f *flag.FlagSet) error {
	if f.NArg() != 0 {
		return usageError("losses: takes no arguments, and reads logs on standard input")
	}
	weights, err := parseWeights(c.weights)
	if err != nil {
		return err
	}
	c.options.Weights = weights
	r, err := losses.Read(os.Stdin, c.options)
	if err != nil {
		return err
	}
	return r.Print(os.Stdout)
}

// parseWeights parses comma-separated numbers of 0 or more.
func parseWeights(text string) ([]float64, error) {
	var weights []float64
	for field := range strings.SplitSeq(text, ",") {
		w, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || w < 0 {
			return nil, usageError("losses: --weights: " + strconv.Quote(field) + " is not a number of 0 or more")
		}
		weights = append(weights, w)
	}
	return weights, nil
}
