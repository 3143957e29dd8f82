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
	// defaultWay is the way between client and host, there and back, where clients
	// are about 8 ms away.
	defaultWay = 20 * time.Millisecond
	// defaultLateShare and defaultWeights are what late responses, and requests of
	// each priority, are worth to the users known.
	defaultLateShare = 0.2
	defaultWeights   = "3,2,1"
)

type lossesCmd struct {
	options losses.Options
	weights string
}

func (c *lossesCmd) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.options.RTT, "way", defaultWay, "`time` between client and host, there and back")
	f.Float64Var(&c.options.LateFraction, "late-share", defaultLateShare, "`part` of its worth that a late response keeps")
	f.StringVar(&c.weights, "weights", defaultWeights, "`worth` of a request of each priority, the most urgent first")
}

// run reads the logs of any number of hosts on standard input.
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

// parseWeights reads numbers with commas between them.
func parseWeights(text string) ([]float64, error) {
	var weights []float64
	for part := range strings.SplitSeq(text, ",") {
		w, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil || w < 0 {
			return nil, usageError("losses: --weights: " + strconv.Quote(part) + " is not a number of 0 or more")
		}
		weights = append(weights, w)
	}
	return weights, nil
}
